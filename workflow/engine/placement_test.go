package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against starts on an executor of another pool, without the label that the step requires, and beyond the number of
// tasks of a step that one executor may run.
func TestStartsKeepToPoolLabelAndSpread(t *testing.T) {
	h := newHarness(t)
	foreign, bare, labelled := executor("a", 1), executor("b", 1), executor("c", 1)
	foreign.Pool, foreign.Labels = "other", []string{"ssd"}
	labelled.Labels = []string{"ssd"}
	restricted := step(4)
	restricted.Label, restricted.PerExecutor = "ssd", 2
	h.engine.Add(h.job(restricted), nil, h.now, h.now)
	for node, x := range map[string]*workflow.Executor{"a": foreign, "b": bare, "c": labelled} {
		h.report(node, x, nil, nil)
	}
	orders := h.plan()
	h.Assert(orders, qt.HasLen, 1)
	h.Assert(orders["c"].Starts, qt.HasLen, 2)
}

// Guards against stops of tasks that last and serve: they run until their job ends, whatever fills the executors beside them.
func TestServingTasksAreNotStopped(t *testing.T) {
	s := newSharing(t, 33)
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
