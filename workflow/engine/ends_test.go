package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against tasks that are done and are started again, because an executor doesn't list an end yet and the report doesn't say
// that it lists all of them, as those of older nodes don't (review/1: TWICE).
func TestTaskMissingFromPartialListsStaysAssigned(t *testing.T) {
	h := newHarness(t)
	x := executor("a", 1)
	job, running := h.startJob(x, step(1))
	for range 3 {
		h.now = h.now.Add(time.Second)
		h.send("a", &workflow.Report{Incarnation: 1, Executor: x, Listed: true, CoveredSequence: 1 << 40})
		orders := h.plan()["a"]
		h.Assert(orders.Starts, qt.HasLen, 0)
		h.Assert(orders.Stops, qt.HasLen, 0)
	}
	h.report("a", x, nil, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
}

// Guards against an end `done` that is acknowledged without effect, because the task was moved to another incarnation with the same
// run (TWICE).
func TestDoneRunOfFormerIncarnationFinishesTask(t *testing.T) {
	h := newHarness(t)
	former := executor("a", 1)
	job, running := h.startJob(former, step(1))
	next := executor("b", 2)
	next.ID = former.ID
	h.report("b", next, nil, nil)
	ack := h.report("a", former, nil, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
	h.Assert(ack, qt.Equals, int64(1))
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 0)
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
}

// Guards against an end `done` that is acknowledged without effect, because the run is later than the last one in the job's record
// (TWICE).
func TestDoneRunBeyondRecordFinishesTask(t *testing.T) {
	for _, assigned := range []bool{false, true} {
		h := newHarness(t)
		job := h.job(step(1))
		record := &workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{{Phase: workflow.TaskWaiting, Run: 1}}}
		x := executor("a", 1)
		if assigned {
			record.Tasks[0].Phase, record.Tasks[0].Life, record.Tasks[0].Node = workflow.TaskAssigned, x.IncarnationID(), "a"
		}
		h.engine.Add(job, record, h.now, h.now)
		name := workflow.TaskID{Job: job.ID}.String()
		ack := h.report("a", x, nil, []workflow.RunEnd{{Number: 1, Task: name, Run: 3, How: workflow.EndDone}})
		h.Assert(ack, qt.Equals, int64(1))
		h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
		h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
	}
}

// Guards against a cancelled task that runs on since the stop that its executor has accepted had no effect: an executor that fetches its
// orders may not have received the answer.
func TestAcceptedStopIsOrderedAgainWhileRunIsListed(t *testing.T) {
	h := newHarness(t)
	x := executor("a", 1)
	job, running := h.startJob(x, step(1))
	h.report("a", x, running, nil)
	h.engine.Cancel(job.ID, h.now, h.now)
	for range 3 {
		orders := h.plan()["a"]
		h.Assert(orders.Stops, qt.HasLen, 1)
		h.accept("a", orders)
		h.now = h.now.Add(time.Second)
		h.report("a", x, running, nil)
	}
}
