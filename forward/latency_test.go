package forward

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
)

// Guards against a percentile from too few samples, one that drops the previous window too early or never, and a
// tracker that grows with the service names that callers choose.
func TestLatencyPercentiles(t *testing.T) {
	l := NewLatencyTracker(time.Second)
	now := testStart
	for i := range minPercentileSamples {
		qt.Assert(t, l.P95("price"), qt.Equals, time.Second)
		l.Observe("price", time.Duration(i+1)*time.Millisecond, now)
	}
	within := func(low, high time.Duration) {
		t.Helper()
		got := l.P95("price")
		qt.Assert(t, got >= low && got <= high, qt.IsTrue, qt.Commentf("%s", got))
	}
	within(47*time.Millisecond, 49*time.Millisecond)
	for window := range 3 {
		now = now.Add(latencyWindow)
		for range 2 * percentileRefreshSamples {
			l.Observe("price", time.Millisecond, now)
		}
		if window == 0 {
			within(47*time.Millisecond, 49*time.Millisecond)
		}
	}
	within(time.Millisecond, 2*time.Millisecond)
	for i := range 2 * maxLatencyServices {
		l.Observe(fmt.Sprint(i), time.Millisecond, now)
	}
	qt.Assert(t, len(l.services) <= maxLatencyServices, qt.IsTrue)
}

// Guards against hedges that shorten the hedge delay of later requests.
func TestHedgeCountsFromFirstAttempt(t *testing.T) {
	const delay = 30 * time.Millisecond
	f := newFleet(t, 2, largeRetryBudget())
	f.opts.Latencies, f.opts.MinHedge = NewLatencyTracker(delay), delay
	for range minPercentileSamples {
		f.scriptFaults(forwardtest.DropThenStall)
		result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
		qt.Assert(t, result.Attempts, qt.Equals, 2)
		for _, agent := range f.agents {
			f.table.ClearSuspicion(f.processID(t, agent))
		}
	}
	qt.Assert(t, f.opts.Latencies.P95("price") >= delay, qt.IsTrue)
}

// Guards against a tracker that grows with each service, and against inactive services that keep new ones out.
func TestLatencyTrackerIsBounded(t *testing.T) {
	l, now := NewLatencyTracker(time.Second), time.Unix(1_700_000_000, 0)
	for n := range 2 * maxLatencyServices {
		l.Observe(fmt.Sprint(n), time.Millisecond, now)
	}
	qt.Assert(t, l.services, qt.HasLen, maxLatencyServices)
	now = now.Add(2 * latencyWindow)
	l.Observe("0", time.Millisecond, now)
	l.Observe("new", time.Millisecond, now)
	qt.Assert(t, l.services, qt.HasLen, 2)
	qt.Assert(t, l.services["new"], qt.IsNotNil)
	qt.Assert(t, l.services["0"], qt.IsNotNil)
}
