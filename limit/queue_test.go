package limit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}

var queueStart = time.Unix(1_000_000, 0)

func queueAfter(d time.Duration) time.Time { return queueStart.Add(d) }

// observedQueue returns a queue that has observed service times of 100 ms.
func observedQueue(limits QueueLimits) *Queue {
	q := NewQueue(limits)
	for n := range 10 {
		id := fmt.Sprint("seen", n)
		q.Offer(Request{ID: id, Deadline: queueAfter(time.Hour)}, queueStart)
		q.Finish(id, 100*time.Millisecond, queueStart)
	}
	return q
}

// Guards against an order other than by rank, then deadline, then arrival.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	q := NewQueue(QueueLimits{Slots: 1, MaxWaiting: 10})
	c.Assert(q.Offer(Request{ID: "first", Deadline: queueAfter(time.Minute)}, queueStart).Start, qt.DeepEquals, []string{"first"})
	for _, r := range []Request{
		{"low", 2, queueAfter(time.Second)},
		{"late", 0, queueAfter(3 * time.Second)},
		{"soon", 0, queueAfter(2 * time.Second)},
		{"soon too", 0, queueAfter(2 * time.Second)},
		{"normal", 1, queueAfter(time.Second)},
	} {
		c.Assert(q.Offer(r, queueStart), qt.DeepEquals, Decisions{})
	}
	previous := "first"
	for _, want := range []string{"soon", "soon too", "late", "normal", "low"} {
		c.Assert(q.Finish(previous, time.Microsecond, queueStart).Start, qt.DeepEquals, []string{want})
		previous = want
	}
}

// Guards against a full queue that refuses an important request, or that evicts a more important one.
func TestFullQueueRefusesLeastImportant(t *testing.T) {
	c := qt.New(t)
	q := NewQueue(QueueLimits{Slots: 1, MaxWaiting: 1})
	q.Offer(Request{ID: "running", Deadline: queueAfter(time.Minute)}, queueStart)
	q.Offer(Request{ID: "normal", Rank: 1, Deadline: queueAfter(time.Minute)}, queueStart)
	refused := q.Offer(Request{ID: "low", Rank: 2, Deadline: queueAfter(time.Minute)}, queueStart).Refuse
	c.Assert(refused, qt.DeepEquals, []Refusal{{"low", ReasonQueueFull, defaultRetryAfter}})
	refused = q.Offer(Request{ID: "critical", Deadline: queueAfter(time.Minute)}, queueStart).Refuse
	c.Assert(refused, qt.DeepEquals, []Refusal{{"normal", ReasonQueueFull, defaultRetryAfter}})
	c.Assert(q.Load(), qt.Equals, Load{Running: 1, Queued: 1, Slots: 1})
}

// Guards against requests that wait although they can't finish before their deadlines, and against a RetryAfter after which
// a retry would be refused again.
func TestLateRequestsAreRefusedOnArrival(t *testing.T) {
	c := qt.New(t)
	q := observedQueue(QueueLimits{Slots: 1, MaxWaiting: 10})
	c.Assert(q.Offer(Request{ID: "short", Deadline: queueAfter(99 * time.Millisecond)}, queueStart).Refuse, qt.HasLen, 1)
	q.Offer(Request{ID: "a", Deadline: queueAfter(time.Second)}, queueStart)
	q.Offer(Request{ID: "b", Deadline: queueAfter(time.Second)}, queueStart)
	// Two requests are ahead, so the third would finish after 300 ms. With 150 ms until its deadline, it could be admitted
	// 150 ms later.
	refused := q.Offer(Request{ID: "c", Rank: 2, Deadline: queueAfter(150 * time.Millisecond)}, queueStart).Refuse
	c.Assert(refused, qt.DeepEquals, []Refusal{{"c", ReasonTooLate, 150 * time.Millisecond}})
	c.Assert(q.Offer(Request{ID: "d", Rank: 2, Deadline: queueAfter(300 * time.Millisecond)}, queueStart), qt.DeepEquals, Decisions{})
}

// Guards against requests that wait for a stalled upstream until their deadlines instead of being refused earlier.
func TestStalledUpstreamRefusesWaitingRequests(t *testing.T) {
	c := qt.New(t)
	q := observedQueue(QueueLimits{Slots: 1, MaxWaiting: 10})
	q.Offer(Request{ID: "stalled", Deadline: queueAfter(time.Minute)}, queueStart)
	q.Offer(Request{ID: "waiting", Deadline: queueAfter(2 * time.Second)}, queueStart)
	c.Assert(q.Tick(queueAfter(900*time.Millisecond)).Refuse, qt.HasLen, 0)
	refused := q.Tick(queueAfter(1100 * time.Millisecond)).Refuse
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0].Reason, qt.Equals, ReasonTooLate)
}

// Guards against an upstream that was slow once and then refuses requests for ever, because refused requests yield no new
// observations.
func TestOldServiceTimesExpire(t *testing.T) {
	c := qt.New(t)
	q := observedQueue(QueueLimits{Slots: 1, MaxWaiting: 10})
	r := Request{ID: "short", Deadline: queueAfter(maxObservationAge + 50*time.Millisecond)}
	c.Assert(q.Offer(r, queueAfter(maxObservationAge-time.Millisecond)).Refuse, qt.HasLen, 1)
	c.Assert(q.Offer(r, queueAfter(maxObservationAge)).Start, qt.DeepEquals, []string{"short"})
}

// Guards against lost or repeated decisions and exceeded limits: by comparison with a simple model, each request must be
// started, refused or cancelled exactly once.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := QueueLimits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), MaxWaiting: rapid.IntRange(0, 4).Draw(t, "waiting")}
		q := NewQueue(limits)
		now := queueStart
		states := map[string]string{}
		apply := func(c Decisions) {
			for _, id := range c.Start {
				if states[id] != "waiting" {
					t.Fatalf("%s was started in state %q", id, states[id])
				}
				states[id] = "running"
			}
			for _, r := range c.Refuse {
				if states[r.ID] != "waiting" || r.RetryAfter < minRetryAfter || r.RetryAfter > maxRetryAfter {
					t.Fatalf("unexpected refusal %+v in state %q", r, states[r.ID])
				}
				states[r.ID] = "refused"
			}
		}
		id := func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				name := id(t)
				if states[name] == "waiting" || states[name] == "running" {
					if c := q.Offer(Request{ID: name, Deadline: now.Add(time.Hour)}, now); c.Refuse[0].Reason != ReasonDuplicate {
						t.Fatalf("duplicate request was not refused as such: %+v", c)
					}
					return
				}
				states[name] = "waiting"
				budget := time.Duration(rapid.IntRange(-1, 3000).Draw(t, "budget")) * time.Millisecond
				apply(q.Offer(Request{ID: name, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Deadline: now.Add(budget)}, now))
			},
			"finish": func(t *rapid.T) {
				name := id(t)
				took := time.Duration(rapid.IntRange(-1, 500).Draw(t, "took")) * time.Millisecond
				if states[name] == "running" {
					states[name] = "done"
				}
				apply(q.Finish(name, took, now))
			},
			"cancel": func(t *rapid.T) {
				name := id(t)
				if q.Cancel(name) != (states[name] == "waiting") {
					t.Fatalf("wrong result of Cancel for %s in state %q", name, states[name])
				}
				if states[name] == "waiting" {
					states[name] = "cancelled"
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
				apply(q.Tick(now))
			},
			"": func(t *rapid.T) {
				count := map[string]int{}
				for _, s := range states {
					count[s]++
				}
				load := q.Load()
				if load.Running != count["running"] || load.Queued != count["waiting"] {
					t.Fatalf("load %+v, the model has %v", load, count)
				}
				if load.Running > limits.Slots || load.Queued > limits.MaxWaiting || (load.Queued > 0 && load.Running < limits.Slots) {
					t.Fatalf("load %+v violates limits %+v", load, limits)
				}
			},
		})
	})
}

// BenchmarkOffer measures Offer and Cancel with 8 running requests and 31 waiting ones, one short of the limit.
func BenchmarkOffer(b *testing.B) {
	q := NewQueue(QueueLimits{Slots: 8, MaxWaiting: 32})
	for n := range 39 {
		q.Offer(Request{ID: fmt.Sprint(n), Rank: n % 3, Deadline: queueAfter(time.Duration(n) * time.Minute)}, queueStart)
	}
	for n := range maxObservations {
		q.times.observe(time.Duration(n+1)*time.Millisecond, queueStart)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(Request{ID: "x", Rank: 1, Deadline: queueAfter(time.Hour)}, queueStart)
		if !q.Cancel("x") {
			b.Fatal("the request is not waiting")
		}
	}
}
