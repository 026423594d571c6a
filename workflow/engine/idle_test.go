package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against jobs that stand still without a trace of what they wait for: a filter, the result of a start, or an executor
// that doesn't list the run.
func TestJobWithoutRunIsExplained(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	number := int64(0)
	report := func(milliCores int64) {
		number++
		reportExecutor(e, number, milliCores, now)
	}
	idle := func() []Idle {
		e.Tick(now)
		e.Plan(now, now)
		return e.TakeIdle()
	}
	report(500)
	j := orderedJob(e, 1, 3, 0, time.Second, now)
	c.Assert(idle(), qt.HasLen, 0)
	now = now.Add(minIdleExplained)
	report(500)
	found := idle()
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0].Job, qt.Equals, j.ID)
	c.Assert(found[0].State, qt.Equals, IdleWaiting)
	c.Assert(found[0].Rejections, qt.DeepEquals, map[string]int{"room": 1})

	now = now.Add(idleExplainInterval)
	report(4000)
	c.Assert(idle()[0].State, qt.Equals, IdleStartPending)
	task := j.tasks[0]
	e.HandleOrderResult("a", 1, &workflow.OrderResult{Task: task.name, Run: task.run, Outcome: workflow.OutcomeUnknown, Sequence: 1}, now)
	now = now.Add(idleExplainInterval)
	found = idle()
	c.Assert(found[0].State, qt.Equals, IdleNotListed)
	c.Assert(found[0].Node, qt.Equals, "a")
	c.Assert(found[0].ReportAge, qt.Equals, idleExplainInterval)
	now = now.Add(idleExplainInterval)
	c.Assert(idle(), qt.HasLen, 0)
}
