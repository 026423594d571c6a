package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}

// newJob returns a job of one step: tasks of one core that last a second, with an objective of 2 s.
func newJob(tasks int) *workflow.Job {
	return &workflow.Job{
		ID: "00000000000000aa", Queue: workflow.Queue{Name: "checks", Pool: "pool", Stretch: 1.5, ObjectiveMillis: 500},
		Steps: []workflow.Step{{Count: tasks, Need: structs.Resources{MilliCores: 1000}, EstimateMillis: 1000}},
	}
}

// overloaded returns a snapshot of a pool of 10 cores with a minute of work before all jobs.
func overloaded() *admission.Snapshot {
	s := &admission.Summary{HasLoad: true, Queue: "checks", Load: admission.QueueLoad{
		Capacity: 10_000, Reserved: 9_500, LargestFree: 500, Backlog: [admission.SizeClasses]float64{600, 600, 600, 600},
	}}
	return &admission.Snapshot{Summary: s, Held: s}
}

// Guards against jobs that are accepted although they can't be served in time, and against rejections that the conditions of the
// decision exclude.
func TestDecideOnCapacity(t *testing.T) {
	tests := []struct {
		name     string
		change   func(s *admission.Snapshot, job *workflow.Job)
		rejected bool
	}{
		{"a minute of work before it", func(*admission.Snapshot, *workflow.Job) {}, true},
		{"no summary", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary = nil }, false},
		{"stale summary", func(s *admission.Snapshot, _ *workflow.Job) { s.Age = admission.MaxLoadAge + time.Millisecond }, false},
		{"owner doesn't know the load", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.HasLoad = false }, false},
		{"an executor has room", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.Load.LargestFree = 1000 }, false},
		{"jobs accepted since take the room", func(s *admission.Snapshot, _ *workflow.Job) {
			s.Summary.Load.LargestFree, s.Summary.Load.Reserved, s.LocalDemand = 1000, 9000, 1000
		}, true},
		{"pool without capacity", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.Load.Capacity = 0 }, false},
		{"queue without an objective", func(_ *admission.Snapshot, job *workflow.Job) { job.Queue.Stretch, job.Queue.ObjectiveMillis = 0, 0 }, false},
		{"long-running job", func(_ *admission.Snapshot, job *workflow.Job) { job.Steps[0].LongRunning = true }, false},
		{"job with due times", func(_ *admission.Snapshot, job *workflow.Job) { job.Occurrences = 2 }, false},
		{"best-effort job", func(_ *admission.Snapshot, job *workflow.Job) { job.Steps[0].BestEffort = true }, false},
		{"objective that allows the wait", func(_ *admission.Snapshot, job *workflow.Job) { job.Queue.ObjectiveMillis = 30_000 }, false},
		{"objective shorter than the job itself", func(_ *admission.Snapshot, job *workflow.Job) {
			job.Queue.Stretch, job.Queue.ObjectiveMillis = 0.2, 0
		}, false},
		{"work of larger jobs only", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.Load.Backlog[0] = 0 }, false},
		{"work that this gateway has accepted since", func(s *admission.Snapshot, _ *workflow.Job) {
			s.Summary.Load.Backlog[0], s.LocalWork = 0, 600
		}, true},
		// Half of the backlog counts: 100 core seconds on 10 cores take at least 5 s, and 3 x 2 s - 1 s are allowed.
		{"at the limit", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.Load.Backlog[0] = 100 }, false},
		{"beyond the limit", func(s *admission.Snapshot, _ *workflow.Job) { s.Summary.Load.Backlog[0] = 101 }, true},
		{"beyond the limit, but the work has gone on", func(s *admission.Snapshot, _ *workflow.Job) {
			s.Summary.Load.Backlog[0], s.Age = 101, time.Second
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, job := overloaded(), newJob(1)
			test.change(s, job)
			r := admission.NewRequest(job)
			d := admission.Decide(s, &r)
			qt.Assert(t, d.Rejected(), qt.Equals, test.rejected, qt.Commentf("%+v", d))
			if test.rejected {
				qt.Assert(t, d.Reason, qt.Equals, admission.ReasonCapacity)
				qt.Assert(t, d.RetryAfterSeconds >= 1 && d.RetryAfterSeconds <= 60, qt.IsTrue)
			}
		})
	}
}

// Guards against owners that get more tasks than they can hold, against small jobs that large ones keep out, and against rejections on
// a stale summary.
func TestDecideOnMemory(t *testing.T) {
	g := func(small, large int) admission.Grant { return admission.Grant{Small: small, Large: large} }
	tests := []struct {
		name         string
		grant, local admission.Grant
		size         int
		age          time.Duration
		rejected     bool
	}{
		{"room", g(0, 5100), g(0, 0), 5000, 0, false},
		{"large job beyond its grant", g(5000, 4000), g(0, 0), 5000, 0, true},
		{"large jobs before use the grant up", g(5000, 6000), g(0, 2000), 5000, 0, true},
		{"small job", g(60, 0), g(0, 0), 50, 0, false},
		{"small jobs before use the grant up", g(60, 0), g(20, 0), 50, 0, true},
		{"large jobs leave a small one its part", g(60, 5000), g(0, 9000), 50, 0, false},
		{"small job in the part of large ones", g(60, 5000), g(60, 1000), 50, 0, false},
		{"small job without a new grant for a while", g(60, 0), g(60, 0), 50, 3 * time.Second, false},
		{"small job beyond the bound without a new grant", g(60, 0), g(8990, 0), 50, 3 * time.Second, true},
		{"large job without a new grant", g(60, 5000), g(0, 0), 5000, 3 * time.Second, true},
		{"stale", g(0, 0), g(0, 0), 50, admission.MaxHeldAge + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			held := &admission.Summary{HeldTasks: 1000, MaxTasks: 10_000, Grant: test.grant}
			r := admission.NewRequest(newJob(test.size))
			d := admission.Decide(&admission.Snapshot{Held: held, HeldAge: test.age, LocalTasks: test.local}, &r)
			qt.Assert(t, d.Rejected(), qt.Equals, test.rejected)
			if test.rejected {
				qt.Assert(t, d.Reason, qt.Equals, admission.ReasonMemory)
			}
		})
	}
	held := &admission.Summary{HeldTasks: 1 << 20}
	r := admission.NewRequest(newJob(5000))
	d := admission.Decide(&admission.Snapshot{Held: held}, &r)
	qt.Assert(t, d.Rejected(), qt.IsFalse, qt.Commentf("an owner without a bound"))
}

// Guards against clients that all come back in the same second, and against a time that changes between two gateways.
func TestRetryAfterIsSpread(t *testing.T) {
	c := qt.New(t)
	counts := map[int]int{}
	for i := range 1000 {
		job := newJob(1)
		job.ID = fmt.Sprintf("%016x", i)
		r := admission.NewRequest(job)
		d := admission.Decide(overloaded(), &r)
		c.Assert(admission.Decide(overloaded(), &r), qt.Equals, d)
		counts[d.RetryAfterSeconds]++
	}
	// The job would be served after 30 s instead of 5 s at the earliest.
	for seconds, count := range counts {
		c.Assert(seconds >= 25 && seconds <= 50, qt.IsTrue)
		c.Assert(count < 120, qt.IsTrue)
	}
	c.Assert(len(counts) > 20, qt.IsTrue)
}

func drawSnapshot(t *rapid.T) *admission.Snapshot {
	s := drawSummary(t)
	snapshot := &admission.Snapshot{
		Age: time.Duration(rapid.Int64Range(0, 5000).Draw(t, "age")) * time.Millisecond, LocalTasks: drawGrant(t, "local tasks"),
		HeldAge:   time.Duration(rapid.Int64Range(0, 15_000).Draw(t, "held age")) * time.Millisecond,
		LocalWork: rapid.Float64Range(0, 1000).Draw(t, "local work"), LocalDemand: rapid.Int64Range(0, 100_000).Draw(t, "local demand"),
	}
	if rapid.Bool().Draw(t, "has load") {
		snapshot.Summary = &s
	}
	if rapid.Bool().Draw(t, "has held") {
		snapshot.Held = &s
	}
	return snapshot
}

func drawGrant(t *rapid.T, name string) admission.Grant {
	return admission.Grant{Small: rapid.IntRange(0, 2000).Draw(t, "small "+name), Large: rapid.IntRange(0, 20_000).Draw(t, "large "+name)}
}

func drawSummary(t *rapid.T) admission.Summary {
	number := func(name string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name) }
	s := admission.Summary{
		Epoch: number("epoch", 1<<40), Sequence: number("sequence", 1<<30), Age: time.Duration(number("taken", 4000)) * time.Millisecond,
		HeldTasks: int(number("held", 50_000)), MaxTasks: int(number("max", 50_000)), Grant: drawGrant(t, "grant"),
	}
	if s.HasLoad = rapid.Bool().Draw(t, "knows load"); !s.HasLoad {
		return s
	}
	s.Queue = rapid.StringN(0, 20, 40).Draw(t, "queue")
	capacity := number("capacity", 200_000)
	reserved := number("reserved", capacity)
	s.Load = admission.QueueLoad{
		Capacity: capacity, Reserved: reserved, LargestFree: number("largest free", capacity-reserved), Running: int(number("running", 5000)),
		Waiting: int(number("waiting", 5000)),
	}
	ahead := int64(0)
	for i := range s.Load.Backlog {
		ahead += number("backlog", 10_000)
		s.Load.Backlog[i] = float64(ahead)
	}
	return s
}

func drawJob(t *rapid.T) *workflow.Job {
	job := newJob(1)
	job.ID = fmt.Sprintf("%016x", rapid.Uint64().Draw(t, "id"))
	job.Queue.Stretch = rapid.Float64Range(0, 4).Draw(t, "stretch")
	job.Queue.ObjectiveMillis = rapid.Int64Range(0, 5000).Draw(t, "objective")
	job.Steps = nil
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := workflow.Step{
			Count: rapid.IntRange(1, 1000).Draw(t, "count"), EstimateMillis: rapid.Int64Range(0, 10_000).Draw(t, "estimate"),
			Need:       structs.Resources{MilliCores: rapid.Int64Range(0, 4000).Draw(t, "cores")},
			BestEffort: rapid.IntRange(0, 9).Draw(t, "best effort") == 0, LongRunning: rapid.IntRange(0, 9).Draw(t, "long") == 0,
		}
		if i > 0 && rapid.Bool().Draw(t, "dependent") {
			s.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, s)
	}
	if rapid.IntRange(0, 9).Draw(t, "due") == 0 {
		job.Occurrences = 2
	}
	return job
}

// canBeServed is a simple oracle: whether a job can be served within three times its objective by what a snapshot says. It can be if the
// snapshot says nothing, if a task has room, or if the whole pool, working on half of what comes before the job and then on the job alone,
// ends in time. Jobs of which the objective is shorter than a third of their own path are never in time and don't count.
func canBeServed(s *admission.Snapshot, job *workflow.Job) bool {
	if s.Summary == nil || !s.Summary.HasLoad || s.Age > 3*time.Second || job.Occurrences > 0 {
		return true
	}
	path, work := map[int]float64{}, 0.0
	longest, demandFits := 0.0, false
	l := &s.Summary.Load
	for i := range job.Steps {
		step := &job.Steps[i]
		if step.LongRunning {
			return true
		}
		seconds := float64(step.EstimateMillis) / 1000
		path[i] = seconds
		cores := step.Need.MilliCores
		work += float64(step.Count) * seconds * float64(cores) / 1000
		if len(step.After) > 0 {
			path[i] += path[step.After[0]]
		} else if step.BestEffort || cores == 0 || cores <= l.LargestFree && s.LocalDemand < l.Capacity-l.Reserved {
			demandFits = true
		}
		longest = max(longest, path[i])
	}
	objective := job.Queue.Stretch*longest + float64(job.Queue.ObjectiveMillis)/1000
	if demandFits || l.Capacity == 0 || objective == 0 || 3*objective <= longest+1e-6 {
		return true
	}
	class := 0
	for _, bound := range []float64{4, 32, 256} {
		if work > bound {
			class++
		}
	}
	wait := (l.Backlog[class]+s.LocalWork)/2/(float64(l.Capacity)/1000) - s.Age.Seconds()
	return wait+longest <= 3*objective+1e-6
}

// Guards against a rejection while capacity is idle, on a missing or stale summary, or of a job that could be served in time.
func TestRejectionsAreSound(t *testing.T) {
	rejected := map[admission.Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		s, job := drawSnapshot(t), drawJob(t)
		r := admission.NewRequest(job)
		d := admission.Decide(s, &r)
		rejected[d.Reason]++
		switch d.Reason {
		case admission.ReasonCapacity:
			if canBeServed(s, job) {
				t.Fatalf("rejected: %+v, %+v", d, s.Summary)
			}
		case admission.ReasonMemory:
			if s.Held == nil || s.Held.MaxTasks == 0 || s.HeldAge > 10*time.Second {
				t.Fatalf("rejected for memory without a bound that is fresh: %+v", s)
			}
			small, large := s.Held.Grant.Small-s.LocalTasks.Small, s.Held.Grant.Large-s.LocalTasks.Large
			if r.Tasks <= large || r.Tasks <= admission.SmallJobTasks && r.Tasks <= small {
				t.Fatalf("rejected for memory within the grant: %+v", s)
			}
		}
		if d.Rejected() && (d.RetryAfterSeconds < 1 || d.RetryAfterSeconds > 60) {
			t.Fatalf("Retry-After of %d s", d.RetryAfterSeconds)
		}
	})
	qt.Assert(t, rejected[admission.ReasonCapacity] > 0 && rejected[admission.ReasonMemory] > 0, qt.IsTrue, qt.Commentf("%v", rejected))
}

// Guards against summaries that change on their way, and against long headers.
func TestSummarySurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSummary(t)
		decoded, err := admission.Decode(s.Encode())
		if err != nil || decoded != s {
			t.Fatalf("%+v became %+v: %v", s, decoded, err)
		}
	})
	s := admission.Summary{
		Epoch: 48_231_772, Sequence: 7200, Age: 412 * time.Millisecond, HeldTasks: 12_034, MaxTasks: 36_000, Grant: admission.Grant{Small: 900, Large: 5003}, Queue: "checks",
		HasLoad: true, Load: admission.QueueLoad{
			Capacity: 5_440_000, Reserved: 5_300_000, LargestFree: 500, Running: 5300, Waiting: 900,
			Backlog: [admission.SizeClasses]float64{120, 4800, 20_000, 50_000},
		},
	}
	qt.Assert(t, len(s.Encode()) < 80, qt.IsTrue, qt.Commentf("%q", s.Encode()))
}

// Guards against headers of other versions or of faulty peers that are taken for summaries, or that crash a process.
func TestMalformedHeadersAreIgnored(t *testing.T) {
	for _, text := range []string{"", "1", admission.NoSummary, "2 1 1 1 1 1 1 1", "1 1 1 1 1 1 1", "1 1 1 -1 1 1 1 1", "1 1 1 1 zzzzzzzzzzzz 1 1 1", "1 a b c d e f g h", "1 1 1 1 1 1 1 1 %zz 1 1 1 1 1 1 1 1 1"} {
		_, err := admission.Decode(text)
		qt.Assert(t, err, qt.ErrorIs, admission.ErrMalformed, qt.Commentf("%q", text))
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = admission.Decode("1 " + rapid.StringMatching(`[0-9a-z% -]{0,60}`).Draw(t, "text"))
		_, _ = admission.DecodeAsk(rapid.StringMatching(`[0-9a-z% -]{0,60}`).Draw(t, "ask"))
	})
	a := admission.Ask{Gateway: "x1", Want: admission.Grant{Small: 900, Large: 5003}, Queue: "a queue %"}
	decoded, err := admission.DecodeAsk(a.Encode())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.Equals, a)
}

// Guards against gateways that together accept more than an owner can hold, whatever they want and however often they ask.
func TestGrantsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most, held := rapid.IntRange(0, 50_000).Draw(t, "max"), rapid.IntRange(0, 60_000).Draw(t, "held")
		grants := make([]admission.Grant, rapid.IntRange(1, 8).Draw(t, "gateways"))
		for range 20 {
			i := rapid.IntRange(0, len(grants)-1).Draw(t, "gateway")
			grants[i] = admission.Grant{}
			others := admission.Grant{}
			for _, g := range grants {
				others = others.Add(g)
			}
			want := admission.Grant{Small: rapid.IntRange(0, 5000).Draw(t, "small"), Large: rapid.IntRange(0, 20_000).Draw(t, "large")}
			grants[i] = admission.NewGrant(most, held, others, want)
			total := others.Add(grants[i])
			if grants[i].Small < 0 || grants[i].Large < 0 || total != (admission.Grant{}) && held+total.Small+total.Large > most {
				t.Fatalf("granted %v of %d beside %d held", grants, most, held)
			}
		}
	})
}

// Guards against small jobs that are rejected although the owner has room, because many gateways have grants or large jobs take the rest.
func TestSmallJobsGetGrants(t *testing.T) {
	c := qt.New(t)
	const most = 40_000
	others := admission.Grant{}
	for range 40 {
		g := admission.NewGrant(most, 0, others, admission.Grant{Small: admission.SmallGrant})
		c.Assert(g.Small, qt.Equals, admission.SmallGrant)
		others = others.Add(g)
	}
	others = admission.Grant{}
	for range 8 {
		others = others.Add(admission.NewGrant(most, 10_000, others, admission.Grant{Large: workflow.MaxTasks}))
	}
	c.Assert(others, qt.Equals, admission.Grant{Large: 20_000})
	c.Assert(admission.NewGrant(most, 10_000, others, admission.Grant{Small: admission.SmallGrant}).Small, qt.Equals, admission.SmallGrant)
}

// Guards against a bound that a host of the usual memory can't hold, and against one where the memory isn't known.
func TestMaxTasks(t *testing.T) {
	c := qt.New(t)
	c.Assert(admission.MaxTasks(0), qt.Equals, 0)
	c.Assert(admission.MaxTasks(-1), qt.Equals, 0)
	c.Assert(admission.MaxTasks(10), qt.Equals, 1000)
	for _, memoryMB := range []int64{128, 152} {
		most := admission.MaxTasks(memoryMB)
		c.Assert(most > 4*workflow.MaxTasks, qt.IsTrue)
		c.Assert(int64(most)*admission.TaskBytes < (memoryMB-40)<<20, qt.IsTrue)
	}
}
