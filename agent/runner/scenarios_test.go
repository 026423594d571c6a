package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// newCheckedCluster returns a cluster that has an owner and whose invariants are checked after each tick.
func newCheckedCluster(t *testing.T, nodes int) *cluster {
	c := newCluster(nodes)
	newOracle(c, t.Fatalf)
	if !c.run(20*time.Second, func() bool { return c.owner() != nil }) {
		t.Fatal("no owner")
	}
	c.run(3*time.Second, func() bool { return false })
	return c
}

// nodesRunning returns the nodes on which tasks of a job run, in order, once for each task.
func (c *cluster) nodesRunning(job string) []*node {
	var nodes []*node
	for _, n := range c.nodes {
		for _, id := range n.worker.Running() {
			if taskIDOf(id).JobID == job {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes
}

// startTaskOn starts a batch task of 90 s on a node, by disconnecting the other nodes that don't own the shard.
func (c *cluster) startTaskOn(t *testing.T, n *node, id string) {
	c.submit(t, fmt.Sprintf(`{"id":%q,"team":"t","kind":"batch","tasks":1,"resources":{"milli_cores":1000,"memory_mb":500},
		"constraints":{},"command":"run=90s"}`, id))
	for _, other := range c.nodes {
		other.peersDisconnected = other != n && !isOwner(other)
	}
	if !c.run(20*time.Second, func() bool { return slices.Equal(c.nodesRunning(id), []*node{n}) }) {
		t.Fatalf("the task doesn't run on %s", n.name)
	}
	for _, other := range c.nodes {
		other.peersDisconnected = false
	}
	c.run(3*time.Second, func() bool { return false })
}

// startTaskOnOwner starts a batch task of 90 s on the node that owns the shard.
func (c *cluster) startTaskOnOwner(t *testing.T, owner *node, id string) {
	for _, n := range c.nodes {
		if n != owner {
			n.worker.SetFaults(workerDown)
		}
	}
	c.startTaskOn(t, owner, id)
	for _, n := range c.nodes {
		n.worker.SetFaults(workerHealthy)
	}
}

func isOwner(n *node) bool {
	_, owns := n.owner.Owns()
	return owns
}

// nonOwner returns a node that doesn't own the shard.
func (c *cluster) nonOwner() *node {
	for _, n := range c.nodes {
		if !isOwner(n) {
			return n
		}
	}
	return nil
}

// Guards against a task that is lost, or runs twice, when its agent can't reach the owner: the agent must suspend the
// task at the end of the lease, before the owner resumes it on another worker.
func TestTaskOfDisconnectedAgentResumesElsewhereOnce(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 2)
	owner := c.owner()
	owner.worker.SetFaults(workerDown)
	n := c.nonOwner()
	c.startTaskOn(t, n, "a")
	owner.worker.SetFaults(workerHealthy)
	n.peersDisconnected = true
	cut := c.clock.Now()
	assert.Assert(c.run(5*time.Second, func() bool { return len(c.nodesRunning("a")) == 0 }), qt.IsTrue)
	suspended := c.clock.Now().Sub(cut)
	assert.Assert(c.run(10*time.Second, func() bool { return slices.Equal(c.nodesRunning("a"), []*node{owner}) }), qt.IsTrue)
	assert.Assert(suspended <= 4*time.Second, qt.IsTrue)
	n.peersDisconnected = false
	c.run(5*time.Second, func() bool { return false })
	assert.Assert(slices.Equal(c.nodesRunning("a"), []*node{owner}), qt.IsTrue)
}

// Guards against a new owner that restarts a task which a former owner, disconnected from the store, still renews.
func TestNewOwnerWaitsForFormerOwner(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 3)
	former := c.owner()
	c.startTaskOnOwner(t, former, "a")
	former.storeDisconnected, former.peersDisconnected = true, true
	cut := c.clock.Now()
	assert.Assert(c.run(20*time.Second, func() bool { return c.ownerOtherThan(former) != nil }), qt.IsTrue)
	// The former owner renews leases until its validity ends, 30 s after its last proof. Then the task is suspended.
	assert.Assert(c.run(60*time.Second, func() bool { return len(c.nodesRunning("a")) == 0 }), qt.IsTrue)
	still := c.clock.Now().Sub(cut)
	assert.Assert(still > 28*time.Second && still < 36*time.Second, qt.IsTrue, qt.Commentf("%s", still))
	assert.Assert(c.run(60*time.Second, func() bool { return len(c.nodesRunning("a")) == 1 }), qt.IsTrue)
	assert.Assert(c.nodesRunning("a")[0] == former, qt.IsFalse)
	assert.Assert(c.run(3*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
}

// ownerOtherThan returns an owner other than the given node.
func (c *cluster) ownerOtherThan(former *node) *node {
	for _, n := range c.nodes {
		if n != former && isOwner(n) {
			return n
		}
	}
	return nil
}

// Guards against tasks without a recorded start that wait unnecessarily after a change of ownership, and against
// running tasks that the new owner restarts instead of adopting them.
func TestNewOwnerAdoptsRunningAndStartsNewTasks(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 4)
	former := c.owner()
	former.worker.SetFaults(workerDown)
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":6,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=60s"}`)
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("a")) == 6 }), qt.IsTrue)
	c.run(2*time.Second, func() bool { return false })
	former.killAgent()
	assert.Assert(c.run(10*time.Second, func() bool { return c.ownerOtherThan(former) != nil }), qt.IsTrue)
	c.submit(t, `{"id":"b","team":"t","kind":"batch","tasks":2,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=5s"}`)
	assert.Assert(c.run(15*time.Second, func() bool { return c.jobDone("b") }), qt.IsTrue)
	assert.Assert(c.run(80*time.Second, func() bool { return c.jobDone("a") }), qt.IsTrue)
	starts := 0
	for _, n := range c.nodes {
		starts += len(n.worker.Starts())
	}
	assert.Assert(starts, qt.Equals, 8)
}

// Guards against store calls for each job when many jobs are cancelled at once.
func TestManyCancellationsShareRecords(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 2)
	for i := range 1000 {
		c.submit(t, fmt.Sprintf(`{"id":"j%d","team":"t","kind":"batch","tasks":1,
			"resources":{"milli_cores":4000,"memory_mb":500},"command":"run=1h"}`, i))
	}
	assert.Assert(c.run(60*time.Second, func() bool { return c.store.CountKeys("jobs/") == 0 }), qt.IsTrue)
	owner := c.owner()
	writes := c.store.Counters().Writes()
	began := c.clock.Now()
	var waits []func(context.Context) error
	for i := range 1000 {
		wait, err := owner.owner.BeginCancel(fmt.Sprintf("j%d", i))
		assert.Assert(err, qt.IsNil)
		waits = append(waits, wait)
	}
	c.step()
	for _, wait := range waits {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		assert.Assert(wait(ctx), qt.IsNil)
		stop()
	}
	// One record, and the renewals of the owner's lease in that time.
	assert.Assert(c.clock.Now().Sub(began) <= time.Second, qt.IsTrue)
	assert.Assert(c.store.Counters().Writes()-writes <= 3, qt.IsTrue, qt.Commentf("%d writes", c.store.Counters().Writes()-writes))
	assert.Assert(c.run(10*time.Second, func() bool { return len(c.nodesRunning("j0")) == 0 }), qt.IsTrue)
}

// Guards against services that have too few replicas while a worker is unreachable, or too many after its return.
func TestReplicaOnUnreachableWorkerIsReplaced(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 4)
	c.submit(t, `{"id":"s","team":"t","name":"web","kind":"service","tasks":2,"resources":{"milli_cores":1000,"memory_mb":500}}`)
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("s")) == 2 }), qt.IsTrue)
	c.run(2*time.Second, func() bool { return false })
	var lost *node
	for _, n := range c.nodesRunning("s") {
		if !isOwner(n) {
			lost = n
		}
	}
	lost.peersDisconnected = true
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("s")) == 3 }), qt.IsTrue)
	c.run(60*time.Second, func() bool { return false })
	assert.Assert(c.nodesRunning("s"), qt.HasLen, 3)
	lost.peersDisconnected = false
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("s")) == 2 }), qt.IsTrue)
	assert.Assert(slices.Contains(c.nodesRunning("s"), lost), qt.IsTrue)
}

// Guards against an evacuation of a failure domain in which service replicas stop before their replacements run, or
// batch tasks lose their progress.
func TestFailureDomainIsEvacuated(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 6)
	m := &model{c: c, oracle: newOracle(c, t.Fatalf)}
	c.submit(t, `{"id":"s","team":"t","name":"web","kind":"service","tasks":3,"resources":{"milli_cores":500,"memory_mb":500}}`)
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":9,"expected_seconds":60,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=60s"}`)
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("s")) == 3 && len(c.nodesRunning("a")) == 9 }), qt.IsTrue)
	c.run(10*time.Second, func() bool { return false })
	domain := c.nodesRunning("s")[0].domain
	m.setOut(domain, true)
	inside := func(job string) int {
		count := 0
		for _, n := range c.nodesRunning(job) {
			if n.domain == domain {
				count++
			}
		}
		return count
	}
	assert.Assert(inside("a") > 0, qt.IsTrue)
	empty := c.run(60*time.Second, func() bool {
		if len(c.nodesRunning("s")) < 3 {
			t.Fatalf("only %d replicas run", len(c.nodesRunning("s")))
		}
		return inside("s") == 0 && inside("a") == 0
	})
	assert.Assert(empty, qt.IsTrue)
	m.setOut(domain, false)
	assert.Assert(c.run(4*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
	for _, n := range c.nodes {
		for _, spec := range n.worker.Starts() {
			if taskIDOf(spec.ID).JobID == "a" && spec.ID[len(spec.ID)-1] > '1' {
				assert.Assert(spec.CheckpointID, qt.Not(qt.Equals), "")
			}
		}
	}
}

// Guards against an owner that renews leases after its validity has ended, and against one that stops too early.
func TestOwnerRenewsForItsValidity(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 1)
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":1,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=1h"}`)
	assert.Assert(c.run(10*time.Second, func() bool { return len(c.nodesRunning("a")) == 1 }), qt.IsTrue)
	c.run(2*time.Second, func() bool { return false })
	c.store.SetFaults(storetest.Faults{Down: true})
	assert.Assert(c.run(27*time.Second, func() bool { return len(c.nodesRunning("a")) == 0 }), qt.IsFalse)
	assert.Assert(c.run(10*time.Second, func() bool { return len(c.nodesRunning("a")) == 0 }), qt.IsTrue)
	c.store.SetFaults(storetest.Faults{})
	// The suspended task resumes in place once an owner confirms it.
	assert.Assert(c.run(15*time.Second, func() bool { return len(c.nodesRunning("a")) == 1 }), qt.IsTrue)
	assert.Assert(c.nodes[0].worker.Starts(), qt.HasLen, 1)
}

// Guards against results that are lost when the owner fails after they were reported and before they are in the log.
func TestResultsSurviveOwnerFailure(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 3)
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":6,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=3s"}`)
	assert.Assert(c.run(10*time.Second, func() bool { return len(c.nodesRunning("a")) > 0 }), qt.IsTrue)
	c.store.SetFaults(storetest.Faults{Down: true})
	c.run(5*time.Second, func() bool { return false })
	c.owner().killAgent()
	c.store.SetFaults(storetest.Faults{})
	assert.Assert(c.run(3*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
	status, err := c.Status(context.Background(), 0, "a")
	assert.Assert(err, qt.IsNil)
	assert.Assert(status.Counts[structs.TaskFinished], qt.Equals, 6)
}

// Guards against a drain of an agent that loses tasks, or ends while tasks remain on the worker.
func TestDrainMovesEverything(t *testing.T) {
	assert := qt.New(t)
	c := newCheckedCluster(t, 4)
	c.submit(t, `{"id":"s","team":"t","name":"web","kind":"service","tasks":2,"resources":{"milli_cores":1000,"memory_mb":500}}`)
	c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":6,"expected_seconds":40,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=40s"}`)
	assert.Assert(c.run(20*time.Second, func() bool { return len(c.nodesRunning("s")) == 2 && len(c.nodesRunning("a")) == 6 }), qt.IsTrue)
	c.run(5*time.Second, func() bool { return false })
	n := c.nodesRunning("s")[0]
	n.runner.Drain()
	assert.Assert(c.run(40*time.Second, func() bool {
		if len(c.nodesRunning("s")) < 2 {
			t.Fatalf("only %d replicas run", len(c.nodesRunning("s")))
		}
		return n.runner.Idle()
	}), qt.IsTrue)
	assert.Assert(n.worker.Running(), qt.HasLen, 0)
	assert.Assert(c.run(2*time.Minute, func() bool { return c.jobDone("a") }), qt.IsTrue)
}
