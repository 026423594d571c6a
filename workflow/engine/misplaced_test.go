package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// startOn starts the ready tasks on a node with a new executor and lets the executor list their runs.
func (h *harness) startOn(x *workflow.Executor, node string) []workflow.RunState {
	h.report(node, x, nil, nil)
	running := h.accept(node, h.plan()[node])
	h.report(node, x, running, nil)
	return running
}

// Guards against runs beyond the limit of a step on an executor that aren't logged (incident ROUTE), or are logged again for each
// report.
func TestRunBeyondLimitOfStepIsMisplaced(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(limited()), nil, h.now, h.now)
	first := h.startOn(executor("a", 1), "a")
	h.Assert(first, qt.HasLen, 1)
	h.now = h.now.Add(time.Second)
	second := h.startOn(executor("b", 1), "b")
	h.Assert(second, qt.HasLen, 1)
	_, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0)
	h.now = h.now.Add(time.Second)
	for range 3 {
		// Executor "b" carries out a start of the first task late.
		h.report("b", executor("b", 1), append(first, second...), nil)
	}
	found, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedLimit: 1})
	h.Assert(found, qt.DeepEquals, []engine.MisplacedRun{{
		Kind: engine.MisplacedLimit, Task: second[0].Task, Run: 1, Executor: "i-b@1", Node: "b", SinceStart: time.Second, Counted: true,
		ConfigVersion: 1, Limit: 1, Listed: 2, ListedTasks: []string{first[0].Task, second[0].Task},
	}})
	h.report("b", executor("b", 1), second, nil)
	h.report("b", executor("b", 1), append(first, second...), nil)
	_, counts = h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0, qt.Commentf("the same run has been described before"))
	third := workflow.RunState{Task: second[0].Task, Run: 2}
	h.report("b", executor("b", 1), append(first, third), nil)
	_, counts = h.engine.TakeMisplaced()
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedLimit: 1}, qt.Commentf("another run"))
}

// Guards against a description of a misplaced run that doesn't say that the run is superseded.
func TestMisplacedRunTellsThatItIsSuperseded(t *testing.T) {
	s := newSupersededRun(t, limited())
	other := workflow.RunState{Task: s.job.ID + ".0.0.1", Run: 9}
	s.report("c", executor("c", 1), []workflow.RunState{s.run, other}, nil)
	found, _ := s.engine.TakeMisplaced()
	s.Assert(found, qt.HasLen, 1)
	s.Assert(found[0].Task, qt.Equals, s.run.Task)
	s.Assert(found[0].Superseded, qt.IsTrue)
}

// Guards against a run on an executor without the label of its step that isn't logged.
func TestRunWithoutItsLabelIsMisplaced(t *testing.T) {
	h := newHarness(t)
	s := step(1)
	s.Label = "fast"
	h.engine.Add(h.job(s), nil, h.now, h.now)
	running := h.startOn(labelled("a", "fast"), "a")
	_, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0)
	for range 3 {
		h.report("a", labelled("a", "slow"), running, nil)
	}
	found, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedLabel: 1})
	h.Assert(found[0].Label, qt.Equals, "fast")
	h.Assert(found[0].ExecutorLabels, qt.DeepEquals, []string{"slow"})
}

// Guards against a run in a pool to which no configuration sends its queue that isn't logged, and against log lines for runs that
// were started before their queue was moved.
func TestRunInAnotherPoolIsMisplaced(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	inPool := func(pool string) *workflow.Executor {
		x := executor("a", 1)
		x.Pool = pool
		return x
	}
	h.configure(2, workflow.Queue{Name: "checks", Pool: "second"})
	running := h.startOn(inPool("second"), "a")
	h.Assert(running, qt.HasLen, 1)
	h.configure(3, workflow.Queue{Name: "checks", Pool: "third"})
	for _, pool := range []string{"pool", "second", "third"} {
		h.report("a", inPool(pool), running, nil)
	}
	_, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0)
	for range 3 {
		h.report("a", inPool("fourth"), running, nil)
	}
	found, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedPool: 1})
	m := found[0]
	h.Assert([]string{m.Queue, m.JobPool, m.Pool, m.ExecutorPool}, qt.DeepEquals, []string{"checks", "pool", "third", "fourth"})
	h.Assert(m.ConfigVersion, qt.Equals, int64(3))
}

// Guards against a new owner that takes runs for misplaced because it has no configuration yet.
func TestNoRunIsMisplacedBeforeFirstConfiguration(t *testing.T) {
	h := newHarness(t)
	h.engine = newEngineWithoutOperatorState(h)
	job := h.job(step(1))
	h.engine.Add(job, &workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{{Phase: workflow.TaskAssigned, Run: 1, Life: "i-a@1", Node: "a"}}}, h.now, h.now)
	x := executor("a", 1)
	x.Pool = "other"
	running := []workflow.RunState{{Task: job.ID + ".0.0.0", Run: 1}}
	h.report("a", x, running, nil)
	_, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0)
	h.configure(1, queue)
	h.report("a", x, running, nil)
	found, _ := h.engine.TakeMisplaced()
	h.Assert(found, qt.HasLen, 1)
	h.Assert(found[0].SinceStart, qt.Equals, engine.UnknownAge)
}

// Guards against runs that reserve more than the capacity of their executor and that aren't logged.
func TestRunsBeyondCapacityAreMisplaced(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(4)), nil, h.now, h.now)
	running := h.startOn(executor("a", 1), "a")
	h.Assert(running, qt.HasLen, 4)
	_, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.HasLen, 0)
	smaller := executor("a", 1)
	smaller.Capacity.MilliCores = 2000
	for range 3 {
		h.report("a", smaller, running, nil)
	}
	found, counts := h.engine.TakeMisplaced()
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedCapacity: 2})
	h.Assert(found[0].Reserved, qt.Equals, structs.Resources{MilliCores: 4000, MemoryMB: 400})
	h.Assert(found[0].Capacity, qt.Equals, smaller.Capacity)
}

// Guards against more described runs for one report than the log can hold; all of them are counted.
func TestDescribedMisplacedRunsAreBounded(t *testing.T) {
	h := newHarness(t)
	s := step(500)
	s.Label, s.PerExecutor, s.Need = "fast", 1, structs.Resources{}
	job := h.job(s)
	h.engine.Add(job, nil, h.now, h.now)
	var running []workflow.RunState
	for i := range 500 {
		running = append(running, workflow.RunState{Task: workflow.TaskID{Job: job.ID, Index: i}.String(), Run: 1})
	}
	h.report("a", executor("a", 1), running, nil)
	found, counts := h.engine.TakeMisplaced()
	h.Assert(found, qt.HasLen, 8)
	h.Assert(counts, qt.DeepEquals, map[engine.MisplacedKind]int{engine.MisplacedLabel: 500, engine.MisplacedLimit: 499})
}

// Guards against log lines for correctly placed runs, under load.
func TestOrdinaryRunsAreNotMisplaced(t *testing.T) {
	s := newSimulation(11, 1)
	s.submitServing(0.5)
	s.load(5*time.Second, 1)
	s.load(5*time.Second, 3)
	_, counts := s.engine.TakeMisplaced()
	qt.Assert(t, counts, qt.HasLen, 0)
	qt.Assert(t, s.starts > 0, qt.IsTrue)
}
