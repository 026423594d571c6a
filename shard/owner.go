// Package shard implements the owner of a shard, which is a group of workers and their jobs. The owner holds a store
// lease, writes the log, answers heartbeats, places tasks and serves job states. The rules are in package lifecycle;
// this package does the I/O.
package shard

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors returned by Owner. Compare with errors.Is.
var (
	// ErrNotOwner means that this process doesn't own the shard.
	ErrNotOwner = errors.New("shard: not the owner")
	// ErrUnknownJob means that the shard has no such job.
	ErrUnknownJob = errors.New("shard: unknown job")
	// ErrBusy means that too many events wait to be written to the store; the request was not accepted.
	ErrBusy = errors.New("shard: too many events wait for the store")
	// ErrFull means that the shard holds as many open tasks as its snapshot can describe; the request was not accepted.
	ErrFull = errors.New("shard: too many open tasks")
)

// FleetConfig provides the fleet-wide configuration to an owner.
type FleetConfig interface {
	// MayStart reports whether tasks may be started in a failure domain now, and if not, why.
	MayStart(domain string) (bool, string)
	// OutOfService reports whether a failure domain is out of service.
	OutOfService(domain string) bool
	// Worker returns the inventory entry of a worker.
	Worker(name string) (structs.Worker, bool)
	// PlacementRules returns the placement rules of the scheduler and the quotas of teams.
	PlacementRules() (scheduler.Rules, quota.Limits)
	// OperatorRules returns the operators' rules, from which the models take their parameters.
	OperatorRules() config.Rules
	// AttachHead adds the configuration head and its proof to a reply; known is the revision that the agent has.
	AttachHead(reply *structs.HeartbeatReply, known int64)
}

// PlanFunc decides on the placement of pending tasks. It must be a pure function.
type PlanFunc func(input scheduler.Snapshot, now time.Time) scheduler.Decisions

// OwnerDirectory maps shards to their known owners.
type OwnerDirectory interface {
	Lookup(shard int) (structs.ShardOwner, bool)
	Publish(owner structs.ShardOwner) bool
}

// Pusher sends starts to an agent immediately. An error is harmless, since the reply to the next heartbeat repeats the
// starts.
type Pusher interface {
	Push(ctx context.Context, address string, request structs.StartRequest) error
}

// Config holds the settings of a shard's owner.
type Config struct {
	Shard   int
	Address string
	// LeaseTTL is the lease period of the owner key in the store.
	LeaseTTL time.Duration
	// KeepAliveEvery is how often the lease is renewed.
	KeepAliveEvery time.Duration
	// CommitEvery is how long events are collected for one log record.
	CommitEvery time.Duration
	// ListEvery is how often the store is searched for accepted jobs.
	ListEvery time.Duration
	// SnapshotEvery is the number of log records between two snapshots.
	SnapshotEvery int64
	Lifecycle     lifecycle.Settings
}

// DefaultConfig returns the default settings for a shard.
func DefaultConfig(shard int, address string) Config {
	return Config{
		Shard: shard, Address: address, LeaseTTL: 3 * time.Second, KeepAliveEvery: time.Second,
		CommitEvery: 200 * time.Millisecond, ListEvery: 2 * time.Second, SnapshotEvery: 64,
		Lifecycle: lifecycle.DefaultSettings(),
	}
}

// Owner is a candidate for the ownership of a shard, and its owner during a term. It is safe for concurrent use.
type Owner struct {
	config Config
	store  store.Store
	clock  clock.Clock
	fleet  FleetConfig
	plan   PlanFunc
	owners OwnerDirectory
	pusher Pusher
	log    hclog.Logger

	// stepMu serializes the steps, resignations and acquisitions, which do I/O.
	stepMu sync.Mutex

	mu   sync.Mutex
	term *term
	// urgent is set if the next step must not wait for the commit interval.
	urgent      bool
	stepDue     chan struct{}
	lastCommit  time.Time
	lastJobList time.Time
	// listingJobs is set while accepted jobs are being listed.
	listingJobs bool
	querier     WorkerQuerier
	// background runs a function concurrently with the steps.
	background func(func())
	// lastQuery is when each worker was last queried; querying is the set of workers with a query in flight.
	lastQuery map[string]time.Time
	querying  map[string]bool
	// jobKeysToDelete holds, by job ID, the log position from which on the job's key can be deleted from the store.
	jobKeysToDelete map[string]int64
}

// NewOwner returns a candidate for a shard.
func NewOwner(config Config, s store.Store, c clock.Clock, fleet FleetConfig, plan PlanFunc, owners OwnerDirectory,
	pusher Pusher, log hclog.Logger,
) *Owner {
	return &Owner{
		config: config, store: s, clock: c, fleet: fleet, plan: plan, owners: owners, pusher: pusher, log: log,
		stepDue: make(chan struct{}, 1), jobKeysToDelete: map[string]int64{}, querier: DirectQuerier{},
		background: func(f func()) { go f() }, lastQuery: map[string]time.Time{}, querying: map[string]bool{},
	}
}

// SetWorkerQuerier replaces the querier for workers whose agents are silent.
func (o *Owner) SetWorkerQuerier(querier WorkerQuerier) { o.querier = querier }

// RunSynchronously makes steps wait for their background calls, so that tests with a manual clock are deterministic.
func (o *Owner) RunSynchronously() { o.background = func(f func()) { f() } }

// Owns returns the epoch of the current term and whether this process owns the shard.
func (o *Owner) Owns() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0, false
	}
	return o.term.machine.Epoch(), true
}

// KeepAlive renews the lease of the owner key. It ends the ownership if the store reports that the lease has expired.
func (o *Owner) KeepAlive(ctx context.Context) error {
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	sent := o.clock.Now()
	err := o.store.KeepAlive(ctx, t.lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		if sent.After(t.provenAt) {
			t.provenAt = sent
		}
	case errors.Is(err, store.ErrLeaseNotFound):
		o.endTerm(t, "the store lease lapsed")
	}
	return err
}

// endTerm ends a term. The caller must hold o.mu.
func (o *Owner) endTerm(t *term, reason string) {
	if t.ended {
		return
	}
	t.ended = true
	t.signal()
	if o.term == t {
		o.term = nil
	}
	o.log.Info("shard ownership ended", "shard", o.config.Shard, "epoch", t.machine.Epoch(), "reason", reason)
}

// Resign ends the ownership and releases the owner key, so that another candidate can take over without waiting.
func (o *Owner) Resign(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	o.mu.Lock()
	t := o.term
	if t != nil {
		o.endTerm(t, "resigned")
	}
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	// Replies still in flight renew leases from heartbeats that were sent before this record.
	if record := t.resignation(o.clock.Now()); record != nil {
		raw, err := json.Marshal(record)
		if err != nil {
			return eris.Wrap(err, "encoding the resignation")
		}
		if err := appendRecord(ctx, o.store, o.config.Shard, *record, raw); err != nil {
			o.log.Warn("resignation was not written to the log", "shard", o.config.Shard, "error", err)
		}
	}
	if err := o.store.Revoke(ctx, t.lease); err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
		return eris.Wrap(err, "revoking the lease")
	}
	return nil
}

// Counters returns the counters of the current term; it returns false if this process isn't the owner.
func (o *Owner) Counters() (lifecycle.Counters, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return lifecycle.Counters{}, false
	}
	return o.term.machine.Counters(), true
}
