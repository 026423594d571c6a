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

// loadGenerator calls through both entries all the time, as a loadGenerator balancer does that follows the readiness of the entries.
type loadGenerator struct {
	*callRecorder
	stopped  atomic.Bool
	sequence atomic.Int64
	// down is set for an entry that has been stopped, until it has answered a request again.
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
					// Longer than the notice of a stop, so that the stop has to wait for these requests.
					delay = "2500"
				}
				got := f.call(entry, key, key, map[string]string{"Standin-Delay-Ms": delay, structs.HeaderTimeoutMillis: "8000"})
				l.mu.Lock()
				l.results[key] = append(l.results[key], got)
				l.mu.Unlock()
				if got.outcome == structs.OutcomeNotRun {
					// One entry alone is over its rate of at-most-once records.
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	return l
}

// waitForAnswers waits until a number of further requests were answered.
func (l *loadGenerator) waitForAnswers(n int) {
	l.f.c.Helper()
	from := l.count(structs.OutcomeAnswered)
	l.f.eventually("requests are answered", func() bool { return l.count(structs.OutcomeAnswered) >= from+n })
}

// startLongRequests sends requests that take longer than the notice of a stop, and returns a host besides one at which such a request
// runs.
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

// stopAndCheck ends the load. No planned stop may have interrupted a request: none has an unknown outcome or a broken connection.
func (l *loadGenerator) stopAndCheck() {
	l.stopped.Store(true)
	l.check(l.f.c, true)
	for key, answers := range l.results {
		l.f.c.Check(answers[0].outcome == structs.OutcomeUnknown, qt.IsFalse, qt.Commentf("%s: %s", key, answers[0].reason))
	}
}

// Guards against new work at an upstream and an agent that leave (P8), and requests that their departure interrupts (P9),
// under load from two entries, twice.
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
		f.c.Assert(leaving.upstream.Counts().Total, qt.Equals, countsAfterLeave.Total, qt.Commentf("P8: work after the upstream has left"))

		stopped := l.startLongRequests(leaving, round)
		f.c.Assert(stopped.stop(), qt.IsNil)
		countsAfterStop := stopped.upstream.Counts()
		f.c.Assert(countsAfterStop.Running, qt.Equals, 0)
		l.waitForAnswers(50)
		f.c.Assert(stopped.upstream.Counts().Total, qt.Equals, countsAfterStop.Total)

		stopped.start()
		f.reregister(leaving)
		f.reregister(stopped)
		before := stopped.upstream.Counts().Total
		f.eventually("the agent serves again", func() bool { return stopped.upstream.Counts().Total > before })
	}
	l.stopAndCheck()
}

// reregister registers the upstream of a host again and keeps it registered.
func (f *fleet) reregister(h *host) {
	ctx, cancel := context.WithCancel(context.Background())
	f.c.Cleanup(cancel)
	h.unregister = cancel
	f.eventually("the upstream is registered", func() bool {
		_, err := h.registrar.Register(ctx)
		return err == nil
	})
	go h.registrar.Run(ctx)
}

// Guards against a stop of an entry that interrupts requests under way or leaves callers without a whole response (P9),
// under load, for one entry after the other, twice.
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
