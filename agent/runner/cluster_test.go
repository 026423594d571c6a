package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/entry/jobs"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/scheduler"
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// tick is the step of the virtual time of a cluster.
const tick = 200 * time.Millisecond

var errDisconnected = errors.New("the connection is broken")

// cluster simulates owners, runners and workers in virtual time in one goroutine.
type cluster struct {
	clock           *clock.Manual
	store           *storetest.Store
	head            config.Head
	nodes           []*node
	jobs            *jobs.Service
	checkInvariants func()
	nestedPauses    int
	// recordsPerSnapshot is the number of log records between snapshots.
	recordsPerSnapshot int64
	ownerValidity      time.Duration
	// sentHeartbeats and sentStartRequests hold messages that tests can deliver again.
	sentHeartbeats    []structs.Heartbeat
	sentStartRequests []sentStartRequest
	// truncated holds the log records that owners have deleted since the last check.
	truncated     []store.Entry
	keepTruncated bool
	// messageBytes is the JSON size of heartbeats, replies and start requests, counted while countBytes is set.
	messageBytes int
	countBytes   bool
}

func (c *cluster) countMessage(message any) {
	if c.countBytes {
		raw, _ := json.Marshal(message)
		c.messageBytes += len(raw)
	}
}

// sentStartRequest is a start request and the node that it was sent to.
type sentStartRequest struct {
	to      *node
	request structs.StartRequest
}

// node simulates a host with a worker and an agent. The agent runs allocations and may own the shard.
type node struct {
	c           *cluster
	name        string
	domain      string
	worker      *workertest.Worker
	follower    *config.Follower
	owners      *gossip.OwnerTable
	owner       *shard.Owner
	runner      *Runner
	incarnation int64
	// hostLost is set when the host is lost; startAgent then starts the agent on a new host.
	hostLost bool
	// agentDown is set while the agent isn't running. Until pausedUntil the agent is running but executes nothing.
	agentDown   bool
	pausedUntil time.Time
	// pausedInCall is set while the agent is paused during an outgoing call.
	pausedInCall bool
	// storeDisconnected and peersDisconnected break the connections to the store and to other nodes.
	storeDisconnected, peersDisconnected bool
	// pauseAtCall is the length of a pause at the next outgoing call, before the call takes effect or, with
	// pauseAfterEffect, after it.
	pauseAtCall      time.Duration
	pauseAfterEffect bool
	lastReply        time.Time
	ticks            int
}

func newCluster(nodes int) *cluster {
	c := &cluster{clock: clock.NewManual(time.Unix(1_800_000_000, 0)), checkInvariants: func() {}, recordsPerSnapshot: 64}
	c.ownerValidity = DefaultSettings().OwnerValidity
	c.store = storetest.New(c.clock)
	c.head = config.Head{
		Revision: 1, Changes: []string{"first"}, StartFreshnessMillis: 3000, Domains: map[string]config.DomainState{},
	}
	for i := range nodes {
		n := &node{c: c, name: fmt.Sprintf("w%02d", i), domain: fmt.Sprintf("d%d", i%3)}
		n.worker = workertest.New(c.clock, structs.Resources{MilliCores: 4000, MemoryMB: 8000})
		c.head.Domains[n.domain] = config.DomainState{Workers: 1}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		n.startAgent()
	}
	c.jobs = jobs.NewService(c.store, c.clock, config.NewFollower(c.clock), c)
	return c
}

// startAgent starts a new agent process on the node.
func (n *node) startAgent() {
	c := n.c
	n.incarnation++
	n.pausedUntil = time.Time{}
	n.agentDown, n.hostLost, n.lastReply = false, false, time.Time{}
	n.follower, n.owners = config.NewFollower(c.clock), gossip.NewOwnerTable()
	address := fmt.Sprintf("127.0.0.1:%d", 1000+slices.Index(c.nodes, n))
	w := structs.Worker{
		Name: n.name, FailureDomain: n.domain, Rack: "r1", Address: address,
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}
	log := hclog.NewNullLogger()
	settings := shard.DefaultConfig(0, address)
	settings.SnapshotEvery = c.recordsPerSnapshot
	settings.Lifecycle.OwnerValidity = c.ownerValidity
	n.owner = shard.NewOwner(settings, storeConnection{c.store, n}, c.clock,
		shard.NewFollowerConfig(n.follower, c.clock), scheduler.Plan, n.owners, agentConnection{n}, log)
	n.owner.SetWorkerQuerier(taskListConnection{n})
	n.owner.RunSynchronously()
	runnerSettings := DefaultSettings()
	runnerSettings.OwnerValidity = c.ownerValidity
	leases := NewLeaseTable(runnerSettings, w, 0, fmt.Sprint(n.name, "-", n.incarnation), c.clock.Now().UnixNano())
	n.runner = New(leases, workerConnection{n.worker, n}, c.clock, followerConfiguration{n.follower}, ownerConnection{n}, nil, log)
}

func (n *node) agentUp() bool {
	return !n.agentDown && !n.pausedInCall && !n.c.clock.Now().Before(n.pausedUntil)
}

// pauseIfDue is called before and after each outgoing call of a node. If a pause is due, the other nodes run on during
// it.
func (n *node) pauseIfDue(after bool) {
	if n.pauseAtCall == 0 || n.pauseAfterEffect != after || n.c.nestedPauses > 2 {
		return
	}
	pause := n.pauseAtCall
	n.pauseAtCall = 0
	n.pausedUntil = n.c.clock.Now().Add(pause)
	n.c.nestedPauses++
	n.pausedInCall = true
	incarnation := n.incarnation
	for n.c.clock.Now().Before(n.pausedUntil) {
		n.c.step()
	}
	n.c.nestedPauses--
	n.pausedInCall = false
	if n.agentDown || n.incarnation != incarnation {
		panic(agentKilled{})
	}
}

// agentKilled is the panic value that unwinds an agent that was killed during a pause.
type agentKilled struct{}

// killAgent ends the agent process of a node.
func (n *node) killAgent() { n.agentDown = true }

// step advances the time by one tick, runs all agents and checks the invariants.
func (c *cluster) step() {
	c.clock.Advance(tick)
	for i, n := range c.nodes {
		if n.agentUp() {
			n.runAgent(i)
		}
	}
	c.checkInvariants()
}

// runAgent runs the agent of a node for one tick.
func (n *node) runAgent(i int) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(agentKilled); !ok {
				panic(cause)
			}
		}
	}()
	c, ctx := n.c, context.Background()
	n.ticks++
	_, owns := n.owner.Owns()
	if owns && n.ticks%2 == 0 && !n.storeDisconnected && !c.store.Faults().Down {
		_ = n.follower.ObserveStore(c.head, c.clock.Now())
	}
	if owns && n.ticks%5 == 0 {
		_ = n.owner.KeepAlive(ctx)
	}
	if !owns && n.ticks%3 == 0 && c.clock.Now().Sub(n.lastReply) > 1500*time.Millisecond {
		_ = n.owner.Acquire(ctx)
	}
	_ = n.owner.Step(ctx)
	_ = n.runner.Reconcile(ctx)
	due := (n.ticks+i)%5 == 0
	select {
	case <-n.runner.ResultWaiting():
		due = true
	default:
	}
	if due && n.agentUp() {
		if n.runner.SendHeartbeat(ctx) == nil {
			n.lastReply = c.clock.Now()
		}
		_ = n.runner.Reconcile(ctx)
	}
}

// run advances the cluster until done returns true, for at most the given time.
func (c *cluster) run(limit time.Duration, done func() bool) bool {
	for end := c.clock.Now().Add(limit); c.clock.Now().Before(end); {
		if done() {
			return true
		}
		c.step()
	}
	return done()
}

func (c *cluster) owner() *node {
	var owner *node
	highest := int64(0)
	for _, n := range c.nodes {
		if epoch, owns := n.owner.Owns(); owns && n.agentUp() && epoch > highest {
			owner, highest = n, epoch
		}
	}
	return owner
}

// Submit, Status, Jobs and Cancel implement the entry's connection to the current owner.
func (c *cluster) Submit(_ context.Context, _ int, job structs.Job) error {
	if n := c.owner(); n != nil {
		return n.owner.Submit(job)
	}
	return shard.ErrUnreachable
}

func (c *cluster) Status(_ context.Context, _ int, id string) (structs.JobStatus, error) {
	if n := c.owner(); n != nil {
		return n.owner.Status(id)
	}
	return structs.JobStatus{}, shard.ErrUnreachable
}

func (c *cluster) Jobs(context.Context, int) ([]structs.JobStatus, error) {
	if n := c.owner(); n != nil {
		return n.owner.Jobs()
	}
	return nil, shard.ErrUnreachable
}

func (c *cluster) Cancel(ctx context.Context, _ int, id string) (structs.JobStatus, error) {
	n := c.owner()
	if n == nil {
		return structs.JobStatus{}, shard.ErrUnreachable
	}
	wait, err := n.owner.BeginCancel(id)
	if err != nil {
		return structs.JobStatus{}, err
	}
	for range 10 {
		limited, stop := context.WithTimeout(ctx, time.Millisecond)
		err = wait(limited)
		stop()
		if !errors.Is(err, context.DeadlineExceeded) {
			break
		}
		c.step()
	}
	return structs.JobStatus{ID: id, Cancelled: true}, err
}

func (c *cluster) submit(t testing.TB, text string) string {
	t.Helper()
	job, err := c.jobs.Submit(context.Background(), []byte(text))
	if err != nil {
		t.Fatalf("submitting: %v", err)
	}
	return job.ID
}

func (c *cluster) jobDone(id string) bool {
	status, err := c.Status(context.Background(), 0, id)
	return err == nil && status.Done
}

// Guards against failures on the path of a job from submission through placement and heartbeats to a durable result.
func TestBatchJobFinishes(t *testing.T) {
	assert := qt.New(t)
	c := newCluster(3)
	id := c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":5,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=3s"}`)
	assert.Assert(c.run(30*time.Second, func() bool { return c.jobDone(id) }), qt.IsTrue)
	status, err := c.Status(context.Background(), 0, id)
	assert.Assert(err, qt.IsNil)
	assert.Assert(status.Counts, qt.DeepEquals, map[structs.TaskState]int{structs.TaskFinished: 5})
	starts := 0
	for _, n := range c.nodes {
		starts += len(n.worker.Starts())
	}
	assert.Assert(starts, qt.Equals, 5)
}

var (
	workerDown    = workertest.Faults{Down: true}
	workerHealthy = workertest.Faults{}
)
