package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
)

var testStart = time.Unix(1_700_000_000, 0)

func newTable() (*Table, *clock.Manual) {
	now := clock.NewManual(testStart)
	return NewTable(Options{
		Domain: "patan", Clock: now, Pacing: AnnouncePacing{BytesPerSecond: 10_000, Min: time.Second, Max: 30 * time.Second},
		RemoteDelay: 8 * time.Millisecond, FailurePenalty: time.Second, DefaultServiceTime: 10 * time.Millisecond,
	}), now
}

func announcement(name string, sequence int64) structs.Announcement {
	return structs.Announcement{
		Agent: name, Incarnation: name + "-1", Sequence: sequence, StartedUnixNano: 1, Address: "127.0.0.1:" + name,
		FailureDomain: "patan", Upstreams: []structs.Upstream{{Service: "price", Slots: 8, Connections: 64}},
	}
}

func apply(t testing.TB, table *Table, a structs.Announcement) ApplyResult {
	t.Helper()
	applied, err := table.Apply(&a, 500)
	qt.Assert(t, err, qt.IsNil)
	return applied
}

// Guards against a delayed announcement overwriting a newer one, for example one that said the upstream is leaving (P8).
func TestStaleAnnouncementsAreRejected(t *testing.T) {
	table, _ := newTable()
	leaving := announcement("1", 2)
	leaving.Upstreams[0].Leaving = true
	apply(t, table, leaving)
	for _, old := range []structs.Announcement{announcement("1", 1), announcement("1", 2)} {
		_, err := table.Apply(&old, 500)
		qt.Assert(t, err, qt.Equals, ErrStale)
	}
	_, verdict := table.Choose("price", nil)
	qt.Assert(t, verdict, qt.Equals, AllLeaving)
	restarted := announcement("1", 1)
	restarted.Incarnation, restarted.StartedUnixNano = "1-2", 2
	qt.Assert(t, apply(t, table, restarted).New, qt.IsTrue)
	chosen, verdict := table.Choose("price", nil)
	qt.Assert(t, verdict, qt.Equals, Chosen)
	qt.Assert(t, chosen.ID(), qt.Equals, AgentID{"1", "1-2"})
	late := announcement("1", 9)
	_, err := table.Apply(&late, 500)
	qt.Assert(t, err, qt.Equals, ErrStale, qt.Commentf("an announcement of the earlier process was applied"))
}

// Guards against accepting announcements in which fields are missing or out of range.
func TestInvalidAnnouncements(t *testing.T) {
	table, _ := newTable()
	for i, change := range []func(*structs.Announcement){
		func(a *structs.Announcement) { a.Agent = "" },
		func(a *structs.Announcement) { a.Incarnation = "" },
		func(a *structs.Announcement) { a.Address = "" },
		func(a *structs.Announcement) { a.FailureDomain = string(make([]byte, maxNameBytes+1)) },
		func(a *structs.Announcement) { a.Upstreams[0].Slots = 0 },
		func(a *structs.Announcement) { a.Upstreams[0].Queued = -1 },
		func(a *structs.Announcement) { a.Upstreams = append(a.Upstreams, a.Upstreams[0]) },
		func(a *structs.Announcement) { a.Upstreams = make([]structs.Upstream, MaxUpstreamsPerAgent+1) },
	} {
		a := announcement("1", 1)
		change(&a)
		_, err := table.Apply(&a, 500)
		qt.Assert(t, err, qt.Equals, ErrInvalid, qt.Commentf("change %d", i))
	}
	qt.Assert(t, table.Agents(), qt.Equals, 0)
}

// Guards against requests to an upstream that has stopped announcing itself, and against agents that are never removed.
func TestAnnouncementsExpire(t *testing.T) {
	table, now := newTable()
	apply(t, table, announcement("1", 1))
	now.Advance(validityIntervals * time.Second)
	_, verdict := table.Choose("price", nil)
	qt.Assert(t, verdict, qt.Equals, Chosen)
	now.Advance(time.Millisecond)
	_, verdict = table.Choose("price", nil)
	qt.Assert(t, verdict, qt.Equals, AllExpired)
	now.Advance(removeAfter + time.Second)
	apply(t, table, announcement("2", 1))
	qt.Assert(t, table.Agents(), qt.Equals, 1)
}

// Guards against a replay that differs between runs because agents that expire together are removed in random order.
func TestAgentRemovalIsDeterministic(t *testing.T) {
	var first []string
	for range 20 {
		table, now := newTable()
		table.opts.IntN = func(int) int { return 0 }
		for i := range 12 {
			apply(t, table, announcement(fmt.Sprint(i), 1))
		}
		for _, passed := range []time.Duration{removeAfter, validityIntervals*time.Second + time.Second} {
			now.Advance(passed)
			for i := 6; i < 12; i++ {
				apply(t, table, announcement(fmt.Sprint(i), now.Now().Unix()))
			}
		}
		qt.Assert(t, table.Agents(), qt.Equals, 6)
		var order []string
		for _, candidate := range table.Snapshot("price", true).Candidates {
			order = append(order, candidate.Agent)
		}
		if first == nil {
			first = order
		}
		qt.Assert(t, order, qt.DeepEquals, first)
	}
}

// Guards against intervals so short that announcements exceed the budget, and against unnecessarily long ones.
func TestAnnouncePacing(t *testing.T) {
	table, _ := newTable()
	for i := range 100 {
		applied := apply(t, table, announcement(fmt.Sprint(i), 1))
		want := max(time.Second, time.Duration(i+1)*50*time.Millisecond)
		qt.Assert(t, applied.NextAfter, qt.Equals, want)
	}
	huge := announcement("huge", 1)
	applied, err := table.Apply(&huge, 1<<30)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, applied.NextAfter, qt.Equals, 30*time.Second)
}

// Guards against counting the requests of other entries twice or not at all.
func TestLoadOfOtherEntries(t *testing.T) {
	table, _ := newTable()
	apply(t, table, announcement("1", 1))
	chosen, _ := table.Choose("price", nil)
	first, second := table.Begin(chosen), table.Begin(chosen)
	busy := announcement("1", 2)
	busy.Upstreams[0].Running, busy.Upstreams[0].Queued = 8, 3
	apply(t, table, busy)
	c := table.Snapshot("price", true).Candidates[0]
	qt.Assert(t, c.OwnInFlight, qt.Equals, 2)
	qt.Assert(t, c.OtherInFlight, qt.Equals, 9)
	first.Done(Observation{Load: &Load{Running: 4, Queued: 0, Slots: 4}})
	first.Done(Observation{})
	c = table.Snapshot("price", true).Candidates[0]
	qt.Assert(t, []int{c.OwnInFlight, c.OtherInFlight, c.Slots}, qt.DeepEquals, []int{1, 3, 4})
	second.Done(Observation{})
	qt.Assert(t, table.Snapshot("price", true).Candidates[0].OwnInFlight, qt.Equals, 0)
}

// Guards against preferring an upstream that fails at once because it looks like the fastest one.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	table, _ := newTable()
	apply(t, table, announcement("1", 1))
	apply(t, table, announcement("2", 1))
	counts := map[string]int{}
	for range 100 {
		chosen, _ := table.Choose("price", nil)
		counts[chosen.Agent]++
		table.Begin(chosen).Done(Observation{Answered: true, Failed: chosen.Agent == "1", Latency: time.Millisecond})
	}
	qt.Assert(t, counts["1"] <= 1, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against an upstream that failed once and then never gets a request again.
func TestRecoveredUpstreamIsUsedAgain(t *testing.T) {
	table, now := newTable()
	apply(t, table, announcement("1", 1))
	chosen, _ := table.Choose("price", nil)
	table.Begin(chosen).Done(Observation{Answered: true, Failed: true})
	qt.Assert(t, table.Snapshot("price", true).Candidates[0].FailureRate, qt.Equals, smoothing)
	now.Advance(failureHalfLife)
	qt.Assert(t, table.Snapshot("price", true).Candidates[0].FailureRate, qt.Equals, smoothing/2)
	now.Advance(20 * time.Second)
	qt.Assert(t, table.Snapshot("price", true).Candidates[0].FailureRate, qt.Equals, 0.0)
}

// Guards against a paused agent that gets requests until its connections are detected as silent, and against suspecting an
// agent that is only slow occasionally.
func TestOverdueAttempts(t *testing.T) {
	table, now := newTable()
	apply(t, table, announcement("1", 1))
	id := AgentID{"1", "1-1"}
	suspected := func() bool { return table.Snapshot("price", true).Candidates[0].SuspectUntil.After(now.Now()) }
	for range 2 * maxOverdueAttempts {
		for range maxOverdueAttempts - 1 {
			table.RecordOverdue(id, time.Second)
		}
		qt.Assert(t, suspected(), qt.IsFalse)
		table.ClearSuspicion(id)
	}
	for range maxOverdueAttempts {
		table.RecordOverdue(id, time.Second)
	}
	qt.Assert(t, suspected(), qt.IsTrue)
	now.Advance(time.Second)
	qt.Assert(t, suspected(), qt.IsFalse)
}

// Guards against choosing a remote upstream while a local one is free, and against overloading the local one while a remote
// one is free.
func TestChooseSpillsOverToRemoteDomain(t *testing.T) {
	s := Snapshot{LocalDomain: "patan", RemoteDelay: 8 * time.Millisecond, Candidates: []Candidate{
		{Agent: "remote", FailureDomain: "baneshwor", Slots: 8, ServiceTime: 10 * time.Millisecond, ValidUntil: testStart},
		{Agent: "local", FailureDomain: "patan", Slots: 8, ServiceTime: 10 * time.Millisecond, ValidUntil: testStart},
	}}
	for inFlight, want := range map[int]int{0: 1, 6: 1, 7: 0, 30: 0} {
		s.Candidates[1].OwnInFlight = inFlight
		got, _ := Choose(s, nil, testStart)
		qt.Assert(t, got, qt.Equals, want, qt.Commentf("%d in flight", inFlight))
	}
	s.Candidates[0].RoundTrip = 20 * time.Millisecond
	s.Candidates[1].OwnInFlight = 10
	got, _ := Choose(s, nil, testStart)
	qt.Assert(t, got, qt.Equals, 1, qt.Commentf("the measured round trip must take precedence over RemoteDelay"))
}

// Guards, by comparison with a simple model, against choosing an upstream that is leaving, expired or already tried, a
// suspected one while there is another, or one that doesn't have the lowest score.
func TestChooseAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Snapshot{LocalDomain: "d0", RemoteDelay: 5 * time.Millisecond, FailurePenalty: time.Second}
		var tried []AgentID
		type key struct{ suspect, score float64 }
		best := key{2, 0}
		for i := range rapid.IntRange(0, 12).Draw(t, "candidates") {
			c := Candidate{
				Agent: fmt.Sprint(i), FailureDomain: fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "domain")),
				Slots: rapid.IntRange(0, 3).Draw(t, "slots"), OwnInFlight: rapid.IntRange(0, 20).Draw(t, "own"),
				ServiceTime: time.Duration(rapid.IntRange(0, 50).Draw(t, "time")) * time.Millisecond,
				Leaving:     rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
				ValidUntil:  testStart.Add(time.Duration(rapid.IntRange(-1, 2).Draw(t, "valid"))),
			}
			if rapid.Bool().Draw(t, "suspect") {
				c.SuspectUntil = testStart.Add(1)
			}
			s.Candidates = append(s.Candidates, c)
			if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
				tried = append(tried, c.ID())
			} else if !c.Leaving && !testStart.After(c.ValidUntil) {
				k := key{0, Score(&s, &c)}
				if c.SuspectUntil.After(testStart) {
					k.suspect = 1
				}
				if k.suspect < best.suspect || (k.suspect == best.suspect && k.score < best.score) {
					best = k
				}
			}
		}
		got, verdict := Choose(s, tried, testStart)
		if got < 0 {
			if best.suspect < 2 || verdict == Chosen {
				t.Fatal("no upstream was chosen although one was usable")
			}
			return
		}
		c := s.Candidates[got]
		suspect := 0.0
		if c.SuspectUntil.After(testStart) {
			suspect = 1
		}
		if (key{suspect, Score(&s, &c)}) != best {
			t.Fatalf("chose %+v, the best score is %+v", c, best)
		}
	})
}

// Guards against a request that fails because the sample doesn't contain the only usable upstream of a large service.
func TestChooseFallsBackToAllUpstreams(t *testing.T) {
	table, _ := newTable()
	for i := range 500 {
		a := announcement(fmt.Sprint(i), 1)
		a.Leaving = i != 321
		apply(t, table, a)
	}
	qt.Assert(t, len(table.Snapshot("price", false).Candidates), qt.Equals, sampleSize)
	for range 10 {
		chosen, verdict := table.Choose("price", nil)
		qt.Assert(t, verdict, qt.Equals, Chosen)
		qt.Assert(t, chosen.Agent, qt.Equals, "321")
	}
}

// Guards against idle upstreams that never get a request because another one with the same score comes first.
func TestIdleUpstreamsAreAllUsed(t *testing.T) {
	table, _ := newTable()
	for i := range 11 {
		apply(t, table, announcement(fmt.Sprint(i), 1))
	}
	used := map[string]bool{}
	for range 1000 {
		chosen, _ := table.Choose("price", nil)
		used[chosen.Agent] = true
	}
	qt.Assert(t, used, qt.HasLen, 11)
}

// Guards against accepting a malformed load header.
func TestParseLoad(t *testing.T) {
	load, ok := ParseLoad("running=3; queued=1;slots=8")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, load, qt.Equals, Load{3, 1, 8})
	for _, text := range []string{"", "running=3", "running=3;queued=1;slots=-8", "running=3;running=3;slots=8", "running=x;queued=1;slots=8"} {
		_, ok := ParseLoad(text)
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

// BenchmarkChoose measures one routing decision, including its snapshot.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{11, 340, 3400} {
		b.Run(fmt.Sprint(n, "_upstreams"), func(b *testing.B) {
			table, _ := newTable()
			for i := range n {
				a := announcement(fmt.Sprint(i), 1)
				a.FailureDomain = []string{"patan", "baneshwor", "bhaktapur"}[i%3]
				apply(b, table, a)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, verdict := table.Choose("price", nil); verdict != Chosen {
					b.Fatal(verdict)
				}
			}
		})
	}
}

// Guards against announcements that use up the memory of an entry, against memory that isn't available again after it was
// freed, and against a full table that rejects the announcement of a known agent that it is leaving.
func TestTableMemoryIsBounded(t *testing.T) {
	now := clock.NewManual(time.Unix(1_700_000_000, 0))
	table := NewTable(Options{Domain: "patan", Clock: now, Pacing: AnnouncePacing{BytesPerSecond: 1 << 20, Min: time.Second, Max: time.Minute}})
	announcement := func(n, upstreams int, sequence int64) *structs.Announcement {
		a := &structs.Announcement{
			Agent: fmt.Sprint("agent-", n), Incarnation: "i", Sequence: sequence, StartedUnixNano: 1,
			Address: fmt.Sprint("10.0.0.1:", n), FailureDomain: "patan",
		}
		for u := range upstreams {
			a.Upstreams = append(a.Upstreams, structs.Upstream{Service: fmt.Sprintf("%0256d", u), Slots: 1})
		}
		return a
	}
	accepted := 0
	for ; accepted < MaxAgents; accepted++ {
		if _, err := table.Apply(announcement(accepted, MaxUpstreamsPerAgent, 1), 500); err != nil {
			qt.Assert(t, err, qt.Equals, ErrFull)
			break
		}
	}
	qt.Assert(t, accepted < MaxAgents, qt.IsTrue)
	qt.Assert(t, table.memory <= maxTableBytes, qt.IsTrue)
	leaving := announcement(0, MaxUpstreamsPerAgent, 2)
	leaving.Leaving = true
	_, err := table.Apply(leaving, 500)
	qt.Assert(t, err, qt.IsNil)
	_, err = table.Apply(announcement(0, 0, 3), 500)
	qt.Assert(t, err, qt.IsNil)
	_, err = table.Apply(announcement(accepted, MaxUpstreamsPerAgent, 1), 500)
	qt.Assert(t, err, qt.IsNil)
	_, err = table.Apply(announcement(0, MaxUpstreamsPerAgent, 4), 500)
	qt.Assert(t, err, qt.Equals, ErrFull)
	// Removing silent agents frees their memory.
	now.Advance(time.Hour)
	_, err = table.Apply(announcement(0, MaxUpstreamsPerAgent, 4), 500)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, table.memory, qt.Equals, estimateMemory(announcement(0, MaxUpstreamsPerAgent, 4)))
}
