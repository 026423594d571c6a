package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against starts on an executor of another pool, on one without the required label, and beyond a step's limit of
// tasks per executor.
func TestPlacementConstraints(t *testing.T) {
	h := newHarness(t)
	otherPool, unlabelled, labelled := executor("a", 1), executor("b", 1), executor("c", 1)
	otherPool.Pool, otherPool.Labels = "other", []string{"ssd"}
	labelled.Labels = []string{"ssd"}
	restricted := step(4)
	restricted.Label, restricted.PerExecutor = "ssd", 2
	h.engine.Add(h.job(restricted), nil, h.now, h.now)
	for node, x := range map[string]*workflow.Executor{"a": otherPool, "b": unlabelled, "c": labelled} {
		h.report(node, x, nil, nil)
	}
	orders := h.plan()
	h.Assert(orders, qt.HasLen, 1)
	h.Assert(orders["c"].Starts, qt.HasLen, 2)
}

// Guards against stops of long-running serving tasks: they run until their job ends, whatever best-effort tasks run on
// the same executor.
func TestServingTasksAreNotStopped(t *testing.T) {
	s := newSharingHarness(t, 33)
	for _, latency := range []float64{90, 150, 900, 5000, 5000, 5000} {
		for _, node := range s.nodes {
			s.running[node][0].Usage = latency
		}
		s.reportAll()
		for _, orders := range s.plan() {
			s.Assert(orders.Stops, qt.HasLen, 0)
		}
	}
}
