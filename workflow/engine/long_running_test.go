package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stopsBesideService returns how many stops are ordered in five seconds for long-running best-effort tasks with checkpoints, of which one
// may be away at a time. They run beside a serving task with the given latency, of a target of 50 ms, and use the given CPU of the half
// core that each requests, while another executor is idle.
func stopsBesideService(t *testing.T, latencyMillis, milliCores float64) (stops int) {
	h, x := newHarness(t), executor("a", 1)
	running := h.startService(x, 10)
	fill := bestEffortStep(2)
	fill.Checkpoints, fill.LongRunning, fill.MaxUnavailable = true, true, 1
	fill.Need.MilliCores, fill.EstimateMillis = 500, 4000
	h.engine.Add(h.job(fill), nil, h.now, h.now)
	h.report("a", x, running, nil)
	running = append(running, h.accept("a", h.plan()["a"])...)
	h.Assert(running, qt.HasLen, 3)
	running[0].Usage = latencyMillis
	for i := range running[1:] {
		running[i+1].Usage, running[i+1].Percent = milliCores, 20
	}
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a", x, running, nil)
		h.report("b", executor("b", 1), nil, nil)
		stops += len(h.plan()["a"].Stops)
	}
	return stops
}

// Guards against tasks that are stopped although other tasks of their step are away (AVAIL): long-running ones that disturb a serving task
// or get little CPU.
func TestLongRunningBestEffortTasksAreNotStopped(t *testing.T) {
	c := qt.New(t)
	c.Assert(stopsBesideService(t, 49, 500), qt.Equals, 0, qt.Commentf("the serving task is near its target"))
	c.Assert(stopsBesideService(t, 10, 50), qt.Equals, 0, qt.Commentf("the tasks get little CPU"))
}
