package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// reportStale sends a report of node "a" of an executor that has listed its runs and may hold a stale lease. process is the start time of
// the node's process.
func (h *harness) reportStale(x *workflow.Executor, process int64, stale *workflow.StaleLease) {
	h.send("a", &workflow.Report{Incarnation: process, Executor: x, Listed: true, EndsComplete: true, CoveredSequence: 1 << 40, StaleLease: stale})
}

// renewUntilStart sends reports each 100 ms until a start is ordered, and returns after how long it was.
func (h *harness) renewUntilStart(x *workflow.Executor, left time.Duration) time.Duration {
	began := h.now
	for h.now.Sub(began) < 20*time.Second {
		stale := &workflow.StaleLease{LeftMillis: (left - h.now.Sub(began)).Milliseconds()}
		if stale.LeftMillis <= 0 {
			stale = nil
		}
		h.reportStale(x, 1, stale)
		if len(h.plan()["a"].Starts) > 0 {
			return h.now.Sub(began)
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
	h.Fatal("nothing has started")
	return 0
}

// Guards against a start on an executor that holds a lease from calls for its former incarnation, which lasts longer than the owner
// counts (TWICE): it is cut off, and its tasks start elsewhere while they still run.
func TestNothingStartsBeforeGrantedLeaseOutlastsStaleOne(t *testing.T) {
	const left = 10 * time.Second
	h := newHarness(t)
	x := executor("a", 2)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.reportStale(x, 1, &workflow.StaleLease{Unbounded: true})
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 0, qt.Commentf("more stale calls may arrive"))
	waited := h.renewUntilStart(x, left)
	h.Assert(waited >= left-leaseExpiry, qt.IsTrue, qt.Commentf("%v", waited))
	h.Assert(waited <= left-leaseExpiry+time.Second, qt.IsTrue, qt.Commentf("%v", waited))
}

// Guards against an executor that waits although its incarnation is known to take no further stale calls, or has had no lease before.
func TestStaleLeaseOfFormerProcessIsKnownBefore(t *testing.T) {
	ofFormer := func() *workflow.StaleLease { return &workflow.StaleLease{LeftMillis: 10_000, OfFormerProcess: true} }
	for name, test := range map[string]struct {
		before func(h *harness)
		starts int
	}{
		"nothing known":         {func(*harness) {}, 0},
		"incarnation known":     {func(h *harness) { h.reportStale(executor("a", 2), 1, nil) }, 1},
		"former one known":      {func(h *harness) { h.reportStale(executor("a", 1), 1, nil) }, 0},
		"first lease ever":      {func(h *harness) { h.engine = h.newFirstEngine() }, 1},
		"leased by first owner": {func(h *harness) { h.engine = h.newFirstEngine(); h.reportStale(executor("a", 1), 1, nil) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			test.before(h)
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			h.reportStale(executor("a", 2), 2, ofFormer())
			h.Assert(h.plan()["a"].Starts, qt.HasLen, test.starts)
		})
	}
}

// Guards against an executor that waits after a change of the owner although the former owner has ordered runs on it, and against a
// start beside a run that a stale call may have started there.
func TestRecordedRunShowsThatStaleLeaseIsShort(t *testing.T) {
	for name, reassigned := range map[string]bool{"ordered": false, "reassigned": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			job, record, running := h.assigned(executor("a", 2))
			for i := range record.Tasks {
				record.Tasks[i].Reassigned = reassigned
			}
			h.takeOver(job, record)
			h.send("a", &workflow.Report{
				Incarnation: 2, Executor: executor("a", 2), Listed: true, EndsComplete: true, Running: running,
				StaleLease: &workflow.StaleLease{LeftMillis: 10_000, OfFormerProcess: true},
			})
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			starts := 1
			if reassigned {
				starts = 0
			}
			h.Assert(h.plan()["a"].Starts, qt.HasLen, starts)
		})
	}
}

// Guards against a run that a stale start has started on the next incarnation and that is taken for ended before its lease has expired.
func TestRunOfStaleStartIsHeldForStaleLease(t *testing.T) {
	h := newHarness(t)
	_, _, running := h.assigned(executor("a", 1))
	h.now = h.now.Add(time.Second)
	h.send("a", &workflow.Report{
		Incarnation: 1, Executor: executor("a", 2), Listed: true, EndsComplete: true, Running: running, StaleLease: &workflow.StaleLease{LeftMillis: 10_200},
	})
	waited, _ := h.lapsesAfter()
	h.Assert(waited >= 10_200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", waited))
}
