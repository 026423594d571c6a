package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// startsWithBases plans and returns the starts for a node with what was known for each.
func (h *harness) startsWithBases(node string) ([]workflow.StartOrder, []engine.StartBasis) {
	h.engine.Tick(h.now)
	h.engine.Plan(h.now, h.now)
	h.engine.MarkStored(h.engine.TakeDirty())
	for _, d := range h.engine.TakeOrders() {
		h.Assert(d.Bases, qt.HasLen, len(d.Orders.Starts))
		if d.Node == node {
			return d.Orders.Starts, d.Bases
		}
	}
	return nil, nil
}

// restartCase ends the run that an executor "i-a@1" has of a task.
type restartCase struct {
	end    func(h *harness, job workflow.Job, run workflow.RunState)
	node   string
	former engine.FormerRun
}

// sendReport sends a report of node "a" with the next number.
func (h *harness) sendReport(r workflow.Report) {
	r.Incarnation = 1
	h.send("a", &r)
}

func endedBy(how workflow.EndReason) func(h *harness, job workflow.Job, run workflow.RunState) {
	return func(h *harness, _ workflow.Job, run workflow.RunState) {
		h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, How: how}})
	}
}

// restored passes the job on to a new owner with the given phase of its task in the record, and lets 8.7 s pass if the owner has
// to wait for the lease.
func restored(phase workflow.TaskPhase) func(h *harness, job workflow.Job, run workflow.RunState) {
	return func(h *harness, job workflow.Job, run workflow.RunState) {
		record := workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{{Phase: phase, Run: run.Run}}}
		if phase == workflow.TaskAssigned {
			record.Tasks[0].Life, record.Tasks[0].Node = "i-a@1", "a"
		}
		h.takeOver(job, record)
		h.now = h.now.Add(8700 * time.Millisecond)
		h.engine.ExpireLeases(h.now)
	}
}

var restartCases = map[string]restartCase{
	"lease expired": {
		func(h *harness, _ workflow.Job, _ workflow.RunState) {
			h.now = h.now.Add(7100 * time.Millisecond)
			h.engine.ExpireLeases(h.now)
		}, "b",
		engine.FormerRun{Cause: engine.LeaseExpired, LeaseSource: engine.LeaseOfOwner, ListAge: 7100 * time.Millisecond, Started: true, Listed: true},
	},
	"executor left": {
		func(h *harness, _ workflow.Job, run workflow.RunState) {
			left := executor("a", 1)
			left.Draining, left.Left = true, true
			h.sendReport(workflow.Report{Executor: left, Listed: true, ListAgeMillis: 300, Running: []workflow.RunState{run}})
		}, "b",
		engine.FormerRun{Cause: engine.ExecutorLeft, ListAge: 300 * time.Millisecond, Started: true, Listed: true},
	},
	"executor refuses connections while it drains": {
		func(h *harness, _ workflow.Job, _ workflow.RunState) {
			draining := executor("a", 1)
			draining.Draining = true
			h.sendReport(workflow.Report{
				Executor: draining, ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 1}, LeaseBound: &workflow.LeaseBound{},
			})
		}, "b",
		engine.FormerRun{Cause: engine.ExecutorLeft, Started: true, Listed: true},
	},
	"executor replaced": {
		func(h *harness, _ workflow.Job, _ workflow.RunState) {
			other := executor("a", 2)
			other.ID = "i-other"
			h.report("a", other, nil, nil)
		}, "b",
		engine.FormerRun{Cause: engine.ExecutorReplaced, Started: true, Listed: true},
	},
	"not listed and stopped": {
		func(h *harness, _ workflow.Job, _ workflow.RunState) {
			h.report("a", executor("a", 1), nil, nil)
			h.accept("a", h.plan()["a"])
			h.report("a", executor("a", 1), nil, nil)
		}, "b",
		engine.FormerRun{Cause: engine.UnlistedAndStopped, Started: true, Listed: true, StopReason: "its executor doesn't list it"},
	},
	"next incarnation": {
		func(h *harness, _ workflow.Job, _ workflow.RunState) {
			h.report("a", executor("a", 2), nil, nil)
			h.accept("a", h.plan()["a"])
			h.report("a", executor("a", 2), nil, nil)
		}, "b",
		engine.FormerRun{Executor: "i-a@2", Cause: engine.UnlistedAndStopped, Reassigned: true, StopReason: "its executor doesn't list it"},
	},
	"failed":  {endedBy(workflow.EndFailed), "b", engine.FormerRun{Cause: "ended failed", Started: true, Listed: true}},
	"stopped": {endedBy(workflow.EndStopped), "b", engine.FormerRun{Cause: "ended stopped", Started: true, Listed: true}},
	"lapsed":  {endedBy(workflow.EndLapsed), "b", engine.FormerRun{Cause: "ended lapsed", Started: true, Listed: true}},
	"broken":  {endedBy(workflow.EndBroken), "b", engine.FormerRun{Cause: "ended broken", Started: true, Listed: true}},
	"restored as waiting": {
		restored(workflow.TaskWaiting), "b",
		engine.FormerRun{Executor: "none", Cause: engine.RestoredAsWaiting, ListAge: engine.UnknownAge, Restored: true},
	},
	"restored as assigned": {
		restored(workflow.TaskAssigned), "b",
		engine.FormerRun{Cause: engine.LeaseExpired, LeaseSource: engine.LeaseOfTakeover, ListAge: engine.UnknownAge, Restored: true},
	},
}

// Guards against a restart whose cause, or what its owner knew of the former run, the owner can't tell.
func TestRestartsTellHowFormerRunEnded(t *testing.T) {
	for name, test := range restartCases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			job := h.job(step(1))
			h.engine.Add(job, nil, h.now, h.now)
			h.report("a", executor("a", 1), nil, nil)
			starts, bases := h.startsWithBases("a")
			h.Assert(bases[0].Former, qt.IsNil)
			h.Assert(bases[0].JobRecorded, qt.IsFalse)
			running := h.accept("a", workflow.Orders{Starts: starts})
			h.report("a", executor("a", 1), running, nil)
			test.end(h, job, running[0])
			h.engine.SetEvacuated([]string{"domain-a"})
			h.report(test.node, executor(test.node, 1), nil, nil)
			h.now = h.now.Add(40 * time.Millisecond)
			starts, bases = h.startsWithBases(test.node)
			h.Assert(starts, qt.HasLen, 1)
			expected := test.former
			expected.Run = 1
			switch expected.Executor {
			case "":
				expected.Executor = "i-a@1"
			case "none":
				expected.Executor = ""
			}
			h.Assert(*bases[0].Former, qt.Equals, expected)
			h.Assert(bases[0].JobRecorded, qt.Equals, expected.Restored)
		})
	}
}

// Guards against a rejected start that hides how the run before it ended.
func TestRejectedStartKeepsFormerRun(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	reject := func() {
		h.now = h.now.Add(time.Second)
		h.report("a", executor("a", 1), nil, nil)
		starts, _ := h.startsWithBases("a")
		h.Assert(starts, qt.HasLen, 1)
		h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: starts[0].Task, Run: starts[0].Run, Outcome: workflow.OutcomeRejected}, h.now)
	}
	next := func() ([]workflow.StartOrder, engine.StartBasis) {
		h.now = h.now.Add(time.Second)
		h.report("a", executor("a", 1), nil, nil)
		starts, bases := h.startsWithBases("a")
		h.Assert(starts, qt.HasLen, 1)
		return starts, bases[0]
	}
	reject()
	starts, basis := next()
	h.Assert(basis.Former.Cause, qt.Equals, engine.StartRejected)
	h.Assert(basis.RejectedStarts, qt.Equals, 1)
	running := h.accept("a", workflow.Orders{Starts: starts})
	endedBy(workflow.EndStopped)(h, workflow.Job{}, running[0])
	reject()
	reject()
	_, basis = next()
	h.Assert(basis.Former.Cause, qt.Equals, engine.EndCause("ended stopped"))
	h.Assert(basis.Former.Run, qt.Equals, 2)
	h.Assert(basis.RejectedStarts, qt.Equals, 2)
}
