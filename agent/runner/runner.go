// Package runner runs allocations on the local worker under leases: it sends heartbeats to the shard's owner, tracks
// the allocations that the worker holds, and starts, renews, suspends and stops their tasks.
package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

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
