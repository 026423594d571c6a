package engine_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a task that starts late, or keeps running, on the next incarnation under its executor's ID although that is in
// another pool, lacks the label of the step or is too small for it (ROUTE, LIMIT).
func TestTaskIsStoppedOnNextIncarnationOfOtherKind(t *testing.T) {
	for name, test := range map[string]struct {
		change func(x *workflow.Executor)
		stops  int
	}{
		"the same kind":   {func(*workflow.Executor) {}, 0},
		"another rack":    {func(x *workflow.Executor) { x.Labels = []string{"large", "r2"} }, 0},
		"another pool":    {func(x *workflow.Executor) { x.Pool = "other" }, 1},
		"another label":   {func(x *workflow.Executor) { x.Labels = []string{"small", "r1"} }, 1},
		"little capacity": {func(x *workflow.Executor) { x.Capacity.MilliCores = 500 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			labelled := step(1)
			labelled.Label = "large"
			x := executor("a", 1)
			x.Labels = []string{"large", "r1"}
			_, running := h.startJob(x, labelled)
			next := executor("a", 2)
			next.Labels = x.Labels
			test.change(next)
			h.reportUnlisted("a", next)
			h.Assert(h.plan()["a"].Stops, qt.HasLen, test.stops, qt.Commentf("before the start can be carried out late"))
			h.now = h.now.Add(time.Second)
			h.report("a", next, running, nil)
			h.Assert(h.plan()["a"].Stops, qt.HasLen, test.stops, qt.Commentf("it has been carried out late"))
			h.report("a", next, nil, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndStopped}})
			other := executor("b", 1)
			other.Labels = x.Labels
			h.report("b", other, nil, nil)
			orders := h.plan()
			h.Assert(len(orders["a"].Starts)+len(orders["b"].Starts), qt.Equals, 1)
		})
	}
}

// Guards against late starts that together exceed the capacity of the next incarnation under their executor's ID, although each fits
// alone (LIMIT).
func TestTasksBeyondRoomOfNextIncarnationAreStopped(t *testing.T) {
	for capacity, stops := range map[int64]int{4000: 0, 3000: 1, 1500: 3} {
		t.Run(strconv.FormatInt(capacity, 10), func(t *testing.T) {
			h := newHarness(t)
			h.engine.Add(h.job(step(4)), nil, h.now, h.now)
			h.report("a", executor("a", 1), nil, nil)
			h.Assert(h.accept("a", h.plan()["a"]), qt.HasLen, 4)
			next := executor("a", 2)
			next.Capacity.MilliCores = capacity
			h.reportUnlisted("a", next)
			h.Assert(h.plan()["a"].Stops, qt.HasLen, stops)
		})
	}
}
