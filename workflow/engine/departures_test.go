package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Guards against tasks of an executor that has left as planned that wait until its lease has expired (incident inc1: LOST),
// also under an owner that has just taken over.
func TestTasksOfDepartedExecutorRestartAtOnce(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newHarness(t)
		job := h.job(step(2))
		h.engine.Add(job, nil, h.now, h.now)
		h.report("a", executor("a", 1), nil, nil)
		h.engine.Plan(h.now, h.now)
		record := h.engine.TakeDirty()[0].Record
		running := h.accept("a", h.engine.TakeOrders()[0].Orders)
		if takeover {
			h.engine = h.newEngine()
			h.engine.Add(job, &record, h.now, h.now)
		} else {
			running = nil
		}
		left := executor("a", 1)
		left.Draining, left.Left = true, true
		h.report("a", left, running, nil)
		h.report("b", executor("b", 1), nil, nil)
		orders := h.plan()
		h.Assert(orders["a"].Starts, qt.HasLen, 0)
		h.Assert(orders["b"].Starts, qt.HasLen, 2)
		h.Assert(orders["b"].Starts[0].Run, qt.Equals, 2)
		h.Assert(h.engine.TakeDepartures(), qt.DeepEquals, []engine.Departure{{Node: "a", Incarnation: "i-a@1", Tasks: 2}})
		h.report("a", left, nil, nil)
		h.Assert(h.engine.TakeDepartures(), qt.HasLen, 0)
	}
}

// Guards against a second run of a task whose start may still reach the next incarnation under the ID of an executor that has
// left (found by TestRandomFaultsWithDepartures, seed 844449).
func TestUnknownStartOutlastsDeparture(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	start := h.plan()["a"].Starts[0]
	left := executor("a", 1)
	left.Draining, left.Left = true, true
	h.report("a", left, nil, nil)
	h.report("b", executor("b", 1), nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 0)
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Outcome: workflow.OutcomeUnknown}, h.now)
	h.report("a", left, nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 0)
	h.now = h.now.Add(7100 * time.Millisecond)
	h.engine.ExpireLeases(h.now)
	h.report("b", executor("b", 1), nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 1)
}
