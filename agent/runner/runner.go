// Package runner runs allocations on the local worker under leases: it sends heartbeats to the shard's owner, tracks
// the allocations that the worker holds, and starts, renews, suspends and stops their tasks.
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

// ErrOutdated means that a start request or reply doesn't match this process, the current owner or a recent heartbeat.
var ErrOutdated = errors.New("runner: start request is out of date")

// Configuration reports whether starts are allowed, and receives the configuration head that owners relay.
type Configuration interface {
	// MayStart reports whether a start in a failure domain is allowed now, and the reason if it isn't.
	MayStart(domain string) (bool, string)
	// Revision returns the revision of the head that this process holds.
	Revision() int64
	// Relay processes the head and the freshness proof of a reply; sent is when the answered heartbeat was sent.
	Relay(reply structs.HeartbeatReply, sent time.Time)
}

// Transport sends requests to the owner of the shard.
type Transport interface {
	// Heartbeat sends a heartbeat to the last known owner.
	Heartbeat(ctx context.Context, shard int, hb structs.Heartbeat) (structs.HeartbeatReply, error)
	// Epoch returns the epoch of the owner recorded in the store, or 0 when there is none.
	Epoch(ctx context.Context, shard int) (int64, error)
}

// Guard protects services on the worker from batch tasks. It may be nil.
type Guard interface {
	// Decide returns the actions to take, given all tasks on the worker.
	Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction
}

// GuardTask is the guard's input for one task.
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

// GuardAction throttles a task, or evicts it with a checkpoint.
type GuardAction struct {
	AllocationID string
	Share        float64
	Evict        bool
	Reason       string
}

// Runner runs allocations on a worker. It is safe for concurrent use.
type Runner struct {
	worker        worker.Worker
	clock         clock.Clock
	configuration Configuration
	transport     Transport
	guard         Guard
	// latencies returns the latencies of the upstreams on the same host; it may be nil.
	latencies func() []structs.ServiceLatency
	log       hclog.Logger

	// reconcileMu serializes calls of Reconcile.
	reconcileMu sync.Mutex

	mu        sync.Mutex
	leases    *LeaseTable
	compactor heartbeat.Compactor
	recovered bool
	createdAt time.Time
	// epochVerified is set once this process can't accept an owner older than the last one that an earlier process
	// followed.
	epochVerified bool
	reconcileDue  chan struct{}
	// resultWaiting receives a value when a new result has to be reported to the owner.
	resultWaiting chan struct{}
}

// New returns a runner. It does nothing until Reconcile and SendHeartbeat are called.
func New(leases *LeaseTable, w worker.Worker, c clock.Clock, configuration Configuration, transport Transport, guard Guard, log hclog.Logger) *Runner {
	return &Runner{
		worker: w, clock: c, configuration: configuration, transport: transport, guard: guard, log: log, leases: leases,
		createdAt: c.Now(), reconcileDue: make(chan struct{}, 1), resultWaiting: make(chan struct{}, 1),
	}
}

// ReconcileRequested returns a channel that receives a value when Reconcile should be called without delay.
func (r *Runner) ReconcileRequested() <-chan struct{} { return r.reconcileDue }

// ResultWaiting returns a channel that receives a value when a new result has to be reported to the owner, so that the
// next task can start without waiting for the next regular heartbeat.
func (r *Runner) ResultWaiting() <-chan struct{} { return r.resultWaiting }

// signalNewResults signals on resultWaiting if more than endedBefore allocations have ended. r.mu must be held.
func (r *Runner) signalNewResults(endedBefore int64) {
	if r.leases.endedCount == endedBefore {
		return
	}
	select {
	case r.resultWaiting <- struct{}{}:
	default:
	}
}

func (r *Runner) requestReconcile() {
	select {
	case r.reconcileDue <- struct{}{}:
	default:
	}
}

// SendHeartbeat sends one heartbeat to the owner and applies the reply.
func (r *Runner) SendHeartbeat(ctx context.Context) error {
	if err := r.verifyEpoch(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	if !r.recovered {
		r.mu.Unlock()
		return eris.New("the status of the worker has not been read yet")
	}
	sent := r.clock.Now()
	hb := r.leases.Heartbeat(sent)
	if r.latencies != nil {
		hb.Services = r.latencies()
	}
	hb.HeadRevision = r.configuration.Revision()
	message := r.compactor.Compact(hb)
	r.mu.Unlock()
	reply, err := r.transport.Heartbeat(ctx, r.leases.shard, message)
	if err != nil {
		return err
	}
	heartbeat.ExpandReply(hb, &reply)
	r.mu.Lock()
	applied := reply.Sequence == hb.Sequence && r.leases.ApplyReply(reply, r.clock.Now())
	if applied {
		r.compactor.Acknowledge(hb, reply.Epoch)
	}
	r.mu.Unlock()
	if !applied {
		return eris.Wrapf(ErrOutdated, "reply of epoch %d", reply.Epoch)
	}
	r.configuration.Relay(reply, sent)
	r.requestReconcile()
	return nil
}

// verifyEpoch prevents a restarted agent from accepting an owner that an earlier process of it had already replaced by
// a later one. It reads the current epoch from the store, or fails until the validity of every such owner has expired.
func (r *Runner) verifyEpoch(ctx context.Context) error {
	r.mu.Lock()
	verified := r.epochVerified || r.clock.Now().Sub(r.createdAt) > r.leases.settings.OwnerValidity
	r.epochVerified = verified
	r.mu.Unlock()
	if verified {
		return nil
	}
	epoch, err := r.transport.Epoch(ctx, r.leases.shard)
	if err != nil {
		return eris.Wrap(err, "reading the owner's epoch")
	}
	if epoch == 0 {
		return ErrNoOwner
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.RaiseEpoch(epoch)
	r.epochVerified = true
	return nil
}

// HandleStartRequest accepts starts that the owner sends outside of a heartbeat reply.
func (r *Runner) HandleStartRequest(request structs.StartRequest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leases.ApplyStartRequest(request, r.clock.Now()) {
		return ErrOutdated
	}
	r.requestReconcile()
	return nil
}

// Drain rejects new allocations and asks the owner to move the current ones.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leases.draining = true
}

// EvictAll stops all tasks, batch tasks after a checkpoint.
func (r *Runner) EvictAll(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.leases.held {
		r.leases.requestStop(structs.TaskStop{
			AllocationID: id, Checkpoint: h.alloc.Kind == structs.KindBatch, Reason: reason,
		}, r.clock.Now())
	}
	r.requestReconcile()
}

// Idle reports whether nothing is held and every result has been acknowledged.
func (r *Runner) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.Idle()
}

// Reconcile makes the worker match the lease table. Tasks that must not run any more are ended first.
func (r *Runner) Reconcile(ctx context.Context) error {
	r.reconcileMu.Lock()
	defer r.reconcileMu.Unlock()
	r.mu.Lock()
	endedBefore := r.leases.endedCount
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.signalNewResults(endedBefore)
	}()
	// Leases are enforced before the status is read, since that call can take long.
	r.execute(ctx, r.dueOperations(opSuspend, opStop, opAbandon))
	statuses, err := r.worker.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "reading the worker's status")
	}
	r.mu.Lock()
	now := r.clock.Now()
	var remove []operation
	if r.recovered {
		remove = r.leases.applyStatuses(statuses, now)
	} else {
		r.leases.recoverTasks(statuses, decodeAllocation, now)
		r.recovered = true
	}
	r.mu.Unlock()
	r.execute(ctx, remove)
	r.applyGuard(ctx)
	r.execute(ctx, r.dueOperations())
	return nil
}

// dueOperations returns the operations that are due, limited to the given kinds if there are any.
func (r *Runner) dueOperations(kinds ...operationKind) []operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.leases.dueOperations(r.clock.Now())
	if len(kinds) == 0 {
		return all
	}
	var chosen []operation
	for _, op := range all {
		for _, kind := range kinds {
			if op.kind == kind {
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

// applyGuard carries out the decisions of the guard.
func (r *Runner) applyGuard(ctx context.Context) {
	if r.guard == nil {
		return
	}
	r.mu.Lock()
	tasks := make([]GuardTask, 0, len(r.leases.held))
	for _, h := range r.leases.held {
		tasks = append(tasks, GuardTask{
			Allocation: h.alloc, State: h.state, Used: h.usage, UsageAge: h.usageAge, LatencyMillis: h.latency,
			Progress: h.progress, Share: h.share, SinceCheckpoint: r.clock.Now().Sub(h.checkpointAt),
		})
	}
	actions := r.guard.Decide(r.clock.Now(), r.leases.worker, tasks)
	r.mu.Unlock()
	for _, action := range actions {
		r.applyGuardAction(ctx, action)
	}
}

func (r *Runner) applyGuardAction(ctx context.Context, action GuardAction) {
	r.mu.Lock()
	h := r.leases.held[action.AllocationID]
	if h == nil || h.alloc.Kind == structs.KindService || h.state != structs.TaskRunning {
		r.mu.Unlock()
		return
	}
	if action.Evict {
		r.leases.requestStop(structs.TaskStop{
			AllocationID: action.AllocationID, Checkpoint: true, Reason: "guard: " + action.Reason,
		}, r.clock.Now())
	}
	// A share of 0 would suspend the task, which is done only at the end of a lease and before a stop.
	share := max(action.Share, minShare)
	throttle := !action.Evict && share != h.share
	r.mu.Unlock()
	if !throttle {
		return
	}
	if err := r.worker.Throttle(ctx, action.AllocationID, share); err != nil {
		r.log.Warn("throttling the task failed", "allocation", action.AllocationID, "error", err)
		return
	}
	r.mu.Lock()
	h.share = share
	r.mu.Unlock()
}

// minShare is the smallest share of processor time that a guard can limit a task to.
const minShare = 0.01
