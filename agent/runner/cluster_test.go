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

// tick is the smallest step of virtual time in a cluster.
const tick = 200 * time.Millisecond

var errCut = errors.New("the connection is cut")

// cluster runs owners, runners and workers in virtual time in one goroutine.
type cluster struct {
	clock  *clock.Manual
	store  *storetest.Store
	head   config.Head
	nodes  []*node
	jobs   *jobs.Service
	check  func()
	nested int
	// snapshotEvery is a number of records.
	snapshotEvery int64
	ownerValidity time.Duration
	// sent and pushed hold messages that can be delivered again.
	sent   []structs.Heartbeat
	pushed []push
	// truncated holds the records that owners have deleted since the last check.
	truncated     []store.Entry
	keepTruncated bool
	// bytes is the size of heartbeats, replies and pushes as JSON, counted while counting is set.
	bytes    int
	counting bool
}

func (c *cluster) count(message any) {
	if c.counting {
		raw, _ := json.Marshal(message)
		c.bytes += len(raw)
	}
}

// push is a start request to a node.
type push struct {
	to      *node
	request structs.StartRequest
}

// node is a host: a worker, and an agent that runs allocations and may own the shard.
type node struct {
	c        *cluster
	name     string
	domain   string
	worker   *workertest.Worker
	follower *config.Follower
	owners   *gossip.OwnerTable
	owner    *shard.Owner
	runner   *Runner
	starts   int64
	// lost: the host is gone; a new agent starts on a new one.
	lost bool
	// down: the agent isn't running. pausedUntil: it runs no instruction before that time.
	down        bool
	pausedUntil time.Time
	// busy is set while the agent is paused in the middle of a call.
	busy bool
	// cutStore and cutPeers break its connections.
	cutStore, cutPeers bool
	// pauseAtCall pauses the agent at its next outgoing call: before the call takes effect, or after.
	pauseAtCall time.Duration
	pauseAfter  bool
	lastReply   time.Time
	round       int
}

func newCluster(nodes int) *cluster {
	c := &cluster{clock: clock.NewManual(time.Unix(1_800_000_000, 0)), check: func() {}, snapshotEvery: 64}
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
		n.boot()
	}
	c.jobs = jobs.NewService(c.store, c.clock, config.NewFollower(c.clock), c)
	return c
}

// boot starts the agent of a node anew.
func (n *node) boot() {
	c := n.c
	n.starts++
	n.pausedUntil = time.Time{}
	n.down, n.lost, n.lastReply = false, false, time.Time{}
	n.follower, n.owners = config.NewFollower(c.clock), gossip.NewOwnerTable()
	address := fmt.Sprintf("127.0.0.1:%d", 1000+slices.Index(c.nodes, n))
	w := structs.Worker{
		Name: n.name, FailureDomain: n.domain, Rack: "r1", Address: address,
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}
	log := hclog.NewNullLogger()
	settings := shard.DefaultConfig(0, n.name, address)
	settings.SnapshotEvery = c.snapshotEvery
	settings.Lifecycle.OwnerValidity = c.ownerValidity
	n.owner = shard.NewOwner(settings, storeGate{c.store, n}, c.clock,
		shard.NewFollowed(n.follower, c.clock), scheduler.Plan, n.owners, pushGate{n}, log)
	n.owner.AskThrough(taskGate{n})
	n.owner.InOneGoroutine()
	runnerSettings := DefaultSettings()
	runnerSettings.OwnerValidity = c.ownerValidity
	ledger := NewLeaseTable(runnerSettings, w, 0, fmt.Sprint(n.name, "-", n.starts), c.clock.Now().UnixNano())
	n.runner = New(ledger, workerGate{n.worker, n}, c.clock, followerConfiguration{n.follower}, ownerGate{n}, nil, log)
}

func (n *node) up() bool { return !n.down && !n.busy && !n.c.clock.Now().Before(n.pausedUntil) }

// call is made at each outgoing call of a node; a pause that is due lets the others run on meanwhile.
func (n *node) call(after bool) {
	if n.pauseAtCall == 0 || n.pauseAfter != after || n.c.nested > 2 {
		return
	}
	pause := n.pauseAtCall
	n.pauseAtCall = 0
	n.pausedUntil = n.c.clock.Now().Add(pause)
	n.c.nested++
	n.busy = true
	life := n.starts
	for n.c.clock.Now().Before(n.pausedUntil) {
		n.c.step()
	}
	n.c.nested--
	n.busy = false
	if n.down || n.starts != life {
		panic(killed{})
	}
}

// killed ends what a process was doing when it was killed during a pause.
type killed struct{}

// kill ends the agent of a node.
func (n *node) kill() { n.down = true }

// step advances the time by one tick and runs all agents.
func (c *cluster) step() {
	c.clock.Advance(tick)
	for i, n := range c.nodes {
		if n.up() {
			n.act(i)
		}
	}
	c.check()
}

// act runs the agent of a node for one tick.
func (n *node) act(i int) {
	defer func() {
		if cause := recover(); cause != nil {
			if _, ok := cause.(killed); !ok {
				panic(cause)
			}
		}
	}()
	c, ctx := n.c, context.Background()
	n.round++
	_, owns := n.owner.Owns()
	if owns && n.round%2 == 0 && !n.cutStore && !c.store.Faults().Down {
		_ = n.follower.ObserveStore(c.head, c.clock.Now())
	}
	if owns && n.round%5 == 0 {
		_ = n.owner.KeepAlive(ctx)
	}
	if !owns && n.round%3 == 0 && c.clock.Now().Sub(n.lastReply) > 1500*time.Millisecond {
		_ = n.owner.Acquire(ctx)
	}
	_ = n.owner.Step(ctx)
	_ = n.runner.Reconcile(ctx)
	due := (n.round+i)%5 == 0
	select {
	case <-n.runner.ResultWaiting():
		due = true
	default:
	}
	if due && n.up() {
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
		if epoch, owns := n.owner.Owns(); owns && n.up() && epoch > highest {
			owner, highest = n, epoch
		}
	}
	return owner
}

// Submit, Status, Jobs and Cancel reach the present owner for the entry.
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

func (c *cluster) done(id string) bool {
	status, err := c.Status(context.Background(), 0, id)
	return err == nil && status.Done
}

// Guards against any break in the chain from submission over placement and heartbeats to a durable result.
func TestBatchJobFinishes(t *testing.T) {
	assert := qt.New(t)
	c := newCluster(3)
	id := c.submit(t, `{"id":"a","team":"t","kind":"batch","tasks":5,"resources":{"milli_cores":1000,"memory_mb":500},"command":"run=3s"}`)
	assert.Assert(c.run(30*time.Second, func() bool { return c.done(id) }), qt.IsTrue)
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
