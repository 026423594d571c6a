package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// reportLists sends a report of node "a" with lists of the given age.
func (h *harness) reportLists(age time.Duration) {
	h.send("a", &workflow.Report{
		Incarnation: 1, Executor: executor("a", 1), Listed: true, EndsComplete: true,
		ListAgeMillis: age.Milliseconds(), CoveredSequence: 1 << 40,
	})
}

// Guards against a start on an executor whose lease has expired, or expires before the node would accept the start. The task would be
// taken for ended at once, and the executor for crashed, while the order could still be carried out under the next lease (ROUTE, TWICE).
func TestNothingStartsUnderExpiredLease(t *testing.T) {
	for name, test := range map[string]struct {
		sinceRenewal time.Duration
		starts       int
	}{
		"soon after a renewal": {3 * time.Second, 1},
		"shortly before":       {leaseExpiry - 1200*time.Millisecond, 0},
		"expired":              {leaseExpiry + time.Millisecond, 0},
		"long expired":         {2 * leaseExpiry, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportLists(0)
			h.now = h.now.Add(test.sinceRenewal)
			h.engine.ExpireLeases(h.now)
			h.reportLists(1500 * time.Millisecond)
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, test.starts)
			h.now = h.now.Add(100 * time.Millisecond)
			h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 0)
			crashes, _ := h.engine.TakeCrashes()
			h.Assert(crashes, qt.HasLen, 0)
			h.reportLists(0)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 1-test.starts, qt.Commentf("the lease is renewed"))
		})
	}
}

// Guards against a start that a node accepts after its owner has taken the lease for expired (ROUTE, TWICE): a start that is based on a
// report that did not renew the lease stays valid for longer than the lease.
func TestStartsAreBasedOnReportThatRenewedLease(t *testing.T) {
	h := newHarness(t)
	h.reportLists(0)
	h.now = h.now.Add(2 * time.Second)
	h.reportLists(1500 * time.Millisecond)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	orders := h.plan()["a"]
	h.Assert(orders.Starts, qt.HasLen, 1)
	h.Assert(orders.ReportNumber, qt.Equals, int64(1))
	h.Assert(orders.LeaseMillis, qt.Equals, int64(6500))
}

// Guards against starts that are based on a report of a former process of the node, or of a former incarnation of the executor: that
// report did not renew the present lease.
func TestLeaseOfFormerProcessAdmitsNoStart(t *testing.T) {
	for name, next := range map[string]workflow.Report{
		"process":     {Incarnation: 2, Executor: executor("a", 1)},
		"incarnation": {Incarnation: 1, Executor: executor("a", 2)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reportLists(0)
			next.Listed, next.EndsComplete, next.ListAgeMillis = true, true, 1500
			h.send("a", &next)
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
			next.ListAgeMillis = 0
			h.send("a", &next)
			orders := h.plan()["a"]
			h.Assert(orders.Starts, qt.HasLen, 1)
			h.Assert(orders.ReportNumber, qt.Equals, next.Number)
		})
	}
}
