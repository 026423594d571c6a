package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against gangs that never come together again because their members are started with different checkpoints (review/4: GANG).
func TestMembersOfGangStartWithOneCheckpoint(t *testing.T) {
	h := newHarness(t)
	gang := step(2)
	gang.Gang, gang.PerExecutor, gang.Checkpoints = true, 1, true
	job := h.job(gang)
	h.engine.Add(job, nil, h.now, h.now)
	for _, node := range []string{"a", "b"} {
		h.report(node, executor(node, 1), nil, nil)
	}
	orders := h.plan()
	a, b := h.accept("a", orders["a"])[0], h.accept("b", orders["b"])[0]
	h.now = h.now.Add(time.Second)
	b.Saved, a.Saved = "older", "older"
	h.report("b", executor("b", 1), []workflow.RunState{b}, nil)
	h.report("a", executor("a", 1), []workflow.RunState{a}, nil)
	h.now = h.now.Add(time.Second)
	h.report("b", executor("b", 1), nil, []workflow.RunEnd{{Number: 1, Task: b.Task, Run: b.Run, How: workflow.EndBroken, Saved: "newer"}})
	h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: a.Task, Run: a.Run, How: workflow.EndBroken}})
	assertOneCheckpoint(h, h.plan())

	// A new owner reads what the former one has stored, which may be from between two ends.
	record := workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{
		{Index: 0, Phase: workflow.TaskWaiting, Run: 1, Saved: "older"}, {Index: 1, Phase: workflow.TaskWaiting, Run: 1, Saved: "newer"},
	}}
	h.takeOver(job, record)
	for _, node := range []string{"a", "b"} {
		h.report(node, executor(node, 1), nil, nil)
	}
	orders = h.plan()
	h.Assert(orders["a"].Starts[0].Saved, qt.Equals, orders["b"].Starts[0].Saved)
}

func assertOneCheckpoint(h *harness, orders map[string]workflow.Orders) {
	h.Helper()
	for _, node := range []string{"a", "b"} {
		h.Assert(orders[node].Starts, qt.HasLen, 1)
		h.Assert(orders[node].Starts[0].Saved, qt.Equals, "newer", qt.Commentf("%s", node))
	}
}
