package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a run of a stale start that a new owner takes for ended before its lease has expired (TWICE): the incarnation has
// answered one call and was cut off, so that its lists are too old for a grant when they reach the owner.
func TestNewOwnerForgetsStaleLeaseThatItDidNotRenew(t *testing.T) {
	h := newHarness(t)
	job, record, running := h.assigned(executor("a", 1))
	h.takeOver(job, record)
	_, granted := h.send("a", &workflow.Report{
		Incarnation: 1, Executor: executor("a", 2), Listed: true, ListAgeMillis: 1400, EndsComplete: true, Running: running,
		StaleLease: &workflow.StaleLease{LeftMillis: 8800},
	})
	h.Assert(granted, qt.IsFalse)
	waited, _ := h.lapsesAfter()
	h.Assert(waited >= 8800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
}

// Guards against the same after a hand-over, where the new owner counts no more than the former one has stored.
func TestOwnerAfterHandOverForgetsStaleLeaseThatItDidNotRenew(t *testing.T) {
	h := newHarness(t)
	job, record, running := h.assigned(executor("a", 1))
	h.now = h.now.Add(10 * time.Second)
	h.report("a", executor("a", 1), running, nil)
	leases := h.engine.FinalLeases(h.now)
	h.takeOver(job, record)
	h.engine.InheritLeases(&leases, h.now)
	h.send("a", &workflow.Report{
		Incarnation: 1, Executor: executor("a", 2), Listed: true, ListAgeMillis: 1400, EndsComplete: true, Running: running,
		StaleLease: &workflow.StaleLease{LeftMillis: 8800},
	})
	waited, _ := h.lapsesAfter()
	h.Assert(waited >= 8800*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
}

// Guards against a node's process that is told that no former one had a lease, although one had: the owner ignores its reports at first,
// since the time of day was set back before it started.
func TestProcessAfterClockWasSetBackIsTakenForFirst(t *testing.T) {
	h := newHarness(t)
	h.engine = h.newFirstEngine()
	x := executor("a", 1)
	h.reportStale(x, 2, nil)
	h.reports["a"] = 0
	h.reportStale(x, 1, nil)
	h.Assert(h.engine.IsFirstProcess("a", 1), qt.IsFalse)
}

// Guards against an executor that gets no start for seconds although its node no longer reports a stale lease.
func TestStaleLeaseThatWasDisprovedBlocksStarts(t *testing.T) {
	h := newHarness(t)
	x := executor("a", 2)
	h.reportStale(x, 1, nil)
	h.reportStale(x, 1, &workflow.StaleLease{LeftMillis: 10_200})
	h.now = h.now.Add(900 * time.Millisecond)
	h.reportStale(x, 1, nil)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}
