package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// crashUnderDoneTask makes the first task of a job crash executors until the job is to be given up, and then reports that earlier runs
// have finished both tasks. The start of the next run of the second task has no answer. It returns that start and its node.
func (h *harness) crashUnderDoneTask(job workflow.Job) (pending workflow.StartOrder, node string) {
	h.engine.Add(job, &workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{
		{Index: 0, Phase: workflow.TaskWaiting, Run: 1, Crashes: 4, Suspicions: 2}, {Index: 1, Phase: workflow.TaskWaiting, Run: 1},
	}}, h.now, h.now)
	h.report("a", executor("a", 10_000), nil, nil)
	h.report("b", executor("b", 10_000), nil, nil)
	orders := h.plan()
	crashed, node := "a", "b"
	if orders[crashed].Starts[0].Task != job.ID+".0.0.0" {
		crashed, node = node, crashed
	}
	crashing, pending := h.accept(crashed, orders[crashed]), orders[node].Starts[0]
	h.Assert(crashing, qt.HasLen, 1)
	h.report(crashed, executor(crashed, 10_000), crashing, nil)
	next := executor(crashed, 20_000)
	next.ID += "x"
	h.report(crashed, next, nil, nil)
	h.report("c", executor("c", 10_000), nil, []workflow.RunEnd{
		{Number: 1, Task: crashing[0].Task, Run: 1, How: workflow.EndDone}, {Number: 2, Task: pending.Task, Run: 1, How: workflow.EndDone},
	})
	return pending, node
}

// Guards against a job that is given up although all of its tasks are done: it isn't finished yet, since a start has no answer.
func TestDoneJobIsNotGivenUpWhileStartIsPending(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(2))
	pending, node := h.crashUnderDoneTask(job)
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
	h.engine.HandleOrderResult(node, 1, &workflow.OrderResult{Task: pending.Task, Run: 2, Outcome: workflow.OutcomeDone, Sequence: 1}, h.now)
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
}

// Guards against a job that is given up for a task that is done and starts no more, while other steps of it are left.
func TestJobIsNotGivenUpForDoneTask(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(2), step(1))
	h.crashUnderDoneTask(job)
	h.plan()
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
}
