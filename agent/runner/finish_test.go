package runner

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// startCount returns the number of starts on all workers.
func (c *cluster) startCount() int {
	starts := 0
	for _, n := range c.nodes {
		starts += len(n.worker.Starts())
	}
	return starts
}

// newClusterWithTaskNearEnd returns a cluster and a node that doesn't own the shard, on which the task of job "a" has
// one second left to run.
func newClusterWithTaskNearEnd(t *testing.T) (*cluster, *node) {
	c := newCheckedCluster(t, 3)
	n, owner := c.nonOwner(), c.owner()
	owner.worker.SetFaults(workerDown)
	c.startTaskOn(t, n, "a")
	owner.worker.SetFaults(workerHealthy)
	if !c.run(2*time.Minute, func() bool { return n.onlyTask().Progress > 89.0/90 }) {
		t.Fatal("the task makes no progress")
	}
	return c, n
}

// onlyTask returns the only task on the worker, or the zero value if there isn't exactly one.
func (n *node) onlyTask() worker.TaskStatus {
	statuses, _ := n.worker.Status(context.Background())
	if len(statuses) != 1 {
		return worker.TaskStatus{}
	}
	return statuses[0]
}

// Guards against a finished task that runs again because its agent was killed after it had read the result from the
// worker, but before the result was in the log (P3).
func TestFinishSurvivesAgentRestart(t *testing.T) {
	assert := qt.New(t)
	c, n := newClusterWithTaskNearEnd(t)
	c.store.SetFaults(storetest.Faults{Down: true})
	assert.Assert(c.run(5*time.Second, func() bool { return len(c.nodesRunning("a")) == 0 }), qt.IsTrue)
	c.run(time.Second, func() bool { return false })
	n.killAgent()
	c.owner().killAgent()
	c.store.SetFaults(storetest.Faults{})
	n.startAgent()
	assert.Assert(c.run(5*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
	assert.Assert(c.startCount(), qt.Equals, 1)
	assert.Assert(c.run(10*time.Second, func() bool {
		return n.onlyTask().ID == ""
	}), qt.IsTrue, qt.Commentf("the worker keeps the record of an acknowledged result"))
}

// Guards against a finished task that runs again because its agent was paused or killed before the task finished (P3).
func TestFinishWhileAgentIsUnresponsive(t *testing.T) {
	for name, silence := range map[string]func(*node){
		"killed": (*node).killAgent,
		"frozen": func(n *node) { n.pausedUntil = n.c.clock.Now().Add(20 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			assert := qt.New(t)
			c, n := newClusterWithTaskNearEnd(t)
			silence(n)
			assert.Assert(c.run(5*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
			c.run(30*time.Second, func() bool { return false })
			assert.Assert(c.startCount(), qt.Equals, 1)
		})
	}
}

// Guards against a task that resumes from an old checkpoint after its agent was killed, although the worker has a newer
// one.
func TestTaskOfKilledAgentResumesFromNewestCheckpoint(t *testing.T) {
	assert := qt.New(t)
	c, n := newClusterWithTaskNearEnd(t)
	checkpoint, err := n.worker.Checkpoint(context.Background(), n.onlyTask().ID)
	assert.Assert(err, qt.IsNil)
	assert.Assert(n.worker.Throttle(context.Background(), n.onlyTask().ID, 0), qt.IsNil)
	n.killAgent()
	assert.Assert(c.run(time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
	assert.Assert(c.startCount(), qt.Equals, 2)
	for _, other := range c.nodes {
		if other != n && len(other.worker.Starts()) > 0 {
			assert.Assert(other.worker.Starts()[0].CheckpointID, qt.Equals, checkpoint)
		}
	}
}

// Guards against a task on the host of a killed owner that waits until the owner's validity ends, although the worker
// reports that the task has stopped.
func TestTaskOnHostOfKilledOwnerResumesEarly(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 3)
	owner := c.owner()
	c.startTaskOnOwner(t, owner, "a")
	owner.killAgent()
	assert.Assert(c.run(DefaultSettings().OwnerValidity, func() bool {
		running := c.nodesRunning("a")
		return len(running) == 1 && running[0] != owner
	}), qt.IsTrue)
}

// Guards against worker queries to a lost host that delay the restart of its tasks: the host never answers, so no wait
// beyond the lease is needed.
func TestWorkerQueriesToLostHostDelayNoRestart(t *testing.T) {
	assert := qt.New(t)
	c, n := newClusterWithTaskNearEnd(t)
	n.killAgent()
	n.worker.Reset()
	n.hostLost = true
	lost := c.clock.Now()
	assert.Assert(c.run(time.Minute, func() bool { return len(c.nodesRunning("a")) == 1 }), qt.IsTrue)
	settings := DefaultSettings()
	// The lease, the margin, one step of the owner and the delivery of the start to the agent.
	assert.Assert(c.clock.Now().Sub(lost) <= settings.BatchLease+3*time.Second+5*tick, qt.IsTrue, qt.Commentf("%s", c.clock.Now().Sub(lost)))
}

// Guards against a stop that deletes the worker's record of a task which has just finished: the owner would start the
// task again (P3).
func TestStopOfFinishedTaskReportsFinish(t *testing.T) {
	for _, checkpoint := range []bool{true, false} {
		c := qt.New(t)
		ctx := context.Background()
		at := clock.NewManual(testStart)
		w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
		var stop []structs.TaskStop
		owner := &stubOwner{storedEpoch: 1, reply: func(hb structs.Heartbeat) structs.HeartbeatReply {
			alloc := testAllocation("a", 1000)
			alloc.Command = "run=1s"
			reply := startReply(hb, 1, alloc)
			reply.Stop = stop
			return reply
		}}
		r := newTestRunner(at, w, owner, 100)
		c.Assert(r.Reconcile(ctx), qt.IsNil)
		c.Assert(r.SendHeartbeat(ctx), qt.IsNil)
		c.Assert(r.Reconcile(ctx), qt.IsNil)
		c.Assert(w.Running(), qt.HasLen, 1)
		at.Advance(1100 * time.Millisecond)
		stop = []structs.TaskStop{{AllocationID: "a", Checkpoint: checkpoint}}
		c.Assert(r.SendHeartbeat(ctx), qt.IsNil)
		c.Assert(r.Reconcile(ctx), qt.IsNil)
		results := r.leases.Heartbeat(at.Now()).Results
		c.Assert(results, qt.HasLen, 1)
		c.Assert(results[0].State, qt.Equals, structs.TaskFinished)
	}
}

// Guards against a lost result of a task that finished on a worker which didn't respond for so long that the task was
// abandoned.
func TestFinishOnUnresponsiveWorker(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	at := clock.NewManual(testStart)
	w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
	owner := &stubOwner{storedEpoch: 1, reply: func(hb structs.Heartbeat) structs.HeartbeatReply {
		alloc := testAllocation("a", 1000)
		alloc.Command = "run=1s"
		return startReply(hb, 1, alloc)
	}}
	r := newTestRunner(at, w, owner, 100)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	c.Assert(r.SendHeartbeat(ctx), qt.IsNil)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	w.SetFaults(workerDown)
	for range 8 {
		at.Advance(time.Second)
		_ = r.Reconcile(ctx)
	}
	c.Assert(r.leases.Heartbeat(at.Now()).Results[0].State, qt.Equals, structs.TaskPending)
	w.SetFaults(workerHealthy)
	c.Assert(r.Reconcile(ctx), qt.IsNil)
	c.Assert(r.leases.Heartbeat(at.Now()).Results[0].State, qt.Equals, structs.TaskFinished)
}
