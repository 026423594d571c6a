package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// runTasks runs a job of eight tasks on two executors for a while, with the given progress of each in percent a second,
// and returns the number of ordered stops by node. A third executor is idle.
func runTasks(h *harness, estimateMillis int64, d time.Duration, speeds map[string]float64) (stops map[string]int) {
	work := step(8)
	work.EstimateMillis = estimateMillis
	for _, node := range []string{"a", "b"} {
		h.report(node, executor(node, 1), nil, nil)
	}
	h.engine.Add(h.job(work), nil, h.now, h.now)
	running := map[string][]workflow.RunState{}
	for node, orders := range h.plan() {
		running[node] = h.accept(node, orders)
	}
	h.Assert(len(running["a"])+len(running["b"]), qt.Equals, 8)
	stops = map[string]int{}
	for began := h.now; h.now.Sub(began) < d; {
		h.now = h.now.Add(250 * time.Millisecond)
		h.report("free", executor("free", 1), nil, nil)
		for node, runs := range running {
			for i := range runs {
				runs[i].Percent += speeds[node] / 4
			}
			h.report(node, executor(node, 1), runs, nil)
		}
		for node, orders := range h.plan() {
			stops[node] += len(orders.Stops)
		}
	}
	return stops
}

// Guards against restarting runs that exceed their estimates on executors that are not slow: of 741 such stops on a day
// of vaidlusmaja-large, 723 hit runs younger than 1.3 times the durations of their peers.
func TestWrongEstimatesDoNotRestartRuns(t *testing.T) {
	h := newHarness(t)
	stops := runTasks(h, 100, 2250*time.Millisecond, map[string]float64{"a": 40, "b": 42})
	h.Assert(stops, qt.DeepEquals, map[string]int{})
}

// Guards against a job that waits for runs on an executor that has become slow.
func TestRunsOnSlowExecutorRestart(t *testing.T) {
	h := newHarness(t)
	stops := runTasks(h, 800, 1500*time.Millisecond, map[string]float64{"a": 10, "b": 60})
	h.Assert(stops["a"] >= 4, qt.IsTrue, qt.Commentf("stops: %v", stops))
	h.Assert(stops["b"], qt.Equals, 0)
}

// Guards against best-effort tasks that wait although most of their requested CPU is free: in a burst, waiting delays
// their jobs more than a lower speed.
func TestBestEffortTaskStartsWithPartOfItsRequest(t *testing.T) {
	h := newHarness(t)
	short, bestEffort := step(3), step(2)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Need.MilliCores = true, "filling", 1500
	h.engine.Add(h.job(short), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 3)
	h.engine.Add(h.job(bestEffort), nil, h.now, h.now)
	h.report("a", executor("a", 1), running, nil)
	// One of four cores is left: two thirds of the first task's request, and nothing for the second.
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}

// stopsOfBestEffortTask returns how many stops are ordered for a best-effort task with checkpoints that uses a share of
// its request, while another executor is idle.
func stopsOfBestEffortTask(t *testing.T, use float64) (stops int) {
	h := newHarness(t)
	bestEffort := step(1)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Checkpoints, bestEffort.EstimateMillis = true, "filling", true, 4000
	h.report("a", executor("a", 1), nil, nil)
	h.engine.Add(h.job(bestEffort), nil, h.now, h.now)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 1)
	running[0].Usage = use * float64(bestEffort.Need.MilliCores)
	for range 8 {
		h.now = h.now.Add(250 * time.Millisecond)
		running[0].Percent++
		h.report("a", executor("a", 1), running, nil)
		h.report("b", executor("b", 1), nil, nil)
		stops += len(h.plan()["a"].Stops)
	}
	return stops
}

// Guards against a best-effort task that stays paced down and delays its job although another executor is idle.
func TestStarvedBestEffortTaskMoves(t *testing.T) {
	c := qt.New(t)
	c.Assert(stopsOfBestEffortTask(t, 0.2) > 0, qt.IsTrue)
	c.Assert(stopsOfBestEffortTask(t, 0.8), qt.Equals, 0)
}

// Guards against best-effort tasks beside serving tasks on executors that can't throttle them, unless their image is
// known not to disturb.
func TestUnpacedExecutorGetsNoBestEffortTasks(t *testing.T) {
	c := qt.New(t)
	starts := func(unpaced bool) int {
		h := newHarness(t)
		x := executor("a", 1)
		x.Unpaced = unpaced
		running := h.addBestEffortJobBesideService(x, 10, 1)
		h.report("a", x, running, nil)
		return len(h.plan()["a"].Starts)
	}
	c.Assert(starts(false), qt.Equals, 1)
	c.Assert(starts(true), qt.Equals, 0)
}
