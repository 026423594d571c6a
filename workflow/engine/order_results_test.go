package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against stopping a run because the result of its start order was lost. On a day of vaidlusmaja-large with lost
// answers, 317 runs were stopped for this reason.
func TestRunContinuesAfterLostStartResult(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	x := executor("a", 1)
	h.report("a", x, nil, nil)
	start := h.plan()["a"].Starts[0]
	h.answer("a", start, workflow.OutcomeUnknown)
	h.Assert(h.plan(), qt.HasLen, 0)
	h.now = h.now.Add(500 * time.Millisecond)
	h.report("a", x, []workflow.RunState{{Task: start.Task, Run: 1, Percent: 50}}, nil)
	h.Assert(h.plan(), qt.HasLen, 0)
	h.report("a", x, nil, []workflow.RunEnd{{Number: 1, Task: start.Task, Run: 1, How: workflow.EndDone}})
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
}

// Guards against two concurrent runs of a task when a start takes effect late: an unconfirmed start that isn't listed
// is stopped before the task starts again.
func TestUnconfirmedStartIsStoppedIfNotListed(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	x := executor("a", 1)
	h.report("a", x, nil, nil)
	start := h.plan()["a"].Starts[0]
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Outcome: workflow.OutcomeUnknown, Sequence: 3}, h.now)
	h.now = h.now.Add(500 * time.Millisecond)
	h.send("a", &workflow.Report{Incarnation: 1, Executor: x, Listed: true, EndsComplete: true, CoveredSequence: 2})
	h.Assert(h.plan(), qt.HasLen, 0, qt.Commentf("the lists are older than the start"))
	h.report("a", x, nil, nil)
	orders := h.plan()["a"]
	h.Assert(orders.Starts, qt.HasLen, 0)
	h.Assert(orders.Stops, qt.HasLen, 1)
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 4}, h.now)
	h.report("a", x, nil, nil)
	orders = h.plan()["a"]
	h.Assert(orders.Starts, qt.HasLen, 1)
	h.Assert(orders.Starts[0].Run, qt.Equals, 2)
}

// Guards against restarts elsewhere because the reports of a host are late, although the executor's last lists show
// good progress.
func TestLateReportsDoNotRestartRuns(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	a, b := executor("a", 1), executor("b", 1)
	h.report("a", a, nil, nil)
	start := h.plan()["a"].Starts[0]
	running := h.accept("a", workflow.Orders{Starts: []workflow.StartOrder{start}})
	h.report("b", b, nil, nil)
	for _, percent := range []float64{20, 40, 60} {
		h.now = h.now.Add(200 * time.Millisecond)
		running[0].Percent = percent
		h.report("a", a, running, nil)
	}
	for range 9 {
		h.now = h.now.Add(250 * time.Millisecond)
		h.report("b", b, nil, nil)
		h.Assert(h.plan(), qt.HasLen, 0)
	}
}

// Guards against starts on a draining executor after its node has restarted and received an announcement from before
// the draining.
func TestExecutorKeepsDrainingAfterNodeRestart(t *testing.T) {
	h := newHarness(t)
	leaving := executor("a", 1)
	leaving.Draining = true
	h.report("a", leaving, nil, nil)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.engine.HandleReport(&workflow.Report{
		Node: "a", Address: "a", Incarnation: 2, Number: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true, CoveredSequence: 1 << 40,
	}, h.now, h.now)
	h.Assert(h.plan(), qt.HasLen, 0)
	h.engine.HandleReport(&workflow.Report{
		Node: "a", Address: "a", Incarnation: 2, Number: 2, Executor: executor("a", 2), Listed: true, EndsComplete: true, CoveredSequence: 1 << 40,
	}, h.now, h.now)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1, qt.Commentf("the next incarnation is used"))
}

// Guards against a new owner that starts tasks in an evacuated failure domain, or by an outdated configuration, because
// it has read the jobs before the operators' state.
func TestNewOwnerWaitsForOperatorState(t *testing.T) {
	h := newHarness(t)
	e := newEngineWithoutOperatorState(h)
	e.Add(h.job(step(1)), nil, h.now, h.now)
	e.HandleReport(&workflow.Report{
		Node: "a", Address: "a", Incarnation: 1, Number: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true,
	}, h.now, h.now)
	e.Plan(h.now, h.now)
	h.Assert(e.TakeOrders(), qt.HasLen, 0)
	e.SetEvacuated([]string{"domain-a"})
	e.Plan(h.now, h.now)
	h.Assert(e.TakeOrders(), qt.HasLen, 0)
	e.SetEvacuated(nil)
	e.Plan(h.now, h.now)
	h.Assert(e.TakeOrders(), qt.HasLen, 1)
}

// Guards against a task that is never started again, nor stopped after its job was cancelled, because the result of its start
// was lost.
func TestLostResultOfStartIsResolved(t *testing.T) {
	for _, listed := range []bool{false, true} {
		h := newHarness(t)
		job := h.job(step(1))
		h.engine.Add(job, nil, h.now, h.now)
		h.report("a", executor("a", 1), nil, nil)
		h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
		var running []workflow.RunState
		if listed {
			running = []workflow.RunState{{Task: job.ID + ".0.0.0", Run: 1}}
			h.engine.Cancel(job.ID, h.now, h.now)
		}
		starts, stops := 0, 0
		for range 100 {
			h.now = h.now.Add(100 * time.Millisecond)
			h.report("a", executor("a", 1), running, nil)
			orders := h.plan()["a"]
			starts += len(orders.Starts)
			stops += len(orders.Stops)
			for _, s := range orders.Stops {
				h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 1}, h.now)
			}
		}
		h.Check(stops > 0, qt.IsTrue, qt.Commentf("listed: %v", listed))
		h.Check(starts > 0, qt.Equals, !listed)
	}
}

// Guards against a gang that waits for ever for a member whose start was rejected, while the others run.
func TestGangWithRejectedMemberStartsAgain(t *testing.T) {
	h := newHarness(t)
	gang := step(2)
	gang.Gang = true
	h.engine.Add(h.job(gang), nil, h.now, h.now)
	x := executor("a", 1)
	h.report("a", x, nil, nil)
	starts := h.plan()["a"].Starts
	h.Assert(starts, qt.HasLen, 2)
	h.answer("a", starts[0], workflow.OutcomeDone)
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: starts[1].Task, Run: starts[1].Run, Outcome: workflow.OutcomeRejected, Reason: workflow.ReasonRoom}, h.now)
	running := []workflow.RunState{{Task: starts[0].Task, Run: starts[0].Run}}
	var ended []workflow.RunEnd
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a", x, running, ended)
		orders := h.plan()["a"]
		if len(orders.Starts) == 2 {
			return
		}
		for _, s := range orders.Stops {
			running, ended = nil, []workflow.RunEnd{{Number: 1, Task: s.Task, Run: s.Run, How: workflow.EndStopped}}
		}
	}
	h.Fatal("the gang does not start again within 3 s")
}

// Guards against starts on an executor that has just left one unanswered, while others would take them (LOST).
func TestStartsPreferExecutorsThatAnswer(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	start := h.plan()["a"].Starts[0]
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Outcome: workflow.OutcomeUnknown, Sequence: 1}, h.now)
	h.now = h.now.Add(time.Second)
	h.report("a", executor("a", 1), nil, nil)
	h.accept("a", h.plan()["a"])
	small := executor("b", 1)
	small.Capacity.MilliCores = 1000
	h.report("b", small, nil, nil)
	h.report("a", executor("a", 1), nil, nil)
	orders := h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 0)
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1, qt.Commentf("nothing else has room"))
}

// Guards against starts on an executor whose connection has broken, as if it had crashed, while others would take them (LOST).
func TestStartsPreferUnbrokenExecutors(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.sendReport(workflow.Report{Executor: executor("a", 1), Listed: true, EndsComplete: true, ListAgeMillis: 900, BrokenMillis: 800})
	h.report("b", executor("b", 1), nil, nil)
	orders := h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 0)
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
	h.engine.Add(h.job(step(4)), nil, h.now, h.now)
	h.Assert(h.plan()["a"].Starts, qt.Not(qt.HasLen), 0, qt.Commentf("nothing else has room"))
}
