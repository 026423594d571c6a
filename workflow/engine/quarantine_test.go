package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a long-running task that stays down because the only executor with room is the one on which it failed
// before (found with vaidlusmaja trouble-1 --seed 5: LOST 1). A failure of such a task says nothing about the executor.
func TestLongRunningTaskReturnsToOnlyExecutorWithRoom(t *testing.T) {
	h := newHarness(t)
	longRunning, other := step(1), step(7)
	longRunning.LongRunning = true
	nodes := []string{"a", "b"}
	for range 2 {
		for _, node := range nodes {
			h.report(node, executor(node, 1), nil, nil)
		}
		h.now = h.now.Add(1900 * time.Millisecond)
	}
	h.engine.Add(h.job(longRunning), nil, h.now, h.now)
	first := h.plan()
	h.Assert(first, qt.HasLen, 1)
	h.engine.Add(h.job(other), nil, h.now, h.now)
	filled := h.plan()
	h.Assert(len(filled["a"].Starts)+len(filled["b"].Starts), qt.Equals, 7)
	for node, orders := range first {
		run := h.accept(node, orders)[0]
		h.report(node, executor(node, 1), nil, []workflow.RunEnd{{Number: 1, Task: run.Task, Run: run.Run, How: workflow.EndFailed}})
		again := h.plan()[node].Starts
		h.Assert(again, qt.HasLen, 1)
		h.Assert(again[0].Run, qt.Equals, 2)
	}
}

// Guards against an executor that fails every task and, since it is soon empty again, receives most tasks of all jobs.
func TestFailingExecutorGetsFewTasks(t *testing.T) {
	h := newHarness(t)
	ended := map[string][]workflow.RunEnd{}
	starts := 0
	for range 40 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.engine.Add(h.job(step(1)), nil, h.now, h.now)
		for _, node := range []string{"a", "b"} {
			h.report(node, executor(node, 1), nil, ended[node])
		}
		for node, orders := range h.plan() {
			how := workflow.EndDone
			if node == "a" {
				how = workflow.EndFailed
				starts += len(orders.Starts)
			}
			for _, run := range h.accept(node, orders) {
				ended[node] = append(ended[node], workflow.RunEnd{Number: int64(len(ended[node]) + 1), Task: run.Task, Run: run.Run, How: how})
			}
		}
	}
	h.Assert(starts <= 4, qt.IsTrue, qt.Commentf("%d starts on the failing executor", starts))
	h.Assert(h.engine.Quarantined(h.now), qt.DeepEquals, []string{"a"})
}

// Guards against an executor that is avoided for longer than it fails: after a backoff it gets a single probe task.
func TestRecoveredExecutorIsUsedAgain(t *testing.T) {
	h := newHarness(t)
	var ended []workflow.RunEnd
	end := func(how workflow.EndReason) int {
		starts := h.accept("a", h.plan()["a"])
		for _, run := range starts {
			ended = append(ended, workflow.RunEnd{Number: int64(len(ended) + 1), Task: run.Task, Run: run.Run, How: how})
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a", executor("a", 1), nil, ended)
		return len(starts)
	}
	h.report("a", executor("a", 1), nil, nil)
	h.engine.Add(h.job(step(3)), nil, h.now, h.now)
	h.Assert(end(workflow.EndFailed), qt.Equals, 3)
	h.Assert(end(workflow.EndDone), qt.Equals, 0)
	h.now = h.now.Add(8 * time.Second)
	h.report("a", executor("a", 1), nil, ended)
	// The end of a stopped probe is inconclusive, so another probe follows immediately.
	h.Assert(end(workflow.EndStopped), qt.Equals, 1)
	h.Assert(end(workflow.EndDone), qt.Equals, 1)
	h.Assert(end(workflow.EndDone), qt.Equals, 2)
}
