package requests

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}

// expectedAttempt is the model's state of one attempt. It is never dropped.
type expectedAttempt struct {
	queued, running bool
	// timesBegun is how often the send began. reportedNotRun is true if an entry was told that the attempt was not run.
	timesBegun     int
	reportedNotRun bool
	body           string
}

// trackerMachine compares an attemptTracker that has very low limits with a model that drops nothing.
type trackerMachine struct {
	clock    *clock.Manual
	attempts *attemptTracker
	expected map[string]*expectedAttempt
}

func (m *trackerMachine) draw(t *rapid.T) (string, *expectedAttempt) {
	id := structs.AttemptID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "entry"),
		rapid.Uint64Range(1, 8).Draw(t, "sequence"))
	if m.expected[id] == nil {
		m.expected[id] = &expectedAttempt{}
	}
	return id, m.expected[id]
}

// report checks a state that is reported to entries against the model.
func (m *trackerMachine) report(t *rapid.T, id string, got structs.AttemptState, known *expectedAttempt) {
	switch {
	case got.NotRun():
		if known.timesBegun > 0 || known.running {
			t.Fatalf("%s is reported as %s, but its send began", id, got)
		}
		known.reportedNotRun, known.queued = true, false
	case known.queued || known.running:
		if got != structs.AttemptRunning || !known.running {
			t.Fatalf("%s is reported as %s, queued %v, running %v", id, got, known.queued, known.running)
		}
	case got == structs.AttemptUnknown && known.timesBegun == 0 && len(m.expected) <= testLimits.Records:
		t.Fatalf("%s is reported as unknown, although it never began and no record was dropped", id)
	case got == structs.AttemptFinished:
		if _, found, _ := m.attempts.lookup(id); found == nil || string(found.body) != known.body {
			t.Fatalf("%s has finished without its response", id)
		}
	}
}

func (m *trackerMachine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			id, known := m.draw(t)
			s, ok := m.attempts.arrive(&attempt{id: id, cancelled: make(chan struct{})})
			if ok && (known.timesBegun > 0 || known.reportedNotRun || known.queued) {
				t.Fatalf("%s is accepted again: %+v", id, known)
			}
			known.queued = known.queued || ok
			if !ok && s.notRun() {
				m.report(t, id, s.attemptState(), known)
			}
		},
		"reject": func(t *rapid.T) {
			id, known := m.draw(t)
			if s := m.attempts.reject(id); s.notRun() {
				m.report(t, id, s.attemptState(), known)
			}
		},
		"resolve": func(t *rapid.T) {
			id, known := m.draw(t)
			s, err := m.attempts.apply(id, resolve)
			if err != nil {
				t.Fatalf("resolve: %v", err)
			}
			m.report(t, id, s.attemptState(), known)
		},
		"withdraw or refuse": func(t *rapid.T) {
			id, known := m.draw(t)
			e := rapid.SampledFrom([]event{withdraw, refuse}).Draw(t, "event")
			if e == refuse && !known.queued {
				return
			}
			_, err := m.attempts.apply(id, e)
			if (err == nil) != known.queued {
				t.Fatalf("%s of %s: %v", e, id, err)
			}
			known.reportedNotRun, known.queued = known.reportedNotRun || err == nil, false
		},
		"begin": func(t *rapid.T) {
			id, known := m.draw(t)
			_, err := m.attempts.apply(id, begin)
			if (err == nil) != known.queued {
				t.Fatalf("begin of %s: %v", id, err)
			}
			if err == nil {
				known.queued, known.running = false, true
				known.timesBegun++
			}
			if known.timesBegun > 1 || (known.timesBegun > 0 && known.reportedNotRun) {
				t.Fatalf("%s began although the model doesn't allow it: %+v", id, known)
			}
		},
		"finish": func(t *rapid.T) {
			id, known := m.draw(t)
			body := strings.Repeat("x", rapid.IntRange(0, 900).Draw(t, "size"))
			if err := m.attempts.finish(id, &response{body: []byte(body)}); (err == nil) != known.running {
				t.Fatalf("finish of %s: %v", id, err)
			}
			if known.running {
				known.running, known.body = false, body
			}
		},
		"lose": func(t *rapid.T) {
			id, known := m.draw(t)
			if _, err := m.attempts.apply(id, lose); (err == nil) != known.running {
				t.Fatalf("lose of %s: %v", id, err)
			}
			known.running = false
		},
		"wait": func(t *rapid.T) {
			m.clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			m.attempts.expire()
		},
		"": m.check,
	}
}

func (m *trackerMachine) check(t *rapid.T) {
	records, answers, bytes := m.attempts.sizes()
	live, _, _ := m.attempts.activity()
	if records > max(testLimits.Records, live) || answers > testLimits.Responses || bytes > testLimits.ResponseBytes {
		t.Fatalf("limits exceeded: %d records with %d live, %d responses, %d bytes", records, live, answers, bytes)
	}
	expectedLive := 0
	for _, known := range m.expected {
		if known.queued || known.running {
			expectedLive++
		}
	}
	if expectedLive != live {
		t.Fatalf("%d attempts are live, the model has %d", live, expectedLive)
	}
}

var testLimits = tableLimits{Records: 6, Responses: 3, ResponseBytes: 3000, ResponseAge: time.Minute, Watermarks: 2}

// Random sequences of events that reach every limit of the table must neither run an attempt twice nor report one that
// ran as not run.
func TestAttemptTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		manual := clock.NewManual(time.Unix(1000, 0))
		m := &trackerMachine{clock: manual, attempts: newAttemptTracker(testLimits, manual), expected: map[string]*expectedAttempt{}}
		t.Repeat(m.actions())
	})
}

// Only a queued attempt may become running, and an attempt that may have run must never reach a state that means not run.
func TestTransitionInvariants(t *testing.T) {
	c := qt.New(t)
	for from := range stateCount {
		for e := range eventCount {
			to, err := from.next(e)
			if err != nil {
				c.Assert(to, qt.Equals, from)
				continue
			}
			if to == running && from != running {
				c.Assert(from, qt.Equals, queued, qt.Commentf("%s", e))
			}
			if from == running || from == finished || from == evicted || from == forgotten {
				c.Assert(to.notRun() || to == neverSeen || to == queued, qt.IsFalse, qt.Commentf("%s %s", from, e))
			}
			if from.notRun() {
				c.Assert(to.notRun() || to == forgotten, qt.IsTrue, qt.Commentf("%s %s", from, e))
			}
		}
	}
}

// A dropped response must make the outcome unknown, and a dropped record must make the attempt forgotten. Neither attempt
// may be reported as not run or accepted again.
func TestAttemptTableLimits(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	l := newAttemptTracker(testLimits, manual)
	run := func(id string, size int) {
		_, ok := l.arrive(&attempt{id: id, cancelled: make(chan struct{})})
		c.Assert(ok, qt.IsTrue)
		_, err := l.apply(id, begin)
		c.Assert(err, qt.IsNil)
		c.Assert(l.finish(id, &response{body: make([]byte, size)}), qt.IsNil)
	}
	states := func(ids ...string) (list []string) {
		for _, id := range ids {
			s, _, _ := l.lookup(id)
			list = append(list, s.String())
		}
		return list
	}
	id := func(n int) string { return structs.AttemptID("e1", uint64(n)) }
	for n := range 4 {
		run(id(n), 10)
	}
	c.Assert(states(id(0), id(1), id(2), id(3)), qt.DeepEquals, []string{"evicted", "finished", "finished", "finished"})
	run(id(4), 2000)
	c.Assert(states(id(1), id(2), id(3), id(4)), qt.DeepEquals, []string{"evicted", "evicted", "evicted", "finished"})
	manual.Advance(time.Minute)
	c.Assert(states(id(4)), qt.DeepEquals, []string{"evicted"})
	run(id(5), 10)
	run(id(6), 10)
	c.Assert(states(id(0), id(1), id(6)), qt.DeepEquals, []string{"forgotten", "evicted", "finished"})
	_, ok := l.arrive(&attempt{id: id(0)})
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.reject(id(0)), qt.Equals, forgotten)
	for n := range 20 {
		_, err := l.apply(structs.AttemptID(fmt.Sprint("f", n), 1), resolve)
		c.Assert(err, qt.IsNil)
	}
	// e1 and f0 use both watermarks, so attempts of other entries count as forgotten from now on.
	c.Assert(states(structs.AttemptID("f19", 1), structs.AttemptID("f0", 1), structs.AttemptID("f0", 2)), qt.DeepEquals,
		[]string{"forgotten", "forgotten", "never seen"})
	c.Assert(l.table.watermarks, qt.HasLen, 2)
}

// An attempt without a sequence must not be reported as not run after its record was dropped.
func TestUnorderedAttemptsAfterDroppedRecord(t *testing.T) {
	c := qt.New(t)
	l := newAttemptTracker(testLimits, clock.System{})
	for n := range testLimits.Records + 1 {
		name := fmt.Sprintf("%032x", n)
		s, err := l.apply(name, resolve)
		c.Assert(err, qt.IsNil)
		c.Assert(s, qt.Equals, tombstoned)
	}
	s, err := l.apply(fmt.Sprintf("%032x", 0), resolve)
	c.Assert(err, qt.IsNil)
	c.Assert(s.attemptState(), qt.Equals, structs.AttemptUnknown)
}
