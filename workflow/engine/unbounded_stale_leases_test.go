package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a task that runs twice (TWICE, issue 43): the node has told the owner that the next incarnation of an executor may hold a
// stale lease, and not how long it is, before both were cut off. The owner counts the lease that it granted to the former one, although the
// next one may hold the longest lease that executors take.
func TestRunMovedUnderUnboundedStaleLeaseIsHeldForLongestLease(t *testing.T) {
	const longestLease = 10_200 * time.Millisecond
	for name, listed := range map[string]bool{"announced": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			h := newUnlistedHarness(t)
			_, _, running := h.assigned(executor("a", 1))
			report := workflow.Report{Incarnation: 1, Executor: executor("a", 2), StaleLease: &workflow.StaleLease{Unbounded: true}}
			if listed {
				report.Listed, report.EndsComplete, report.Running, report.StaleLease.OfFormerProcess = true, true, running, true
			}
			h.send("a", &report)
			after, _ := h.lapsesAfter()
			h.Check(after >= longestLease, qt.IsTrue, qt.Commentf("counted as ended after %v", after))
		})
	}
}
