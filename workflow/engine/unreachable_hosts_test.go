package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against starts on hosts that have just been lost, whose tasks can't restart until the leases there have
// expired (found in a sweep of vaidlusmaja-large: four seconds without service after the loss of a failure domain).
func TestStartsPreferHostsWithRecentReports(t *testing.T) {
	h := newHarness(t)
	h.report("a", executor("a", 1), nil, nil)
	small := executor("b", 1)
	small.Capacity.MilliCores = 2000
	h.report("b", small, nil, nil)
	h.now = h.now.Add(1400 * time.Millisecond)
	h.report("b", small, nil, nil)
	h.engine.Add(h.job(step(3)), nil, h.now, h.now)
	orders := h.plan()
	h.Assert(orders["b"].Starts, qt.HasLen, 2)
	h.Assert(orders["a"].Starts, qt.HasLen, 1, qt.Commentf("no other executor has room"))
}

// Guards against a task that is repeatedly sent to an unreachable executor although other executors are reachable.
func TestUnreachableExecutorBackoff(t *testing.T) {
	h := newHarness(t)
	h.report("a", executor("a", 1), nil, nil)
	small := executor("b", 1)
	small.Capacity.MilliCores = 2000
	h.report("b", small, nil, nil)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	start := h.plan()["a"].Starts[0]
	h.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: start.Task, Run: 1, Outcome: workflow.OutcomeRejected, Reason: "unreachable"}, h.now)
	h.now = h.now.Add(200 * time.Millisecond)
	orders := h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 0)
	h.Assert(orders["b"].Starts, qt.HasLen, 1)
}

// Guards against a host that is never used again because its node process restarted after the wall clock was set back:
// incarnations of a node are ordered by start time.
func TestNodeRestartWithClockSetBack(t *testing.T) {
	h := newHarness(t)
	report := func(incarnation, number int64) bool {
		_, granted := h.engine.HandleReport(&workflow.Report{
			Node: "a", Address: "a", Incarnation: incarnation, Number: number, Executor: executor("a", 1), Listed: true, EndsComplete: true,
		}, h.now, h.now)
		return granted
	}
	h.Assert(report(1000, 500), qt.IsTrue)
	h.Assert(report(900, 499), qt.IsFalse, qt.Commentf("a late report of the former process"))
	h.now = h.now.Add(500 * time.Millisecond)
	h.Assert(report(900, 1), qt.IsFalse, qt.Commentf("the process with the higher incarnation has just reported"))
	h.now = h.now.Add(900 * time.Millisecond)
	h.Assert(report(900, 499), qt.IsFalse)
	h.Assert(report(900, 2), qt.IsTrue)
	h.Assert(report(900, 3), qt.IsTrue)
}
