package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// failGang starts a gang with one member on each of two executors, fails the member on executor "a" and reports the end of the other.
func (h *harness) failGang(number int64) {
	orders := h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 1)
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
	end := func(node string, how workflow.EndReason) {
		running := h.accept(node, orders[node])
		h.report(node, executor(node, 1), nil, []workflow.RunEnd{{Number: number, Task: running[0].Task, Run: running[0].Run, How: how}})
	}
	end("a", workflow.EndFailed)
	end("b", workflow.EndBroken)
}

// Guards against a gang that is never started again once each member has failed on the same one of the executors that it needs
// (review/3: LOST).
func TestGangStartsAgainAfterEachMemberFailedOnOneExecutor(t *testing.T) {
	h := newHarness(t)
	fourAttempts := queue
	fourAttempts.MaxAttempts = 4
	h.engine.Configure(&workflow.Config{Version: 2, Queues: []workflow.Queue{fourAttempts}, Pools: []workflow.Pool{{Name: "pool"}}})
	gang := step(2)
	gang.Gang, gang.PerExecutor = true, 1
	h.engine.Add(h.job(gang), nil, h.now, h.now)
	// The gang could start on no other executor.
	nodes := []string{"a", "b"}
	for _, node := range nodes {
		h.report(node, executor(node, 1), nil, nil)
	}
	small := executor("c", 1)
	small.Capacity.MilliCores = 500
	h.report("c", small, nil, nil)
	h.failGang(1)
	h.failGang(2)
	failed := h.now
	for h.now.Sub(failed) < 3*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, node := range nodes {
			h.report(node, executor(node, 1), nil, nil)
		}
		if orders := h.plan(); len(orders["a"].Starts) == 1 && len(orders["b"].Starts) == 1 {
			return
		}
	}
	h.Fatal("the gang has not started within 3 s")
}

// Guards against a sound gang whose job is given up after fewer failed runs than its queue allows (LOST): each member that lists the same run
// as failed counted as an attempt, also if the next owner learns of the second one.
func TestFailedRunOfGangCountsOnce(t *testing.T) {
	for name, changesOwner := range map[string]bool{"one owner": false, "another owner for the second end": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			twoAttempts := queue
			twoAttempts.MaxAttempts = 2
			configure := func() {
				h.engine.Configure(&workflow.Config{Version: 2, Queues: []workflow.Queue{twoAttempts}, Pools: []workflow.Pool{{Name: "pool"}}})
			}
			configure()
			gang := step(2)
			gang.Gang = true
			job, running := h.startJob(executor("a", 1), gang)
			failed := func(number int64, run workflow.RunState) workflow.RunEnd {
				return workflow.RunEnd{Number: number, Task: run.Task, Run: run.Run, How: workflow.EndFailed}
			}
			h.report("a", executor("a", 1), running[1:], []workflow.RunEnd{failed(1, running[0])})
			if changesOwner {
				record := h.engine.TakeDirty()[0].Record
				h.engine = h.newEngine()
				configure()
				h.engine.Add(job, &record, h.now, h.now)
			}
			h.report("a", executor("a", 1), nil, []workflow.RunEnd{failed(1, running[0]), failed(2, running[1])})
			var next []workflow.RunState
			for range 50 {
				h.now = h.now.Add(100 * time.Millisecond)
				h.report("a", executor("a", 1), nil, nil)
				if next = h.accept("a", h.plan()["a"]); len(next) > 0 {
					break
				}
			}
			h.Assert(next, qt.HasLen, 2)
			h.Assert(h.phase(job.ID), qt.Equals, workflow.Running)
			h.report("a", executor("a", 1), nil, []workflow.RunEnd{failed(3, next[0]), failed(4, next[1])})
			h.plan()
			h.Assert(h.phase(job.ID), qt.Equals, workflow.Failed)
		})
	}
}
