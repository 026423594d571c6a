package runner

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/shard/partition"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// Name is the name of the module and of its settings section.
const Name = "agent.runner"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleAgent},
		After: append(slices.Clone(shard.DependencyModules), requestsName),
		New:   func() kernel.Module { return &Module{} },
	})
}

// ModuleSettings is the section [agent.runner].
type ModuleSettings struct {
	// Worker is the name of the worker in the inventory; by default the process's name.
	Worker string `ini:"worker" default:""`
	// WorkerAddress is that of the worker's task API.
	WorkerAddress   netip.AddrPort `ini:"worker_address"`
	Rack            string         `ini:"rack" default:""`
	MilliCores      int64          `ini:"milli_cores" default:"16000" min:"1"`
	MemoryMB        int64          `ini:"memory_mb" default:"60000" min:"1"`
	Accelerators    int64          `ini:"accelerators" default:"0" min:"0"`
	AcceleratorKind string         `ini:"accelerator_kind" default:""`
	// HeartbeatEvery is a quarter of the task lease, so that three heartbeats may be lost.
	HeartbeatEvery time.Duration `ini:"heartbeat_interval" default:"1s" min:"50ms" max:"2s"`
	TickEvery      time.Duration `ini:"tick_interval" default:"250ms" min:"20ms" max:"1s"`
	// DrainReserve is the part of the drain limit that is kept for stopping what the owner hasn't moved.
	DrainReserve time.Duration `ini:"drain_reserve" default:"10s" min:"100ms" max:"5m"`
}

// requestsName is the module that measures the upstreams, if the process runs it.
const requestsName = "agent.requests"

type latencySource interface {
	ServiceLatencies() []structs.ServiceLatency
}

// Module runs the allocations of a worker.
type Module struct {
	settings  ModuleSettings
	context   *kernel.Context
	clock     clock.Clock
	log       hclog.Logger
	scope     tally.Scope
	follower  *config.Follower
	client    *shard.Client
	worker    *worker.Client
	runner    atomic.Pointer[Runner]
	guard     Guard
	services  func() []structs.ServiceLatency
	lastReply atomic.Pointer[time.Time]
	stop      context.CancelFunc
	done      sync.WaitGroup
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// SetGuard replaces the guard of the rules. It is called before the module is provisioned.
func (m *Module) SetGuard(g Guard) { m.guard = g }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	m.context, m.clock, m.log = c, c.Clock, c.Log.Named("runner")
	m.scope = c.Metrics.SubScope("runner")
	connections, err := shard.ResolveDependencies(c)
	if err != nil {
		return err
	}
	if m.settings.Worker == "" {
		m.settings.Worker = c.Process.Name
	}
	m.follower = connections.Follower
	m.client = shard.NewClient(connections.Owners, connections.Store, c.Clock)
	m.worker = worker.NewClient(m.settings.WorkerAddress, 0)
	m.services = func() []structs.ServiceLatency { return nil }
	if measured, ok := kernel.Lookup[latencySource](c, requestsName); ok {
		m.services = measured.ServiceLatencies
	}
	if m.guard == nil {
		m.guard = NewRulesGuard(m.follower.Rules, m.services)
	}
	c.Router.HandleFunc("/v1/allocations", m.serveStart).Methods(http.MethodPost)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.done.Go(func() { m.run(ctx) })
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	if m.stop != nil {
		m.stop()
	}
	m.done.Wait()
	m.worker.Close()
	return nil
}

// LastReply returns when the owner of the shard last answered a heartbeat, or the zero time.
func (m *Module) LastReply() time.Time {
	if at := m.lastReply.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (m *Module) run(ctx context.Context) {
	for m.follower.Loaded().Head.Revision == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.TickEvery):
		}
	}
	rules := m.follower.Rules()
	settings := DefaultSettings()
	settings.Lease, settings.OwnerValidity = rules.TaskLease, rules.OwnerValidity
	w := structs.Worker{
		Name: m.settings.Worker, FailureDomain: m.context.Process.FailureDomain, Rack: m.settings.Rack,
		Address: m.context.Process.PeerAddress().String(), AcceleratorKind: m.settings.AcceleratorKind,
		Capacity: structs.Resources{
			MilliCores: m.settings.MilliCores, MemoryMB: m.settings.MemoryMB, Accelerators: m.settings.Accelerators,
		},
	}
	ledger := NewLedger(settings, w, partition.WorkerShard(w.Name, rules.Shards), m.context.Incarnation, m.context.StartedUnixNano)
	r := New(ledger, m.worker, m.clock, followed{m.follower}, m.client, m.guard, m.log)
	r.services = m.services
	m.runner.Store(r)
	m.done.Go(func() { m.beat(ctx, r) })
	m.tick(ctx, r)
}

// tick keeps the worker in line with the ledger.
func (m *Module) tick(ctx context.Context, r *Runner) {
	ticker := time.NewTicker(m.settings.TickEvery)
	defer ticker.Stop()
	for {
		if err := r.Tick(ctx); err != nil && ctx.Err() == nil {
			m.scope.Counter("worker_failures").Inc(1)
			m.log.Debug("worker call failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.Kicked():
		}
	}
}

// beat sends heartbeats. One that takes long delays the next, since a slow owner must not get more of them.
func (m *Module) beat(ctx context.Context, r *Runner) {
	ticker := time.NewTicker(m.settings.HeartbeatEvery)
	defer ticker.Stop()
	for {
		if err := r.Beat(ctx); err != nil {
			m.scope.Counter("heartbeat_failures").Inc(1)
			m.log.Debug("heartbeat failed", "error", err)
			if errors.Is(err, shard.ErrNotOwner) {
				// The owner has resigned or lost its validity, so a candidate need not wait for its silence.
				m.lastReply.Store(nil)
			}
		} else {
			now := m.clock.Now()
			m.lastReply.Store(&now)
		}
		// Results go early, but not more often than every minBeat.
		select {
		case <-ctx.Done():
			return
		case <-time.After(minBeat):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.ResultWaiting():
		}
	}
}

// minBeat is the least time between two heartbeats of a worker.
const minBeat = 250 * time.Millisecond

// Drain has the owner move all work, and stops what is left shortly before the limit. It returns when nothing is held
// and every result has been acknowledged, or when ctx ends.
func (m *Module) Drain(ctx context.Context) error {
	r := m.runner.Load()
	if r == nil {
		return nil
	}
	r.Drain()
	reserve := time.Now().Add(time.Hour)
	if deadline, ok := ctx.Deadline(); ok {
		reserve = deadline.Add(-m.settings.DrainReserve)
	}
	evicted := false
	for !r.Idle() {
		if !evicted && time.Now().After(reserve) {
			evicted = true
			r.EvictAll("the agent is stopping")
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "work is left on the worker")
		case <-time.After(m.settings.TickEvery):
		}
	}
	return nil
}

// maxStartBytes bounds a start request.
const maxStartBytes = 1 << 20

func (m *Module) serveStart(w http.ResponseWriter, request *http.Request) {
	var body structs.StartRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxStartBytes)).Decode(&body); err != nil {
		kernel.WriteJSON(w, http.StatusBadRequest, shard.ErrorResponse{Error: err.Error()})
		return
	}
	r := m.runner.Load()
	if r == nil {
		kernel.WriteJSON(w, http.StatusConflict, shard.ErrorResponse{Error: ErrOutdated.Error()})
		return
	}
	if err := r.Push(body); err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, ErrOutdated) {
			status = http.StatusConflict
		}
		kernel.WriteJSON(w, status, shard.ErrorResponse{Error: err.Error()})
		return
	}
	kernel.WriteJSON(w, http.StatusAccepted, struct{}{})
}

// followed is the configuration that the process follows.
type followed struct{ *config.Follower }

// Relay implements Configuration. A head or proof that can't be right is ignored.
func (f followed) Relay(reply structs.HeartbeatReply, sent time.Time) {
	proof := config.FreshnessProof{Revision: reply.HeadRevision, AgeMillis: reply.ConfirmedMillis}
	if len(reply.Head) > 0 {
		head, err := config.DecodeHead(reply.Head)
		if err != nil {
			return
		}
		proof.Head = &head
	}
	_ = f.ObserveProof(proof, sent)
}
