package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// lapseAndRestart starts tasks on node "a", lets its lease expire and starts the tasks again on "b". It returns the first runs.
func (h *harness) lapseAndRestart(tasks int) (first []workflow.RunState) {
	_, first = h.startJob(executor("a", 1), step(tasks))
	h.report("a", executor("a", 1), first, nil)
	h.now = h.now.Add(7100 * time.Millisecond)
	h.engine.ExpireLeases(h.now)
	h.report("b", executor("b", 1), nil, nil)
	second := h.accept("b", h.plan()["b"])
	h.Assert(second, qt.HasLen, tasks)
	h.report("b", executor("b", 1), second, nil)
	h.now = h.now.Add(100 * time.Millisecond)
	return first
}

// Guards against a run that is listed as running while another run of its task is assigned and that isn't logged, or is logged again
// for each report that repeats it.
func TestRunThatOutlivesItsLeaseIsContradiction(t *testing.T) {
	h := newHarness(t)
	first := h.lapseAndRestart(1)
	for range 3 {
		h.report("a", executor("a", 1), first, nil)
	}
	found, counts := h.engine.TakeContradictions()
	h.Assert(counts, qt.DeepEquals, map[engine.ContradictionKind]int{engine.RunsTwice: 1})
	h.Assert(found, qt.HasLen, 1)
	c := found[0]
	h.Assert(c.Executor, qt.Equals, "i-a@1")
	h.Assert(c.CurrentExecutor, qt.Equals, "i-b@1")
	h.Assert(c.CurrentRun, qt.Equals, 2)
	h.Assert(c.Taken.Cause, qt.Equals, engine.LeaseExpired)
	h.Assert(c.Taken.LeaseSource, qt.Equals, engine.LeaseOfOwner)
	h.Assert(c.SinceTaken, qt.Equals, 100*time.Millisecond)
	found, counts = h.engine.TakeContradictions()
	h.Assert(found, qt.HasLen, 0)
	h.Assert(counts, qt.HasLen, 0)
}

// Guards against a task that two runs have finished without a log line, also if the second end arrives once the task is done.
func TestSecondDoneIsContradiction(t *testing.T) {
	h := newHarness(t)
	first := h.lapseAndRestart(1)[0]
	done := func(node string, run int) {
		for range 2 {
			h.report(node, executor(node, 1), nil, []workflow.RunEnd{{Number: 1, Task: first.Task, Run: run, How: workflow.EndDone}})
		}
	}
	done("a", 1)
	found, _ := h.engine.TakeContradictions()
	h.Assert(found, qt.HasLen, 1)
	h.Assert(found[0].Kind, qt.Equals, engine.DoneElsewhere)
	// The owner knows that the second run continues until it is stopped.
	h.report("b", executor("b", 1), []workflow.RunState{{Task: first.Task, Run: 2}}, nil)
	found, _ = h.engine.TakeContradictions()
	h.Assert(found, qt.HasLen, 0)
	done("b", 2)
	found, _ = h.engine.TakeContradictions()
	h.Assert(found, qt.HasLen, 1)
	h.Assert(found[0].Kind, qt.Equals, engine.DoneTwice)
	h.Assert(found[0].Taken, qt.IsNil, qt.Commentf("the owner didn't take the second run for ended"))
	h.Assert(found[0].CurrentRun, qt.Equals, 2)
	h.Assert(found[0].CurrentExecutor, qt.Equals, "i-b@1")
}

// Guards against contradictions that are missed or reported as another kind.
func TestKindsOfContradictions(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	h.engine.Add(job, nil, h.now, h.now)
	task := job.ID + ".0.0.0"
	h.engine.AddEnded("00000000000000ee", &workflow.JobRecord{Phase: workflow.Completed})
	for _, test := range []struct {
		run   workflow.RunState
		ended bool
		kind  engine.ContradictionKind
	}{
		{workflow.RunState{Task: "00000000000000ff.0.0.0", Run: 1}, false, engine.JobUnknown},
		{workflow.RunState{Task: "00000000000000ee.0.0.0", Run: 1}, false, engine.JobEnded},
		{workflow.RunState{Task: task, Run: 4}, false, engine.RunUnknown},
		{workflow.RunState{Task: task, Run: 4}, true, engine.RunUnknown},
	} {
		if test.ended {
			h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: test.run.Task, Run: test.run.Run, How: workflow.EndDone}})
		} else {
			h.report("a", executor("a", 1), []workflow.RunState{test.run}, nil)
		}
		found, _ := h.engine.TakeContradictions()
		h.Assert(found, qt.HasLen, 1)
		h.Assert(found[0].Kind, qt.Equals, test.kind)
		h.report("a", executor("a", 1), nil, nil)
	}
}

// Guards against ordinary ends and starts that are reported as contradictions.
func TestOrdinaryEndsAreNoContradictions(t *testing.T) {
	h := newHarness(t)
	gang := step(2)
	gang.Gang = true
	h.engine.Add(h.job(gang), nil, h.now, h.now)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 3)
	var ended []workflow.RunEnd
	for len(running) > 0 {
		h.now = h.now.Add(time.Second)
		ended = append(ended, workflow.RunEnd{Number: int64(len(ended) + 1), Task: running[0].Task, Run: 1, How: workflow.EndDone})
		running = running[1:]
		for range 2 {
			h.report("a", executor("a", 1), running, ended)
			h.plan()
		}
	}
	_, counts := h.engine.TakeContradictions()
	h.Assert(counts, qt.HasLen, 0)
}

// Guards against contradictions that are reported because of lists from before the end of a lease.
func TestOldListsAreNoContradiction(t *testing.T) {
	h := newHarness(t)
	first := h.lapseAndRestart(1)
	h.sendReport(workflow.Report{Executor: executor("a", 1), Listed: true, ListAgeMillis: 200, Running: first})
	_, counts := h.engine.TakeContradictions()
	h.Assert(counts, qt.HasLen, 0)
}

// Guards against more described contradictions for one report than the log can hold; all of them are counted.
func TestDescribedContradictionsAreBounded(t *testing.T) {
	h := newHarness(t)
	var running []workflow.RunState
	for run := range 500 {
		running = append(running, workflow.RunState{Task: "00000000000000ff.0.0.0", Run: run + 1})
	}
	h.report("a", executor("a", 1), running, nil)
	found, counts := h.engine.TakeContradictions()
	h.Assert(found, qt.HasLen, 8)
	h.Assert(counts[engine.JobUnknown], qt.Equals, 500)
}
