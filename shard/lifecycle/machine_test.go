package lifecycle

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

var origin = time.Unix(1_800_000_000, 0)

// fixture wraps a machine; events become durable when the test calls commit.
type fixture struct {
	*Machine
	now      time.Time
	sequence int64
}

func newFixture(state *State) *fixture {
	return &fixture{Machine: NewMachine(DefaultSettings(), DefaultSettings().LeasePeriods(), 0, 7, state, origin), now: origin}
}

func (f *fixture) accept(kind structs.JobKind, tasks int) {
	f.Accept(structs.Job{ID: "a", Kind: kind, Tasks: tasks, Resources: structs.Resources{MilliCores: 1000, MemoryMB: 1}})
}

func (f *fixture) commit() { f.Committed(len(f.PendingEvents())) }

// sendHeartbeat sends a heartbeat of a worker that runs the given allocations. epoch is the one that its agent has
// accepted.
func (f *fixture) sendHeartbeat(worker string, epoch int64, running []structs.Allocation, results ...structs.TaskResult) structs.HeartbeatReply {
	f.sequence++
	hb := structs.Heartbeat{
		Worker: structs.Worker{Name: worker, FailureDomain: worker}, Incarnation: "i", Sequence: f.sequence, Epoch: epoch,
		Results: results,
	}
	for _, alloc := range running {
		hb.Running = append(hb.Running, structs.AllocationState{Allocation: alloc, State: structs.TaskRunning})
	}
	reply, err := f.Heartbeat(f.now, f.now, hb, true, true)
	if err != nil {
		panic(err)
	}
	return reply
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.Expire(f.now, f.now)
}

// place starts task 0 of the job on a worker and returns its allocation.
func (f *fixture) place(worker string) structs.Allocation {
	if !f.Place(structs.TaskID{JobID: "a"}, worker, structs.Resources{MilliCores: 1000, MemoryMB: 1}) {
		panic("not placed")
	}
	return f.LiveAttempts()[AllocationID(structs.TaskID{JobID: "a"}, f.state.Jobs["a"].Tasks[0].Attempt)].Alloc
}

// newFixtureWithPlacedTask returns a fixture with a job whose task 0 is to be started on worker "w", and is durable.
func newFixtureWithPlacedTask(kind structs.JobKind, tasks int) (*fixture, structs.Allocation) {
	f := newFixture(NewState())
	f.accept(kind, tasks)
	f.sendHeartbeat("w", 7, nil)
	alloc := f.place("w")
	f.commit()
	return f, alloc
}

// newFixtureWithStartedTask returns a fixture with a job of one task whose start was sent to worker "w".
func newFixtureWithStartedTask() (*fixture, structs.Allocation) {
	f, alloc := newFixtureWithPlacedTask(structs.KindBatch, 1)
	f.sendHeartbeat("w", 7, nil)
	return f, alloc
}

func (f *fixture) task() *Task { return f.state.Jobs["a"].Tasks[0] }

func resultOf(alloc structs.Allocation, state structs.TaskState) structs.TaskResult {
	return structs.TaskResult{AllocationID: alloc.ID, Task: alloc.Task, Attempt: alloc.Attempt, State: state}
}

// Guards against starts that are sent before their event is durable.
func TestStartWaitsForItsRecord(t *testing.T) {
	c := qt.New(t)
	f := newFixture(NewState())
	f.accept(structs.KindBatch, 1)
	f.sendHeartbeat("w", 7, nil)
	f.place("w")
	c.Assert(f.sendHeartbeat("w", 7, nil).Start, qt.HasLen, 0)
	f.commit()
	c.Assert(f.sendHeartbeat("w", 7, nil).Start, qt.HasLen, 1)
}

// Guards against a result that the agent discards before it is durable.
func TestResultIsAcknowledgedOnceDurable(t *testing.T) {
	c := qt.New(t)
	f, alloc := newFixtureWithPlacedTask(structs.KindBatch, 2)
	c.Assert(f.sendHeartbeat("w", 7, nil, resultOf(alloc, structs.TaskFinished)).AckResults, qt.HasLen, 0)
	c.Assert(f.sendHeartbeat("w", 7, nil, resultOf(alloc, structs.TaskFinished)).AckResults, qt.HasLen, 0)
	f.commit()
	c.Assert(f.sendHeartbeat("w", 7, nil, resultOf(alloc, structs.TaskFinished)).AckResults, qt.DeepEquals, []string{alloc.ID})
}

// startedByFormerOwner returns a state in which an earlier owner has started task 0 on a worker.
func startedByFormerOwner(worker string) *State {
	f := newFixture(NewState())
	f.accept(structs.KindBatch, 1)
	f.place(worker)
	return f.state
}

// Guards against a new owner that requeues an attempt missing from a report while a start of the former owner can still
// arrive.
func TestAbsenceProvenOnlyUnderOwnEpoch(t *testing.T) {
	c := qt.New(t)
	f := newFixture(startedByFormerOwner("w"))
	f.sendHeartbeat("w", 6, nil)
	c.Assert(f.task().State, qt.Equals, structs.TaskStarting)
	f.sendHeartbeat("w", 7, nil)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}

// Guards against a new owner that places tasks on a worker before it has reported under the new epoch.
func TestWorkerIsUnusableUntilItReports(t *testing.T) {
	c := qt.New(t)
	f := newFixture(NewState())
	f.sendHeartbeat("w", 6, nil)
	c.Assert(f.Usable(f.Workers()["w"], f.now), qt.IsFalse)
	f.sendHeartbeat("w", 7, nil)
	c.Assert(f.Usable(f.Workers()["w"], f.now), qt.IsTrue)
	f.now = f.now.Add(4 * time.Second)
	c.Assert(f.Usable(f.Workers()["w"], f.now), qt.IsFalse)
}

// Guards against a new owner that requeues an attempt before the leases that the former owner could have renewed have
// expired.
func TestInheritedAttemptWaitsForFormerLeases(t *testing.T) {
	c := qt.New(t)
	f := newFixture(startedByFormerOwner("w"))
	f.advance(37 * time.Second)
	c.Assert(f.task().State, qt.Equals, structs.TaskStarting)
	f.advance(time.Millisecond)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}

// Guards against a start that is withdrawn while it can still arrive, and against one that is offered indefinitely.
func TestUndeliveredStartIsRequeuedOnceExpired(t *testing.T) {
	c := qt.New(t)
	f, _ := newFixtureWithPlacedTask(structs.KindService, 1)
	f.now = f.now.Add(time.Second)
	_, ok := f.StartRequest("w", f.now, true)
	c.Assert(ok, qt.IsTrue)
	for range 7 {
		_, err := f.Heartbeat(f.now, f.now, structs.Heartbeat{
			Worker: structs.Worker{Name: "w"}, Incarnation: "i", Sequence: f.nextSequence(), Epoch: 7,
		}, true, false)
		c.Assert(err, qt.IsNil)
		f.advance(time.Second)
		c.Assert(f.task().State, qt.Equals, structs.TaskStarting)
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.sendHeartbeatWithoutStarts("w")
	f.advance(0)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}

func (f *fixture) nextSequence() int64 {
	f.sequence++
	return f.sequence
}

// sendHeartbeatWithoutStarts sends a heartbeat while starts are not allowed.
func (f *fixture) sendHeartbeatWithoutStarts(worker string) {
	_, _ = f.Heartbeat(f.now, f.now, structs.Heartbeat{
		Worker: structs.Worker{Name: worker}, Incarnation: "i", Sequence: f.nextSequence(), Epoch: 7,
	}, true, false)
}

// Guards against requeueing an attempt that its agent still reports, for instance after a store outage.
func TestReportedAttemptIsNotRequeued(t *testing.T) {
	c := qt.New(t)
	f, alloc := newFixtureWithStartedTask()
	for range 20 {
		f.now = f.now.Add(time.Second)
		_, err := f.Heartbeat(f.now, f.now, structs.Heartbeat{
			Worker: structs.Worker{Name: "w"}, Incarnation: "i", Sequence: f.nextSequence(), Epoch: 7,
			Running: []structs.AllocationState{{Allocation: alloc, State: structs.TaskSuspended}},
		}, false, false)
		c.Assert(err, qt.IsNil)
		f.advance(0)
	}
	c.Assert(f.task().Attempt, qt.Equals, 1)
	c.Assert(f.sendHeartbeat("w", 7, []structs.Allocation{alloc}).Keep, qt.DeepEquals, []string{alloc.ID})
	f.advance(8 * time.Second)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}

// Guards against a late result of an earlier attempt that finishes a task while a later attempt may run.
func TestLateFinishOfAnEarlierAttempt(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		c := qt.New(t)
		f, first := newFixtureWithStartedTask()
		f.advance(8 * time.Second)
		if restarted {
			f.sendHeartbeat("v", 7, nil)
			f.place("v")
			f.commit()
		}
		f.sendHeartbeat("w", 7, nil, resultOf(first, structs.TaskFinished))
		status, _ := f.Status("a")
		c.Assert(status.Counts[structs.TaskFinished] == 1, qt.Equals, !restarted)
	}
}

// Guards against a heartbeat that was delayed or sent by an earlier process and is taken for the current state.
func TestStaleHeartbeatsAreRejected(t *testing.T) {
	c := qt.New(t)
	f := newFixture(NewState())
	send := func(incarnation string, started, sequence int64) error {
		_, err := f.Heartbeat(f.now, f.now, structs.Heartbeat{
			Worker: structs.Worker{Name: "w"}, Incarnation: incarnation, StartedUnixNano: started, Sequence: sequence,
		}, true, true)
		return err
	}
	c.Assert(send("one", 1, 5), qt.IsNil)
	c.Assert(send("one", 1, 5), qt.ErrorIs, ErrStale)
	c.Assert(send("one", 1, 4), qt.ErrorIs, ErrStale)
	c.Assert(send("two", 2, 1), qt.IsNil)
	c.Assert(send("one", 1, 6), qt.ErrorIs, ErrStale)
}

// Guards against a task that is retried without limit, and against attempts that don't continue from the last
// checkpoint.
func TestTaskFailsAfterMaxAttempts(t *testing.T) {
	c := qt.New(t)
	f := newFixture(NewState())
	f.accept(structs.KindBatch, 1)
	f.sendHeartbeat("w", 7, nil)
	for attempt := 1; attempt <= DefaultMaxAttempts; attempt++ {
		alloc := f.place("w")
		c.Assert(alloc.CheckpointID, qt.Equals, map[int]string{1: "", 2: "c1", 3: "c2"}[attempt])
		f.commit()
		result := resultOf(alloc, structs.TaskFailed)
		result.CheckpointID, result.Reason = fmt.Sprintf("c%d", attempt), "broken"
		f.sendHeartbeat("w", 7, nil, result)
	}
	status, _ := f.Status("a")
	c.Assert(status.Counts, qt.DeepEquals, map[structs.TaskState]int{structs.TaskFailed: 1})
	c.Assert(status.Reason, qt.Equals, "broken")
}

// Guards against a replacement replica that counts as surplus, or is dropped, while the replica that it replaces still
// runs.
func TestReplacementOfReplica(t *testing.T) {
	c := qt.New(t)
	f := newFixture(NewState())
	f.accept(structs.KindService, 1)
	f.sendHeartbeat("w", 7, nil)
	f.sendHeartbeat("v", 7, nil)
	old := f.place("w")
	f.commit()
	f.sendHeartbeat("w", 7, []structs.Allocation{old})
	c.Assert(f.Replace(old.ID, "v", old.Resources), qt.IsTrue)
	f.commit()
	refused := resultOf(f.LiveAttempts()["a:1:1"].Alloc, structs.TaskPending)
	f.sendHeartbeat("v", 7, nil, refused)
	c.Assert(f.PendingTasks(), qt.HasLen, 0, qt.Commentf("the scheduler decides again"))
	c.Assert(f.Replace(old.ID, "v", old.Resources), qt.IsTrue)
	f.commit()
	substitute := f.LiveAttempts()["a:2:1"].Alloc
	f.sendHeartbeat("v", 7, []structs.Allocation{substitute})
	f.ReconcileServices(f.now, f.now)
	c.Assert(f.sendHeartbeat("v", 7, []structs.Allocation{substitute}).Stop, qt.HasLen, 0)
	c.Assert(f.sendHeartbeat("w", 7, []structs.Allocation{old}).Stop, qt.HasLen, 0)
	f.Evict(old.ID, "replaced", f.now)
	f.ReconcileServices(f.now, f.now)
	c.Assert(f.sendHeartbeat("w", 7, []structs.Allocation{old}).Stop, qt.HasLen, 1)
	c.Assert(f.sendHeartbeat("v", 7, []structs.Allocation{substitute}).Stop, qt.HasLen, 0)
	c.Assert(f.PendingTasks(), qt.HasLen, 0)
}

// Guards against an attempt that starts twice because its host was lost after the start and returned immediately.
func TestStartIsNotOfferedToALaterProcess(t *testing.T) {
	c := qt.New(t)
	f, _ := newFixtureWithPlacedTask(structs.KindBatch, 1)
	c.Assert(f.sendHeartbeat("w", 7, nil).Start, qt.HasLen, 1)
	reply, err := f.Heartbeat(f.now, f.now, structs.Heartbeat{
		Worker: structs.Worker{Name: "w"}, Incarnation: "later", StartedUnixNano: 1, Sequence: 1, Epoch: 7,
	}, true, true)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Start, qt.HasLen, 0)
	f.advance(8 * time.Second)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}
