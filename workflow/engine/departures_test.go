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
		job, record, running := h.assigned(executor("a", 1))
		if takeover {
			h.takeOver(job, record)
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

// Guards against finished work that is done again, failures that aren't counted and checkpoints that are lost because the
// executor has left by the time an owner learns of them.
func TestLastListsOfDepartedExecutorCount(t *testing.T) {
	h := newHarness(t)
	checkpointed := step(3)
	checkpointed.Checkpoints = true
	job, running := h.startJob(executor("a", 1), checkpointed)
	running[0].Saved = "half"
	ended := []workflow.RunEnd{
		{Number: 1, Task: running[1].Task, Run: 1, How: workflow.EndDone}, {Number: 2, Task: running[2].Task, Run: 1, How: workflow.EndFailed},
	}
	left := executor("a", 1)
	left.Draining, left.Left = true, true
	for range 2 {
		h.Assert(h.report("a", left, running[:1], ended), qt.Equals, int64(0))
	}
	h.report("b", executor("b", 1), nil, nil)
	starts := h.plan()["b"].Starts
	h.Assert(starts, qt.HasLen, 2)
	h.Assert(starts[0].Saved, qt.Equals, "half")
	h.accept("b", workflow.Orders{Starts: starts})
	h.report("b", executor("b", 1), nil, []workflow.RunEnd{{Number: 1, Task: running[2].Task, Run: 2, How: workflow.EndFailed}})
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Failed, qt.Commentf("two attempts are allowed, and two have failed"))
}

// Guards against a run that counts as started because the executor lists another one, or a run of its former incarnation.
func TestOtherListedRunsDoNotConfirmStart(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	start := h.plan()["a"].Starts[0]
	h.answer("a", start, workflow.OutcomeDone)
	h.report("a", executor("a", 2), nil, nil)
	left := executor("a", 2)
	left.Draining, left.Left = true, true
	h.report("a", left, []workflow.RunState{{Task: start.Task, Run: 0}}, nil)
	h.report("b", executor("b", 1), nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 0)
}

// Guards against a lease that is renewed for an executor that has left.
func TestDepartedExecutorGetsNoLease(t *testing.T) {
	h := newHarness(t)
	left := executor("a", 1)
	left.Draining, left.Left = true, true
	_, granted := h.send("a", &workflow.Report{Incarnation: 1, Executor: left, Listed: true, EndsComplete: true})
	h.Assert(granted, qt.IsFalse)
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
