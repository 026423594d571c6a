package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a second run of a task whose start may still reach the next incarnation of its executor: the result of a stop that
// the former incarnation has accepted arrives late, and is taken for one of the next.
func TestLateStopResultOfFormerIncarnationDoesNotCount(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	start := h.plan()["a"].Starts[0]
	result := workflow.OrderResult{Task: start.Task, Run: start.Run, Outcome: workflow.OutcomeUnknown, Sequence: 1}
	h.engine.HandleOrderResult("a", 1, &result, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan()["a"].Stops, qt.HasLen, 1)
	former := executor("a", 1).IncarnationID()
	h.report("a", executor("a", 2), nil, nil)
	result = workflow.OrderResult{Task: start.Task, Run: start.Run, Stop: true, Outcome: workflow.OutcomeDone, Sequence: 2, Executor: former}
	h.engine.HandleOrderResult("a", 1, &result, h.now)
	for range 3 {
		h.now = h.now.Add(200 * time.Millisecond)
		h.report("a", executor("a", 2), nil, nil)
		h.report("b", executor("b", 1), nil, nil)
		orders := h.plan()
		h.Assert(len(orders["a"].Starts)+len(orders["b"].Starts), qt.Equals, 0, qt.Commentf("the next incarnation has accepted no stop"))
	}
}
