package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// lapse lets the lease of an executor expire: it gives no answers, while its node keeps reporting.
func (h *harness) lapse(node string, running []workflow.RunState) {
	silentSince := h.now
	for range 10 {
		h.now = h.now.Add(time.Second)
		h.send(node, &workflow.Report{
			Incarnation: 1, Executor: executor(node, 1), Listed: true, EndsComplete: true,
			Running: running, CoveredSequence: 1 << 40, ListAgeMillis: h.now.Sub(silentSince).Milliseconds(),
		})
		h.engine.ExpireLeases(h.now)
	}
}

// startAgain waits until a start is ordered on a node whose executor lists no runs, confirms it and returns the run.
func (h *harness) startAgain(node string, ended []workflow.RunEnd) []workflow.RunState {
	for range 100 {
		h.report(node, executor(node, 1), nil, ended)
		if orders := h.plan()[node]; len(orders.Starts) > 0 {
			running := h.accept(node, orders)
			h.report(node, executor(node, 1), running, ended)
			return running
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
	h.Fatal("no start within 10 s")
	return nil
}

// Guards against a faultless job that is given up because its executors gave no answers for a while: an executor that lists its runs
// again has not crashed (LOST).
func TestJobOfSilentExecutorsIsNotGivenUp(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	var ended []workflow.RunEnd
	for i := range 6 {
		running := h.startAgain("a", ended)
		h.lapse("a", running)
		h.plan()
		ended = []workflow.RunEnd{{Number: int64(i + 1), Task: running[0].Task, Run: running[0].Run, How: workflow.EndLapsed}}
		h.Assert(h.phase(job.ID), qt.Equals, workflow.Running, qt.Commentf("after %d leases that expired", i+1))
	}
}

// Guards against a crash that no longer counts because another one is withdrawn.
func TestCrashOfNextIncarnationCounts(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	h.lapse("a", h.startAgain("a", nil))
	h.report("a", executor("a", 2), nil, nil)
	record := h.engine.TakeDirty()[0].Record
	h.Assert(record.Tasks[0].Crashes, qt.Equals, 1, qt.Commentf("another incarnation lists its runs"))
	h.Assert(record.Tasks[0].Suspicions, qt.Equals, 1)
}
