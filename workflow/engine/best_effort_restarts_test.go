package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a long-running best-effort task that isn't started again while other tasks reserve all CPU, although it reserves
// none (review/5: LOST).
func TestLongRunningBestEffortTaskRestartsOnReservedExecutors(t *testing.T) {
	h := newHarness(t)
	lasting := step(1)
	lasting.LongRunning, lasting.BestEffort = true, true
	job := h.job(lasting)
	h.engine.Add(job, nil, h.now, h.now)
	leaving := executor("b", 1)
	h.now = h.now.Add(2 * time.Second)
	h.report("b", leaving, nil, nil)
	h.Assert(h.accept("b", h.plan()["b"]), qt.HasLen, 1)
	h.engine.Add(h.job(step(8)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 4, qt.Commentf("all CPU of the executor is reserved"))
	leaving.Draining, leaving.Left = true, true
	h.report("b", leaving, nil, nil)
	left := h.now
	for h.now.Sub(left) < 3*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a", executor("a", 1), running, nil)
		for _, s := range h.plan()["a"].Starts {
			if id, _ := workflow.ParseTaskID(s.Task); id.Job == job.ID {
				return
			}
		}
	}
	h.Fatal("the task has not started within 3 s")
}
