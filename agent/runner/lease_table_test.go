package runner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

var testStart = time.Unix(1_800_000_000, 0)

func newTestLeaseTable() *LeaseTable {
	w := structs.Worker{Name: "w", FailureDomain: "d", Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 4000}}
	return NewLeaseTable(DefaultSettings(), w, 0, "first", 1)
}

func testAllocation(id string, cores int64) structs.Allocation {
	return structs.Allocation{
		ID: id, Task: structs.TaskID{JobID: id}, Attempt: 1, Worker: "w", Kind: structs.KindBatch, Epoch: 1,
		Resources: structs.Resources{MilliCores: cores, MemoryMB: 100}, LeaseMillis: 4000, Command: "run=1h",
	}
}

func startReply(hb structs.Heartbeat, epoch int64, starts ...structs.Allocation) structs.HeartbeatReply {
	return structs.HeartbeatReply{Epoch: epoch, Sequence: hb.Sequence, LeaseMillis: 4000, Start: starts}
}

// Guards against a worker that is overcommitted because the owner's view of it was out of date (P1).
func TestLeaseTableRejectsOvercommit(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaseTable()
	hb := l.Heartbeat(testStart)
	c.Assert(l.ApplyReply(startReply(hb, 1, testAllocation("a", 3000), testAllocation("b", 1500), testAllocation("c", 1000)), testStart), qt.IsTrue)
	next := l.Heartbeat(testStart)
	c.Assert(next.Running, qt.HasLen, 2)
	c.Assert(next.Results, qt.HasLen, 1)
	c.Assert(next.Results[0].AllocationID, qt.Equals, "b")
	c.Assert(next.Results[0].Refused, qt.IsTrue)
}

// Guards against a lease that is counted from the arrival of the reply: it would end after the owner's, which is
// counted from the receipt of the heartbeat.
func TestLeaseIsCountedFromSentHeartbeat(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaseTable()
	hb := l.Heartbeat(testStart)
	l.ApplyReply(startReply(hb, 1, testAllocation("a", 1000)), testStart)
	l.held["a"].started, l.held["a"].state = true, structs.TaskRunning
	hb = l.Heartbeat(testStart.Add(time.Second))
	reply := structs.HeartbeatReply{Epoch: 1, Sequence: hb.Sequence, LeaseMillis: 4000, Keep: []string{"a"}}
	c.Assert(l.ApplyReply(reply, testStart.Add(4*time.Second)), qt.IsTrue)
	c.Assert(l.held["a"].leaseEnd, qt.Equals, testStart.Add(5*time.Second))
	l.held["a"].workerLeaseEnd = testStart.Add(5 * time.Second)
	l.lastStatusAt = testStart.Add(4 * time.Second)
	c.Assert(l.renewalLease(l.held["a"], testStart.Add(2*time.Second)), qt.Equals, 2*time.Second)
	c.Assert(l.renewalLease(l.held["a"], testStart.Add(4*time.Second)), qt.Equals, time.Second)
	c.Assert(l.nextOperation(l.held["a"], testStart.Add(4499*time.Millisecond)), qt.Equals, opRenew)
	c.Assert(l.nextOperation(l.held["a"], testStart.Add(4500*time.Millisecond)), qt.Equals, opSuspend)
}

// Guards against a former owner that renews or starts tasks after the agent has followed a later owner.
func TestLeaseTableIgnoresLowerEpochs(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaseTable()
	c.Assert(l.ApplyReply(startReply(l.Heartbeat(testStart), 3), testStart), qt.IsTrue)
	c.Assert(l.ApplyReply(startReply(l.Heartbeat(testStart), 2, testAllocation("a", 1000)), testStart), qt.IsFalse)
	c.Assert(l.held, qt.HasLen, 0)
	push := structs.StartRequest{Epoch: 2, Incarnation: "first", Sequence: 1, Start: []structs.Allocation{testAllocation("a", 1000)}}
	c.Assert(l.ApplyStartRequest(push, testStart), qt.IsFalse)
}

// Guards against a delayed start that is accepted after its owner has given it up.
func TestDelayedStartIsNotAccepted(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaseTable()
	hb := l.Heartbeat(testStart)
	l.ApplyReply(startReply(hb, 1), testStart)
	push := structs.StartRequest{
		Epoch: 1, Incarnation: "first", Sequence: hb.Sequence, Start: []structs.Allocation{testAllocation("a", 1000)},
	}
	service := testAllocation("s", 1000)
	service.Kind, service.LeaseMillis = structs.KindService, 600_000
	push.Start = append(push.Start, service)
	l.ApplyStartRequest(push, testStart.Add(4*time.Second))
	c.Assert(l.held, qt.HasLen, 0)
	l.ApplyStartRequest(push, testStart.Add(3*time.Second))
	c.Assert(l.held, qt.HasLen, 2)
}

// Guards against a start that arrives after the stop of the same allocation: the owner already regards the task as
// ended.
func TestStartAfterItsStopIsIgnored(t *testing.T) {
	c := qt.New(t)
	l := newTestLeaseTable()
	hb := l.Heartbeat(testStart)
	stop := structs.HeartbeatReply{Epoch: 1, Sequence: hb.Sequence, Stop: []structs.TaskStop{{AllocationID: "a"}}}
	l.ApplyReply(stop, testStart)
	l.ApplyStartRequest(structs.StartRequest{
		Epoch: 1, Incarnation: "first", Sequence: hb.Sequence, Start: []structs.Allocation{testAllocation("a", 1000)},
	}, testStart.Add(time.Second))
	c.Assert(l.held, qt.HasLen, 0)
}

// stubOwner is a Transport to a single owner with scripted replies.
type stubOwner struct {
	storedEpoch int64
	reply       func(structs.Heartbeat) structs.HeartbeatReply
	heartbeats  int
}

func (o *stubOwner) Epoch(context.Context, int) (int64, error) { return o.storedEpoch, nil }

func (o *stubOwner) Heartbeat(_ context.Context, _ int, hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	o.heartbeats++
	return o.reply(hb), nil
}

// stubConfiguration is a Configuration that allows a number of starts.
type stubConfiguration struct{ allowed int }

func (c *stubConfiguration) MayStart(string) (bool, string) {
	c.allowed--
	return c.allowed >= 0, "the domain is out of service"
}
func (c *stubConfiguration) Revision() int64                         { return 0 }
func (c *stubConfiguration) Relay(structs.HeartbeatReply, time.Time) {}

func newTestRunner(c clock.Clock, w worker.Worker, owner Transport, allowed int) *Runner {
	return New(newTestLeaseTable(), w, c, &stubConfiguration{allowed}, owner, nil, hclog.NewNullLogger())
}

// Guards against a restarted agent that follows an owner which its earlier process had already replaced by a later one.
func TestRestartedAgentRejectsFormerOwner(t *testing.T) {
	c := qt.New(t)
	at := clock.NewManual(testStart)
	former := &stubOwner{storedEpoch: 5, reply: func(hb structs.Heartbeat) structs.HeartbeatReply {
		return startReply(hb, 4, testAllocation("a", 1000))
	}}
	w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
	r := newTestRunner(at, w, former, 100)
	c.Assert(r.Reconcile(context.Background()), qt.IsNil)
	c.Assert(r.SendHeartbeat(context.Background()), qt.ErrorIs, ErrOutdated)
	c.Assert(r.Reconcile(context.Background()), qt.IsNil)
	c.Assert(w.Starts(), qt.HasLen, 0)
	former.storedEpoch = 0
	r = newTestRunner(at, w, former, 100)
	c.Assert(r.Reconcile(context.Background()), qt.IsNil)
	c.Assert(r.SendHeartbeat(context.Background()), qt.ErrorIs, ErrNoOwner)
}

// Guards against starts in a failure domain that is taken out of service directly before the start or during a slow
// start call (P4).
func TestFreshnessIsCheckedBeforeAndAfterStart(t *testing.T) {
	for allowed, starts := range []int{0, 1, 1} {
		c := qt.New(t)
		at := clock.NewManual(testStart)
		owner := &stubOwner{storedEpoch: 1, reply: func(hb structs.Heartbeat) structs.HeartbeatReply {
			return startReply(hb, 1, testAllocation("a", 1000))
		}}
		w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
		r := newTestRunner(at, w, owner, allowed)
		c.Assert(r.Reconcile(context.Background()), qt.IsNil)
		c.Assert(r.SendHeartbeat(context.Background()), qt.IsNil)
		c.Assert(r.Reconcile(context.Background()), qt.IsNil)
		c.Assert(w.Starts(), qt.HasLen, starts)
		c.Assert(len(w.Running()), qt.Equals, max(0, allowed-1))
	}
}

// Guards against tasks that a restarted agent loses, starts again, or renews without confirmation by an owner.
func TestRestartedAgentRecoversTasks(t *testing.T) {
	c := qt.New(t)
	at := clock.NewManual(testStart)
	ctx := context.Background()
	owner := &stubOwner{storedEpoch: 1, reply: func(hb structs.Heartbeat) structs.HeartbeatReply {
		return startReply(hb, 1, testAllocation("a", 1000), testAllocation("b", 1000))
	}}
	w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
	r := newTestRunner(at, w, owner, 100)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	c.Assert(r.SendHeartbeat(ctx), qt.IsNil)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	c.Assert(w.Running(), qt.HasLen, 2)

	r = newTestRunner(at, w, owner, 100)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	var reported []structs.AllocationState
	owner.reply = func(hb structs.Heartbeat) structs.HeartbeatReply {
		reported = hb.Running
		return structs.HeartbeatReply{Epoch: 1, Sequence: hb.Sequence, LeaseMillis: 4000, Keep: []string{"a"}}
	}
	c.Assert(r.SendHeartbeat(ctx), qt.IsNil)
	c.Assert(reported, qt.HasLen, 2)
	at.Advance(1500 * time.Millisecond)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	at.Advance(1000 * time.Millisecond)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	c.Assert(w.Running(), qt.DeepEquals, []string{"a"})
	c.Assert(w.Starts(), qt.HasLen, 2)
}
