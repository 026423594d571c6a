package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a second run of a task that still runs: a late report of the host's former executor reaches the next owner, and its
// lists are taken for proof that the later executor has ended.
func TestLateReportDoesNotEndLaterExecutor(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(2))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	later := executor("a", 5)
	later.ID = "i-later"
	h.report("a", later, nil, nil)
	h.engine.Plan(h.now, h.now)
	record := h.engine.TakeDirty()[0].Record
	running := h.accept("a", h.engine.TakeOrders()[0].Orders)
	h.Assert(running, qt.HasLen, 2)
	h.takeOver(job, record)
	h.report("b", executor("b", 1), nil, nil)
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 0, qt.Commentf("the later executor may still run the tasks"))
	h.report("a", later, running, nil)
	h.Assert(h.plan(), qt.HasLen, 0, qt.Commentf("the tasks go on"))
}
