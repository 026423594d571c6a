package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a lease that the owner does not count: a node without lists got one, and the tasks were started elsewhere
// before it had expired.
func TestReportsWithoutListsRenewNoLease(t *testing.T) {
	h := newHarness(t)
	h.report("a", executor("a", 1), nil, nil)
	for range 8 {
		h.now = h.now.Add(900 * time.Millisecond)
		h.reports["a"]++
		_, granted := h.engine.HandleReport(&workflow.Report{
			Node: "a", Address: "a", Incarnation: 2, Number: h.reports["a"], Executor: executor("a", 1),
		}, h.now, h.now)
		h.Assert(granted, qt.IsFalse)
	}
}
