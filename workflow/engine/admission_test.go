package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// configure puts a version of the configuration in force in which the given queues accept jobs.
func (h *harness) configure(version int64, queues ...workflow.Queue) {
	h.engine.Configure(&workflow.Config{Version: version, Queues: queues, Pools: []workflow.Pool{{Name: "pool"}, {Name: "other"}}})
}

// labelled returns an executor with labels.
func labelled(node string, labels ...string) *workflow.Executor {
	x := executor(node, 1)
	x.Labels = labels
	return x
}

// Guards against a start that breaks a constraint and is logged without what its owner assumed (incident ROUTE), or with the state at
// its delivery instead of the decision.
func TestStartTellsWhatAdmittedIt(t *testing.T) {
	h := newHarness(t)
	limited := step(3)
	limited.Label, limited.PerExecutor = "fast", 2
	h.engine.Add(h.job(limited), nil, h.now, h.now)
	h.report("a", labelled("a", "fast", "r1"), nil, nil)
	h.engine.Plan(h.now, h.now)
	moved := queue
	moved.Pool = "other"
	h.configure(2, moved)
	h.report("a", labelled("a", "slow"), nil, nil)
	deliveries := h.engine.TakeOrders()
	h.Assert(deliveries, qt.HasLen, 1)
	h.Assert(deliveries[0].Bases, qt.HasLen, 2)
	for i, basis := range deliveries[0].Bases {
		h.Assert(basis.Admission, qt.DeepEquals, engine.Admission{
			ConfigVersion: 1, Queue: "checks", Pool: "pool", ExecutorPool: "pool", ExecutorLabels: []string{"fast", "r1"}, Label: "fast",
			Limit: 2, Counted: i + 1,
		})
	}
}

// Guards against a start that doesn't say that the configuration has dropped its queue, or sends it to another pool than when the job
// was accepted.
func TestStartTellsPoolOfItsQueue(t *testing.T) {
	for name, test := range map[string]struct {
		queues    []workflow.Queue
		admission engine.Admission
	}{
		"dropped": {nil, engine.Admission{ConfigVersion: 2, Queue: "checks", Pool: "pool", QueueRemoved: true, ExecutorPool: "pool"}},
		"moved":   {[]workflow.Queue{{Name: "checks", Pool: "other"}}, engine.Admission{ConfigVersion: 2, Queue: "checks", Pool: "other", ExecutorPool: "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			h.configure(2, test.queues...)
			x := executor("a", 1)
			x.Pool = test.admission.Pool
			h.report("a", x, nil, nil)
			_, bases := h.startsWithBases("a")
			h.Assert(bases, qt.HasLen, 1)
			h.Assert(bases[0].Admission, qt.DeepEquals, test.admission)
		})
	}
}
