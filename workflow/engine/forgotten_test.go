package engine_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a job that is added again after it was removed, and whose start looks like that of a new job.
func TestJobAddedAgainIsToldFromNewOne(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.report("a", executor("a", 1), nil, nil)
	for _, forgotten := range []bool{false, true} {
		h.Assert(h.engine.WasForgotten(job.ID), qt.Equals, forgotten)
		h.engine.Add(job, nil, h.now, h.now)
		starts, bases := h.startsWithBases("a")
		h.Assert(starts[0].Run, qt.Equals, 1)
		h.Assert(bases[0].JobForgotten, qt.Equals, forgotten)
		h.accept("a", workflow.Orders{Starts: starts})
		h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: starts[0].Task, Run: 1, How: workflow.EndDone}})
		h.plan()
		h.engine.Forget(job.ID)
	}
}

// Guards against memory for each job that was ever removed.
func TestForgottenJobsAreBounded(t *testing.T) {
	h := newHarness(t)
	const jobs, kept = 5000, 2048
	for i := range jobs {
		h.engine.Forget(fmt.Sprint(i))
	}
	found := 0
	for i := range jobs {
		if h.engine.WasForgotten(fmt.Sprint(i)) {
			found++
		}
	}
	h.Assert(found, qt.Equals, kept)
	h.Assert(h.engine.WasForgotten(fmt.Sprint(jobs-1)), qt.IsTrue)
}
