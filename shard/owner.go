// Package shard owns a group of workers and their jobs: it keeps the ownership under a store lease, writes the log,
// answers heartbeats, places tasks and serves the state of jobs. The rules are in package lifecycle; this package does
// the I/O around them.
package shard

import (
	"context"
	"crypto/rand"
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

// Errors of an owner. Callers compare with errors.Is.
var (
	// ErrNotOwner means that this process doesn't own the shard.
	ErrNotOwner = errors.New("shard: not the owner")
	// ErrUnknownJob means that the shard has no such job.
	ErrUnknownJob = errors.New("shard: unknown job")
	// ErrBusy means that too many events wait for the store; nothing was taken.
	ErrBusy = errors.New("shard: too many events wait for the store")
	// ErrFull means that the shard holds as many open tasks as its snapshot can describe; nothing was taken.
	ErrFull = errors.New("shard: too many open tasks")
)

// Configuration tells an owner what the rest of the fleet agreed on.
type Configuration interface {
	// MayStart tells whether a start in a failure domain is allowed now.
	MayStart(domain string) (bool, string)
	// Out tells whether a failure domain is out of service.
	Out(domain string) bool
	// Worker returns what the inventory says of a worker.
	Worker(name string) (structs.Worker, bool)
	// Rules returns the rules of placement and the quotas of teams.
	Rules() (scheduler.Rules, quota.Limits)
	// Policy returns the operators' rules, from which the models take their parameters.
	Policy() config.Rules
	// Attach adds the configuration head and its proof to a reply; known is the revision that the agent holds.
	Attach(reply *structs.HeartbeatReply, known int64)
}

// PlanFunc places pending tasks. It is pure.
type PlanFunc func(input scheduler.Snapshot, now time.Time) scheduler.Decisions

// Directory knows the owners of shards.
type Directory interface {
	Lookup(shard int) (structs.ShardOwner, bool)
	Publish(owner structs.ShardOwner) bool
}

// Pusher sends starts to an agent at once. An error is harmless, since the next heartbeat repeats the starts.
type Pusher interface {
	Push(ctx context.Context, address string, request structs.StartRequest) error
}

// Config describes one shard and the periods of its owner.
type Config struct {
	Shard   int
	Name    string
	Address string
	// LeaseTTL is that of the owner key in the store.
	LeaseTTL time.Duration
	// KeepAliveEvery is how often the lease is renewed.
	KeepAliveEvery time.Duration
	// CommitEvery is how long events are collected for one record.
	CommitEvery time.Duration
	// ListEvery is how often accepted jobs are looked up in the store.
	ListEvery time.Duration
	// SnapshotEvery is a number of records.
	SnapshotEvery int64
	Lifecycle     lifecycle.Settings
}

// DefaultConfig returns the periods of the design for a shard.
func DefaultConfig(shard int, name, address string) Config {
	return Config{
		Shard: shard, Name: name, Address: address, LeaseTTL: 3 * time.Second, KeepAliveEvery: time.Second,
		CommitEvery: 200 * time.Millisecond, ListEvery: 2 * time.Second, SnapshotEvery: 64,
		Lifecycle: lifecycle.DefaultSettings(),
	}
}

// Owner is a candidate for the ownership of a shard, and its owner while a term lasts. It is safe for concurrent use.
type Owner struct {
	config  Config
	store   store.Store
	clock   clock.Clock
	settled Configuration
	plan    PlanFunc
	owners  Directory
	pusher  Pusher
	log     hclog.Logger

	// stepMu lets one step at a time do I/O.
	stepMu sync.Mutex

	mu   sync.Mutex
	term *term
	// urgent is set when the next step must not wait for the commit interval.
	urgent     bool
	kick       chan struct{}
	lastCommit time.Time
	lastList   time.Time
	// listing is set while the accepted jobs are being listed.
	listing  bool
	inquirer Inquirer
	// background runs calls beside the steps.
	background func(func())
	// asked is when each worker was last asked for its tasks, asking holds those whose answers are on their way.
	asked  map[string]time.Time
	asking map[string]bool
	// arrived holds the jobs whose keys are deleted from the store once they are in the log.
	arrived map[string]int64
}

// NewOwner returns a candidate for a shard.
func NewOwner(config Config, s store.Store, c clock.Clock, settled Configuration, plan PlanFunc, owners Directory,
	pusher Pusher, log hclog.Logger,
) *Owner {
	return &Owner{
		config: config, store: s, clock: c, settled: settled, plan: plan, owners: owners, pusher: pusher, log: log,
		kick: make(chan struct{}, 1), arrived: map[string]int64{}, inquirer: WorkerInquirer{},
		background: func(f func()) { go f() }, asked: map[string]time.Time{}, asking: map[string]bool{},
	}
}

// AskThrough replaces the way to workers whose agents are silent.
func (o *Owner) AskThrough(i Inquirer) { o.inquirer = i }

// InOneGoroutine lets steps wait for the calls that are otherwise made beside them, so that their order is that of an
// injected clock.
func (o *Owner) InOneGoroutine() { o.background = func(f func()) { f() } }

// Owns tells whether this process owns the shard, and under which epoch.
func (o *Owner) Owns() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0, false
	}
	return o.term.machine.Epoch(), true
}

// KeepAlive renews the lease of the owner key. The ownership ends when the store says that the lease has lapsed.
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
		if sent.After(t.proof) {
			t.proof = sent
		}
	case errors.Is(err, store.ErrLeaseNotFound):
		o.end(t, "the store lease lapsed")
	}
	return err
}

// end ends a term; o.mu is held.
func (o *Owner) end(t *term, reason string) {
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

// Resign ends the ownership and frees the owner key, so that another candidate takes over without waiting.
func (o *Owner) Resign(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	o.mu.Lock()
	t := o.term
	if t != nil {
		o.end(t, "resigned")
	}
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	// Replies that are on their way renew leases by a heartbeat that was sent before this record.
	if record := t.resignation(o.clock.Now()); record != nil {
		raw, err := json.Marshal(record)
		if err != nil {
			return eris.Wrap(err, "encoding the resignation")
		}
		if err := appendRecord(ctx, o.store, o.config.Shard, *record, raw); err != nil {
			o.log.Warn("resignation is not in the log", "shard", o.config.Shard, "error", err)
		}
	}
	if err := o.store.Revoke(ctx, t.lease); err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
		return eris.Wrap(err, "revoking the lease")
	}
	return nil
}

// Acquire tries to become the owner once. It returns nil when another process owns the shard.
func (o *Owner) Acquire(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	if _, owns := o.Owns(); owns {
		return nil
	}
	entry, err := o.store.Get(ctx, ownerKey(o.config.Shard))
	if err == nil {
		o.learn(entry)
		return nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return eris.Wrap(err, "reading the owner")
	}
	id := rand.Text()
	lease, err := o.store.Grant(ctx, o.config.LeaseTTL)
	if err != nil {
		return eris.Wrap(err, "granting a lease")
	}
	proof := o.clock.Now()
	revision, err := o.claim(ctx, id, lease)
	if err != nil || revision == 0 {
		_ = o.store.Revoke(ctx, lease)
		return err
	}
	t, err := o.begin(ctx, id, lease, proof)
	if err != nil {
		_ = o.store.Revoke(ctx, lease)
		return err
	}
	o.install(t)
	// The epoch in the owner key tells agents without gossip where to send heartbeats; a failure only delays that.
	raw, err := json.Marshal(ownerValue{Term: id, Address: o.config.Address, Epoch: t.machine.Epoch()})
	if err != nil {
		return eris.Wrap(err, "encoding the owner")
	}
	_, err = o.store.Put(ctx, ownerKey(o.config.Shard), raw, store.PutOptions{IfRevision: revision, Lease: lease})
	return eris.Wrap(err, "publishing the epoch")
}

// learn tells the directory about the owner that the store names.
func (o *Owner) learn(entry store.Entry) {
	var value ownerValue
	if json.Unmarshal(entry.Value, &value) == nil && value.Epoch > 0 {
		o.owners.Publish(structs.ShardOwner{Shard: o.config.Shard, Epoch: value.Epoch, Address: value.Address})
	}
}

// claim creates the owner key and returns its revision, or 0 when another process has it. A lost response is resolved
// by reading back.
func (o *Owner) claim(ctx context.Context, id string, lease store.LeaseID) (int64, error) {
	raw, err := json.Marshal(ownerValue{Term: id, Address: o.config.Address})
	if err != nil {
		return 0, eris.Wrap(err, "encoding the owner")
	}
	entry, err := o.store.Put(ctx, ownerKey(o.config.Shard), raw, store.PutOptions{Lease: lease})
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	if errors.Is(err, store.ErrUnknownResult) {
		entry, readErr := o.store.Get(ctx, ownerKey(o.config.Shard))
		if readErr != nil {
			return 0, eris.Wrap(err, "claiming the shard")
		}
		var value ownerValue
		if json.Unmarshal(entry.Value, &value) == nil && value.Term == id {
			return entry.Revision, nil
		}
		return 0, nil
	}
	return entry.Revision, eris.Wrap(err, "claiming the shard")
}

func (o *Owner) install(t *term) {
	o.mu.Lock()
	o.term = t
	o.arrived = map[string]int64{}
	o.asked = map[string]time.Time{}
	o.lastList, o.lastCommit = time.Time{}, time.Time{}
	o.mu.Unlock()
	epoch := t.machine.Epoch()
	o.owners.Publish(structs.ShardOwner{Shard: o.config.Shard, Epoch: epoch, Address: o.config.Address})
	o.log.Info("shard ownership began", "shard", o.config.Shard, "epoch", epoch, "jobs", len(t.machine.State().Jobs))
}

// Counters returns what the present ownership has done.
func (o *Owner) Counters() (lifecycle.Counters, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return lifecycle.Counters{}, false
	}
	return o.term.machine.Counters(), true
}
