package guarantees_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// loadGenerator calls through both entries continuously, like a load balancer that follows their readiness.
type loadGenerator struct {
	*callRecorder
	stopped  atomic.Bool
	sequence atomic.Int64
	// down is set for a stopped entry until it answers requests again.
	down [2]atomic.Bool
}

func (f *fleet) startLoad(callers int) *loadGenerator {
	l := &loadGenerator{callRecorder: newCallRecorder(f)}
	var isReady [2]atomic.Bool
	for i := range f.entries {
		isReady[i].Store(true)
		l.done.Go(func() {
			for !l.stopped.Load() {
				isReady[i].Store(!l.down[i].Load() && f.entries[i].ready())
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for i := range callers {
		l.done.Go(func() {
			for !l.stopped.Load() {
				entry := (i + int(l.sequence.Load())) % 2
				if !isReady[entry].Load() {
					entry = 1 - entry
				}
				key := fmt.Sprint("load-", l.sequence.Add(1))
				delay := "60"
				if i%4 == 0 {
					// Longer than drain_notice, so that a stop has to wait for these requests.
					delay = "2500"
				}
				got := f.call(entry, key, key, map[string]string{"Standin-Delay-Ms": delay, structs.HeaderTimeoutMillis: "8000"})
				l.mu.Lock()
				l.results[key] = append(l.results[key], got)
				l.mu.Unlock()
				if got.outcome == structs.OutcomeNotRun {
					// A single entry exceeds its rate limit for at-most-once records under this load.
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return l
}

// waitForAnswers waits until n further requests have been answered.
func (l *loadGenerator) waitForAnswers(n int) {
	l.f.c.Helper()
	from := l.count(structs.OutcomeAnswered)
	l.f.eventually("requests are answered", func() bool { return l.count(structs.OutcomeAnswered) >= from+n })
}

// startLongRequests sends requests that take longer than drain_notice, and returns a host other than the excluded one that
// runs such a request.
func (l *loadGenerator) startLongRequests(excluded *host, round int) *host {
	l.f.c.Helper()
	for i := range 6 {
		l.send(i%2, fmt.Sprintf("long-%d-%d", round, i), map[string]string{
			"Standin-Delay-Ms": "2500", structs.HeaderTimeoutMillis: "20000",
		})
	}
	var found *host
	l.f.eventually("a long request runs", func() bool {
		for _, h := range l.f.hosts {
			for key := range h.upstream.Counts().Executions {
				if h != excluded && strings.HasPrefix(key, fmt.Sprintf("long-%d-", round)) {
					found = h
				}
			}
		}
		return found != nil
	})
	return found
}

// stopAndCheck ends the load and checks that no planned stop interrupted a request: none may have an unknown outcome or a
// failed connection.
func (l *loadGenerator) stopAndCheck() {
	l.stopped.Store(true)
	l.check(l.f.c, true)
	for key, answers := range l.results {
		l.f.c.Check(answers[0].outcome == structs.OutcomeUnknown, qt.IsFalse, qt.Commentf("%s: %s", key, answers[0].reason))
	}
}

// workAfterLeaveWait is longer than the interval at which upstreams renew their registration (2 s), so that a registration
// that continues after the upstream has left is noticed.
const workAfterLeaveWait = 2500 * time.Millisecond

// Guards against new work at a leaving upstream or agent (P8), and against requests that its shutdown interrupts (P9),
// under load from two entries, in two rounds.
func TestUpstreamAndAgentLeaveUnderLoad(t *testing.T) {
	f := newFleet(t, 3)
	l := f.startLoad(12)
	l.waitForAnswers(50)
	for round := range 2 {
		leaving := f.hosts[round]
		leaving.unregister()
		f.c.Assert(leaving.registrar.Leave(context.Background()), qt.IsNil)
		countsAfterLeave := leaving.upstream.Counts()
		f.c.Assert(countsAfterLeave.Running, qt.Equals, 0)
		l.waitForAnswers(50)
		time.Sleep(workAfterLeaveWait)
		f.c.Assert(leaving.upstream.Counts().Total, qt.Equals, countsAfterLeave.Total, qt.Commentf("P8: work after the upstream has left"))

		stopped := l.startLongRequests(leaving, round)
		f.c.Assert(stopped.stop(), qt.IsNil)
		countsAfterStop := stopped.upstream.Counts()
		f.c.Assert(countsAfterStop.Running, qt.Equals, 0)
		l.waitForAnswers(50)
		f.c.Assert(stopped.upstream.Counts().Total, qt.Equals, countsAfterStop.Total)

		stopped.start()
		f.register(leaving)
		stopped.unregister()
		f.register(stopped)
		before := stopped.upstream.Counts().Total
		f.eventually("the agent serves again", func() bool { return stopped.upstream.Counts().Total > before })
	}
	l.stopAndCheck()
}

// Guards against a stop of an entry that interrupts requests or leaves callers without a complete response (P9), under
// load, for one entry after the other, in two rounds.
func TestEntriesStopUnderLoad(t *testing.T) {
	f := newFleet(t, 2)
	l := f.startLoad(12)
	for round := range 4 {
		entry := f.entries[round%2]
		l.waitForAnswers(50)
		f.c.Assert(entry.stop(), qt.IsNil)
		l.waitForAnswers(50)
		l.down[round%2].Store(true)
		entry.start()
		f.eventually("the entry answers", func() bool { return f.answersRequests(round % 2) })
		l.down[round%2].Store(false)
		f.eventually("the entry is ready", entry.ready)
	}
	l.stopAndCheck()
}
