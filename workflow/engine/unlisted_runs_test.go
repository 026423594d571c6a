package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// testUnlistedMargin is what a stop time of 900 ms leaves beyond the margin of all leases.
const testUnlistedMargin = 600 * time.Millisecond

// newUnlistedHarness returns a harness of engines with testUnlistedMargin.
func newUnlistedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.unlistedMargin = testUnlistedMargin
	h.engine = h.newEngine()
	return h
}

// Guards against a run that is stopped while the next one of its task starts (TWICE, issue 43): its start was accepted, but by an
// incarnation that the owner hasn't heard of, under a lease that only the node knows. Guards as well against runs that are held although
// their executor has listed them, and a crash that counts twice.
func TestUnlistedRunIsHeldWhileItMayBeStopped(t *testing.T) {
	h := newUnlistedHarness(t)
	_, _, running := h.assigned(executor("a", 1))
	h.send("a", &workflow.Report{Incarnation: 1, Executor: executor("a", 1), Listed: true, Running: running[:1]})
	grantedAt := h.now
	var lapsed []engine.Lapse
	var after []time.Duration
	crashes := 0
	for h.now.Sub(grantedAt) < 10*time.Second {
		h.now = h.now.Add(10 * time.Millisecond)
		for _, l := range h.engine.ExpireLeases(h.now) {
			lapsed, after = append(lapsed, l), append(after, h.now.Sub(grantedAt))
		}
		counted, _ := h.engine.TakeCrashes()
		crashes += len(counted)
		if h.now.Sub(grantedAt) > leaseExpiry-time.Second && len(lapsed) == 0 {
			// The node reports, so that the executor counts as crashed when its lease has expired.
			h.send("a", &workflow.Report{Incarnation: 1, Executor: executor("a", 1), Listed: true, Running: running[:1], ListAgeMillis: h.now.Sub(grantedAt).Milliseconds()})
		}
	}
	h.Assert(after, qt.DeepEquals, []time.Duration{leaseExpiry, leaseExpiry + testUnlistedMargin})
	h.Check(lapsed[0].Tasks, qt.Equals, 1)
	h.Check(lapsed[1].Tasks, qt.Equals, 1)
	h.Check(crashes, qt.Equals, 1)
}

// Guards against the same over a change of owner, and against long-running tasks that wait for so long that they count as lost: a new owner
// doesn't know which runs were listed.
func TestUnlistedRunIsHeldOverChangeOfOwner(t *testing.T) {
	for name, test := range map[string]struct {
		listed, handsOver, longRunning bool
		// nodeKnows is set if the node on the executor's host reports that the lease lasts for two seconds.
		nodeKnows bool
		after     time.Duration
	}{
		"hand-over, not listed":               {handsOver: true, after: leaseExpiry + testUnlistedMargin},
		"hand-over, listed":                   {handsOver: true, listed: true, after: leaseExpiry},
		"hand-over, not listed, long-running": {handsOver: true, longRunning: true, after: leaseExpiry + testUnlistedMargin},
		"takeover":                            {after: 8660*time.Millisecond + testUnlistedMargin},
		"takeover, long-running":              {longRunning: true, after: 8660 * time.Millisecond},
		"takeover, known to the node":         {nodeKnows: true, after: 2560 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newUnlistedHarness(t)
			x := executor("a", 1)
			job, record, running := h.assigned(x)
			if test.listed {
				h.report("a", x, running, nil)
			}
			job.Steps[0].LongRunning = test.longRunning
			if test.handsOver {
				h.handOver(0, job, record)
			} else {
				h.takeOver(job, record)
			}
			if test.nodeKnows {
				h.send("a", &workflow.Report{Incarnation: 1, LeaseBound: &workflow.LeaseBound{LeftMillis: 2000}})
			}
			after, _ := h.lapsesAfter()
			h.Check(after >= test.after && after < test.after+20*time.Millisecond, qt.IsTrue, qt.Commentf("%v, want %v", after, test.after))
		})
	}
}
