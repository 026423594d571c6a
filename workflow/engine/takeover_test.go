package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against long-running tasks that still wait after all executors have returned from a power failure, and against
// a new owner that places them all on the first executors that report.
func TestLongRunningTasksWaitForKnownHosts(t *testing.T) {
	h := newHarness(t)
	longRunning := step(2)
	longRunning.LongRunning, longRunning.PerExecutor = true, 1
	job := h.job(longRunning)
	nodes := []string{"a", "b"}
	for range 2 {
		for _, node := range nodes {
			h.report(node, executor(node, 1), nil, nil)
		}
		h.now = h.now.Add(1900 * time.Millisecond)
	}
	h.engine.Add(job, nil, h.now, h.now)
	h.engine.Plan(h.now, h.now)
	record := h.engine.TakeDirty()[0].Record
	h.takeOver(job, record)
	starts := 0
	for i, node := range nodes {
		next := executor(node, 2)
		next.ID = "next-" + node
		h.report(node, next, nil, nil)
		for _, orders := range h.plan() {
			starts += len(orders.Starts)
		}
		h.Assert(starts, qt.Equals, 2*i)
	}
}

// Guards against a finished job that a new owner doesn't know or starts again.
func TestFinishedJobIsKnownByItsRecord(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.AddEnded(job.ID, &workflow.JobRecord{Phase: workflow.Completed, EndedUnixMillis: h.now.UnixMilli()})
	h.engine.Add(job, nil, h.now, h.now)
	h.engine.Cancel(job.ID, h.now, h.now)
	h.report("a", executor("a", 1), []workflow.RunState{{Task: job.ID + ".0.0.0", Run: 1}}, nil)
	orders := h.plan()["a"]
	h.Assert(orders.Starts, qt.HasLen, 0)
	h.Assert(orders.Stops, qt.HasLen, 1)
	h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
	h.Assert(h.engine.ExpiredJobs(h.now.Add(3*time.Minute), 8), qt.DeepEquals, []string{job.ID})
}

// Guards against a start beyond the limit of a step on an executor whose lists have reached a new owner before the record of the job
// (ROUTE): the run in the record counts there, whether the lists contain it or its start is still to be carried out.
func TestRunOfRecordReadAfterListsCounts(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not listed": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			job := h.job(limited())
			h.engine.Add(job, nil, h.now, h.now)
			h.report("a", executor("a", 1), nil, nil)
			h.engine.Plan(h.now, h.now)
			record := h.engine.TakeDirty()[0].Record
			running := h.accept("a", h.engine.TakeOrders()[0].Orders)
			h.Assert(running, qt.HasLen, 1)
			h.engine = h.newEngine()
			if listed {
				h.report("a", executor("a", 1), running, nil)
			} else {
				h.report("a", executor("a", 1), nil, nil)
			}
			h.engine.Add(job, &record, h.now, h.now)
			for range 2 {
				h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
				h.now = h.now.Add(time.Second)
				if listed {
					h.report("a", executor("a", 1), running, nil)
				}
			}
			h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: running[0].Task, Run: 1, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 2}, h.now)
			h.report("a", executor("a", 1), nil, nil)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
		})
	}
}
