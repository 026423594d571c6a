package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// supersededRun is a job with two tasks. The first has a run on node "c", and an earlier run on node "a" has finished it. The second
// has not started. Node "a" drains, so that "c" is the only one on which it may start.
type supersededRun struct {
	*harness
	job workflow.Job
	run workflow.RunState
}

// newSupersededRun adds two tasks of a step, of which an executor holds only one, and lets the run of the first be superseded.
func newSupersededRun(t *testing.T, step workflow.Step) *supersededRun {
	s := &supersededRun{harness: newHarness(t)}
	s.job = s.harness.job(step)
	s.engine.Add(s.job, nil, s.now, s.now)
	s.report("a", executor("a", 1), nil, nil)
	first := s.accept("a", s.plan()["a"])
	s.Assert(first, qt.HasLen, 1)
	s.now = s.now.Add(leaseExpiry + time.Millisecond)
	s.engine.ExpireLeases(s.now)
	s.report("c", executor("c", 1), nil, nil)
	second := s.accept("c", s.plan()["c"])
	s.Assert(second, qt.DeepEquals, []workflow.RunState{{Task: first[0].Task, Run: 2}})
	s.run = second[0]
	s.report("c", executor("c", 1), second, nil)
	draining := executor("a", 1)
	draining.Draining = true
	s.report("a", draining, nil, []workflow.RunEnd{{Number: 1, Task: first[0].Task, Run: 1, How: workflow.EndDone}})
	return s
}

// limited returns a step of which an executor may run one task.
func limited() workflow.Step {
	s := step(2)
	s.PerExecutor = 1
	return s
}

// Guards against a start beyond the limit of a step on an executor whose run of another task of the step has been superseded and
// has not ended (incident ROUTE).
func TestSupersededRunCountsForLimitOfStep(t *testing.T) {
	s := newSupersededRun(t, limited())
	orders := s.plan()["c"]
	s.Assert(orders.Starts, qt.HasLen, 0)
	s.Assert(orders.Stops, qt.HasLen, 1)
	s.Assert(orders.Stops[0].Task, qt.Equals, s.run.Task)
	s.accept("c", orders)
	s.report("c", executor("c", 1), nil, []workflow.RunEnd{{Number: 2, Task: s.run.Task, Run: 2, How: workflow.EndStopped}})
	s.Assert(s.plan()["c"].Starts, qt.HasLen, 1)
}

// Guards against starts that exceed the capacity of an executor beside a superseded run (LIMIT, where executors don't reject such
// starts).
func TestSupersededRunKeepsItsRoom(t *testing.T) {
	large := step(2)
	large.Need = structs.Resources{MilliCores: 3000, MemoryMB: 100}
	s := newSupersededRun(t, large)
	s.Assert(s.plan()["c"].Starts, qt.HasLen, 0)
	s.report("c", executor("c", 1), nil, []workflow.RunEnd{{Number: 2, Task: s.run.Task, Run: 2, How: workflow.EndStopped}})
	s.Assert(s.plan()["c"].Starts, qt.HasLen, 1)
}

// Guards against a superseded run that a new owner doesn't count: its start may be carried out after the lists that the owner gets first.
func TestNewOwnerKnowsSupersededRun(t *testing.T) {
	s := newSupersededRun(t, limited())
	record := s.engine.TakeDirty()[0].Record
	s.epoch++
	s.takeOver(s.job, record)
	s.report("c", executor("c", 1), nil, nil)
	orders := s.plan()["c"]
	s.Assert(orders.Starts, qt.HasLen, 0)
	s.Assert(orders.Stops, qt.HasLen, 1)
	s.accept("c", orders)
	s.report("c", executor("c", 1), nil, nil)
	s.Assert(s.plan()["c"].Starts, qt.HasLen, 1)
}

// Guards against a superseded run that keeps its place after the lease of its executor has expired, by which it has ended.
func TestSupersededRunEndsWithLease(t *testing.T) {
	s := newSupersededRun(t, limited())
	s.now = s.now.Add(leaseExpiry + time.Millisecond)
	s.engine.ExpireLeases(s.now)
	s.report("d", executor("d", 1), nil, nil)
	starts := s.plan()["d"].Starts
	s.Assert(starts, qt.HasLen, 1)
	s.report("d", executor("d", 1), nil, []workflow.RunEnd{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: workflow.EndDone}})
	s.plan()
	s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Completed)
}

// Guards against a start in the place of a gang member that still runs after another member has finished the gang, and against such a
// member that is never stopped.
func TestMemberOfDoneGangKeepsItsPlace(t *testing.T) {
	h := newHarness(t)
	gang := limited()
	gang.Gang, gang.Need.MilliCores = true, 4000
	job := h.job(gang, step(1))
	h.engine.Add(job, nil, h.now, h.now)
	h.report("a", executor("a", 1), nil, nil)
	h.report("b", executor("b", 1), nil, nil)
	orders := h.plan()
	member, other := h.accept("a", orders["a"])[0], h.accept("b", orders["b"])[0]
	draining := executor("b", 1)
	draining.Draining = true
	h.report("b", draining, nil, []workflow.RunEnd{{Number: 1, Task: other.Task, Run: 1, How: workflow.EndDone}})
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
	h.report("a", executor("a", 1), []workflow.RunState{member}, nil)
	orders = h.plan()
	h.Assert(orders["a"].Starts, qt.HasLen, 0)
	h.Assert(orders["a"].Stops, qt.HasLen, 1)
	h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: member.Task, Run: 1, How: workflow.EndDone}})
	h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
}

// Guards against a superseded run that isn't logged when it is superseded and when its place becomes free (incident ROUTE), or is
// logged again for each report that repeats it.
func TestSupersededRunIsTold(t *testing.T) {
	s := newSupersededRun(t, limited())
	taken := s.engine.TakeSuperseded()
	s.Assert(taken, qt.DeepEquals, engine.Superseded{RunCount: 1, Runs: []engine.SupersededRun{{
		Task: s.run.Task, Run: 2, Executor: "i-c@1", Node: "c", DoneRun: 1, DoneExecutor: "i-a@1", Listed: true,
	}}})
	s.now = s.now.Add(700 * time.Millisecond)
	for range 3 {
		s.report("c", executor("c", 1), []workflow.RunState{s.run}, nil)
	}
	s.Assert(s.engine.TakeSuperseded(), qt.DeepEquals, engine.Superseded{})
	for range 2 {
		s.report("c", executor("c", 1), nil, []workflow.RunEnd{{Number: 2, Task: s.run.Task, Run: 2, How: workflow.EndStopped}})
	}
	s.Assert(s.engine.TakeSuperseded(), qt.DeepEquals, engine.Superseded{
		EndCounts: map[engine.EndCause]int{"ended stopped": 1},
		Ends: []engine.SupersededEnd{{
			Task: s.run.Task, Run: 2, Executor: "i-c@1", Node: "c", Cause: "ended stopped", Held: 700 * time.Millisecond,
		}},
	})
}

// Guards against a superseded run whose end isn't described because it was superseded under a former owner, or that is counted again
// by each owner.
func TestNewOwnerTellsEndOfSupersededRun(t *testing.T) {
	s := newSupersededRun(t, limited())
	record := s.engine.TakeDirty()[0].Record
	s.epoch++
	s.takeOver(s.job, record)
	s.Assert(s.engine.TakeSuperseded(), qt.DeepEquals, engine.Superseded{})
	s.now = s.now.Add(time.Second)
	s.report("c", executor("c", 1), nil, []workflow.RunEnd{{Number: 2, Task: s.run.Task, Run: 2, How: workflow.EndDone}})
	ends := s.engine.TakeSuperseded().Ends
	s.Assert(ends, qt.HasLen, 1)
	s.Assert(ends[0].Held, qt.Equals, time.Second)
	s.Assert(ends[0].Restored, qt.IsTrue)
}

// Guards against ordinary ends, or gang members that end one after the other, that are described as superseded runs.
func TestOrdinaryEndsSupersedeNothing(t *testing.T) {
	h := newHarness(t)
	gang := step(2)
	gang.Gang = true
	_, running := h.startJob(executor("a", 1), gang)
	h.report("a", executor("a", 1), running, nil)
	h.report("a", executor("a", 1), running[1:], []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
	h.report("a", executor("a", 1), nil, []workflow.RunEnd{
		{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}, {Number: 2, Task: running[1].Task, Run: 1, How: workflow.EndDone},
	})
	h.Assert(h.engine.TakeSuperseded(), qt.DeepEquals, engine.Superseded{})
}
