// Package runner runs allocations on the local worker under leases: it sends heartbeats to the shard's owner, keeps the
// ledger of what the worker holds, and starts, renews, suspends and stops tasks.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/shard/heartbeat"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// ErrNoOwner means that no owner of the shard is known or reachable.
var ErrNoOwner = errors.New("runner: no owner of the shard")

// ErrOutdated means that a push doesn't belong to this process, the present owner or a recent heartbeat.
var ErrOutdated = errors.New("runner: start request is out of date")

// Configuration tells whether starts are allowed, and takes the head that owners relay.
type Configuration interface {
	// MayStart tells whether a start in a failure domain is allowed now.
	MayStart(domain string) (bool, string)
	// Revision returns the revision of the head that this process holds.
	Revision() int64
	// Relay takes the head and the proof of a reply; sent is when the answered heartbeat was sent.
	Relay(reply structs.HeartbeatReply, sent time.Time)
}

// Transport reaches the owner of the shard.
type Transport interface {
	// Heartbeat sends a heartbeat to the owner that is believed to be the present one.
	Heartbeat(ctx context.Context, shard int, hb structs.Heartbeat) (structs.HeartbeatReply, error)
	// Epoch returns the epoch of the owner that the store names, or 0 when there is none.
	Epoch(ctx context.Context, shard int) (int64, error)
}

// Guard protects services on the worker from batch tasks. It may be nil.
type Guard interface {
	// Decide returns what to do, given all tasks on the worker.
	Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction
}

// GuardTask is a task as the guard sees it.
type GuardTask struct {
	Allocation    structs.Allocation
	State         structs.TaskState
	Used          structs.Resources
	UsageAge      time.Duration
	LatencyMillis float64
	Progress      float64
	// SinceCheckpoint is the run time that an eviction without a checkpoint would lose.
	SinceCheckpoint time.Duration
	Share           float64
}

// GuardAction throttles a task, or has it leave the worker with a checkpoint.
type GuardAction struct {
	AllocationID string
	Share        float64
	Evict        bool
	Reason       string
}

// Runner runs allocations on a worker. It is safe for concurrent use.
type Runner struct {
	worker    worker.Worker
	clock     clock.Clock
	settled   Configuration
	transport Transport
	guard     Guard
	// services returns the latencies of the upstreams beside the worker; it may be nil.
	services func() []structs.ServiceLatency
	log      hclog.Logger

	// tickMu lets one tick at a time call the worker.
	tickMu sync.Mutex

	mu        sync.Mutex
	ledger    *Ledger
	compactor heartbeat.Compactor
	recovered bool
	began     time.Time
	// trusted is set once the epochs that this process could accept exclude all owners that an earlier process left.
	trusted bool
	kick    chan struct{}
	// report receives when a result waits for the owner.
	report chan struct{}
}

// New returns a runner. It does nothing until Tick and Beat are called.
func New(ledger *Ledger, w worker.Worker, c clock.Clock, settled Configuration, transport Transport, guard Guard, log hclog.Logger) *Runner {
	return &Runner{
		worker: w, clock: c, settled: settled, transport: transport, guard: guard, log: log, ledger: ledger,
		began: c.Now(), kick: make(chan struct{}, 1), report: make(chan struct{}, 1),
	}
}

// Kicked returns a channel that receives when a tick is due at once.
func (r *Runner) Kicked() <-chan struct{} { return r.kick }

// ResultWaiting returns a channel that receives when a new result waits for the owner, so that the next task can start
// without waiting for the next regular heartbeat.
func (r *Runner) ResultWaiting() <-chan struct{} { return r.report }

// noteResults signals results that are new since the given number of ended allocations; r.mu is held.
func (r *Runner) noteResults(before int64) {
	if r.ledger.endings == before {
		return
	}
	select {
	case r.report <- struct{}{}:
	default:
	}
}

func (r *Runner) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Beat sends one heartbeat and takes the reply.
func (r *Runner) Beat(ctx context.Context) error {
	if err := r.trust(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if !r.recovered {
		r.mu.Unlock()
		return eris.New("the worker's tasks are not known yet")
	}
	sent := r.clock.Now()
	hb := r.ledger.Heartbeat(sent)
	if r.services != nil {
		hb.Services = r.services()
	}
	hb.HeadRevision = r.settled.Revision()
	wire := r.compactor.Compact(hb)
	r.mu.Unlock()
	reply, err := r.transport.Heartbeat(ctx, r.ledger.shard, wire)
	if err != nil {
		return err
	}
	heartbeat.ExpandReply(hb, &reply)
	r.mu.Lock()
	applied := reply.Sequence == hb.Sequence && r.ledger.Apply(reply, r.clock.Now())
	if applied {
		r.compactor.Acknowledge(hb, reply.Epoch)
	}
	r.mu.Unlock()
	if !applied {
		return eris.Wrapf(ErrOutdated, "reply of epoch %d", reply.Epoch)
	}
	r.settled.Relay(reply, sent)
	r.wake()
	return nil
}

// trust makes sure that a restarted agent doesn't accept an owner that its earlier process had already left behind: it
// takes the epoch from the store, or waits until every such owner has lost its validity.
func (r *Runner) trust(ctx context.Context) error {
	r.mu.Lock()
	trusted := r.trusted || r.clock.Now().Sub(r.began) > r.ledger.settings.OwnerValidity
	r.trusted = trusted
	r.mu.Unlock()
	if trusted {
		return nil
	}
	epoch, err := r.transport.Epoch(ctx, r.ledger.shard)
	if err != nil {
		return eris.Wrap(err, "reading the owner's epoch")
	}
	if epoch == 0 {
		return ErrNoOwner
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.RaiseEpoch(epoch)
	r.trusted = true
	return nil
}

// Push takes starts that the owner sends outside of a reply.
func (r *Runner) Push(request structs.StartRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ledger.Push(request, r.clock.Now()) {
		return ErrOutdated
	}
	r.wake()
	return nil
}

// Drain refuses new allocations and asks the owner to move the present ones.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.draining = true
}

// EvictAll has all batch tasks leave with a checkpoint, and stops services.
func (r *Runner) EvictAll(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.ledger.held {
		r.ledger.stop(structs.TaskStop{
			AllocationID: id, Checkpoint: h.alloc.Kind == structs.KindBatch, Reason: reason,
		}, r.clock.Now())
	}
	r.wake()
}

// Idle tells whether nothing is held and every result has been acknowledged.
func (r *Runner) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Idle()
}

// Tick brings the worker in line with the ledger: it ends what must not run first.
func (r *Runner) Tick(ctx context.Context) error {
	r.tickMu.Lock()
	defer r.tickMu.Unlock()
	r.mu.Lock()
	before := r.ledger.endings
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.noteResults(before)
	}()
	// Leases are enforced before the status is read, since that call can take long.
	r.perform(ctx, r.due(verbSuspend, verbStop, verbAbandon))
	statuses, err := r.worker.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "reading the worker's status")
	}
	r.mu.Lock()
	now := r.clock.Now()
	var remove []operation
	if r.recovered {
		remove = r.ledger.observe(statuses, now)
	} else {
		r.ledger.recover(statuses, decodeAllocation, now)
		r.recovered = true
	}
	r.mu.Unlock()
	r.perform(ctx, remove)
	r.protect(ctx)
	r.perform(ctx, r.due())
	return nil
}

// due returns the calls that are due, of the given verbs if there are any.
func (r *Runner) due(verbs ...verb) []operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.ledger.due(r.clock.Now())
	if len(verbs) == 0 {
		return all
	}
	var chosen []operation
	for _, op := range all {
		for _, v := range verbs {
			if op.verb == v {
				chosen = append(chosen, op)
			}
		}
	}
	return chosen
}

func decodeAllocation(text string) (structs.Allocation, bool) {
	var alloc structs.Allocation
	err := json.Unmarshal([]byte(text), &alloc)
	return alloc, err == nil
}

// protect applies the decisions of the guard.
func (r *Runner) protect(ctx context.Context) {
	if r.guard == nil {
		return
	}
	r.mu.Lock()
	tasks := make([]GuardTask, 0, len(r.ledger.held))
	for _, h := range r.ledger.held {
		tasks = append(tasks, GuardTask{
			Allocation: h.alloc, State: h.state, Used: h.usage, UsageAge: h.usageAge, LatencyMillis: h.latency,
			Progress: h.progress, Share: h.share, SinceCheckpoint: r.clock.Now().Sub(h.checkpointAt),
		})
	}
	actions := r.guard.Decide(r.clock.Now(), r.ledger.worker, tasks)
	r.mu.Unlock()
	for _, action := range actions {
		r.applyGuard(ctx, action)
	}
}

func (r *Runner) applyGuard(ctx context.Context, action GuardAction) {
	r.mu.Lock()
	h := r.ledger.held[action.AllocationID]
	if h == nil || h.alloc.Kind == structs.KindService || h.state != structs.TaskRunning {
		r.mu.Unlock()
		return
	}
	if action.Evict {
		r.ledger.stop(structs.TaskStop{
			AllocationID: action.AllocationID, Checkpoint: true, Reason: "guard: " + action.Reason,
		}, r.clock.Now())
	}
	// A share of 0 would suspend the task, which only the end of a lease does.
	share := max(action.Share, minShare)
	throttle := !action.Evict && share != h.share
	r.mu.Unlock()
	if !throttle {
		return
	}
	if err := r.worker.Throttle(ctx, action.AllocationID, share); err != nil {
		r.log.Warn("task was not throttled", "allocation", action.AllocationID, "error", err)
		return
	}
	r.mu.Lock()
	h.share = share
	r.mu.Unlock()
}

// minShare is the smallest share of processor time that a guard can leave to a task.
const minShare = 0.01
