package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/ingress"
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
		After: append(slices.Clone(shard.DependencyModules), requestsModule),
		New:   func() kernel.Module { return &Module{} },
	})
}

// ModuleSettings is the section [agent.runner].
type ModuleSettings struct {
	// Worker is the name of the worker in the inventory; by default the process's name.
	Worker string `ini:"worker" default:""`
	// WorkerAddress is the address of the worker's task API.
	WorkerAddress   netip.AddrPort `ini:"worker_address"`
	Rack            string         `ini:"rack" default:""`
	MilliCores      int64          `ini:"milli_cores" default:"16000" min:"1"`
	MemoryMB        int64          `ini:"memory_mb" default:"60000" min:"1"`
	Accelerators    int64          `ini:"accelerators" default:"0" min:"0"`
	AcceleratorKind string         `ini:"accelerator_kind" default:""`
	// HeartbeatInterval is a quarter of the task lease by default, so that three consecutive heartbeats may be lost.
	HeartbeatInterval time.Duration `ini:"heartbeat_interval" default:"1s" min:"50ms" max:"2s"`
	TickInterval      time.Duration `ini:"tick_interval" default:"250ms" min:"20ms" max:"1s"`
	// DrainReserve is the last part of the drain limit, in which tasks that the owner hasn't moved are stopped.
	DrainReserve time.Duration `ini:"drain_reserve" default:"10s" min:"100ms" max:"5m"`
}

// requestsModule is the name of the optional module that measures the latencies of the upstreams.
const requestsModule = "agent.requests"

type latencySource interface {
	ServiceLatencies() []structs.ServiceLatency
}

// Module runs the allocations of a worker.
type Module struct {
	settings   ModuleSettings
	context    *kernel.Context
	clock      clock.Clock
	log        hclog.Logger
	scope      tally.Scope
	follower   *config.Follower
	client     *shard.Client
	worker     *worker.Client
	runner     atomic.Pointer[Runner]
	guard      Guard
	latencies  func() []structs.ServiceLatency
	lastReply  atomic.Pointer[time.Time]
	background kernel.Background
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// SetGuard replaces the default guard. It must be called before Provision.
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
	m.latencies = func() []structs.ServiceLatency { return nil }
	if measured, ok := kernel.Lookup[latencySource](c, requestsModule); ok {
		m.latencies = measured.ServiceLatencies
	}
	if m.guard == nil {
		m.guard = NewRulesGuard(m.follower.Rules, m.latencies)
	}
	c.Router.HandleFunc("/v1/allocations", m.serveStart).Methods(http.MethodPost)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx = m.background.Start(ctx)
	m.background.Go(func() { m.run(ctx) })
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	m.background.Stop()
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
		case <-time.After(m.settings.TickInterval):
		}
	}
	rules := m.follower.Rules()
	settings := DefaultSettings()
	settings.BatchLease, settings.OwnerValidity = rules.TaskLease, rules.OwnerValidity
	w := structs.Worker{
		Name: m.settings.Worker, FailureDomain: m.context.Process.FailureDomain, Rack: m.settings.Rack,
		Address: m.context.Process.PeerAddress().String(), AcceleratorKind: m.settings.AcceleratorKind,
		Capacity: structs.Resources{
			MilliCores: m.settings.MilliCores, MemoryMB: m.settings.MemoryMB, Accelerators: m.settings.Accelerators,
		},
	}
	leases := NewLeaseTable(settings, w, partition.WorkerShard(w.Name, rules.Shards), m.context.Incarnation, m.context.StartedUnixNano)
	r := New(leases, m.worker, m.clock, followerConfiguration{m.follower}, m.client, m.guard, m.log)
	r.latencies = m.latencies
	m.runner.Store(r)
	m.background.Go(func() { m.heartbeatLoop(ctx, r) })
	m.reconcileLoop(ctx, r)
}

// reconcileLoop reconciles the worker at intervals and on request, until ctx ends.
func (m *Module) reconcileLoop(ctx context.Context, r *Runner) {
	ticker := time.NewTicker(m.settings.TickInterval)
	defer ticker.Stop()
	for {
		if err := r.Reconcile(ctx); err != nil && ctx.Err() == nil {
			m.scope.Counter("worker_failures").Inc(1)
			m.log.Debug("worker call failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.ReconcileRequested():
		}
	}
}

// heartbeatLoop sends heartbeats until ctx ends. A slow call delays the next heartbeat, so that a slow owner doesn't
// get additional load.
func (m *Module) heartbeatLoop(ctx context.Context, r *Runner) {
	ticker := time.NewTicker(m.settings.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if err := r.SendHeartbeat(ctx); err != nil {
			m.scope.Counter("heartbeat_failures").Inc(1)
			m.log.Debug("heartbeat failed", "error", err)
			if errors.Is(err, shard.ErrNotOwner) {
				// The owner has resigned or lost its validity, so a candidate needn't wait until it counts as
				// unresponsive.
				m.lastReply.Store(nil)
			}
		} else {
			now := m.clock.Now()
			m.lastReply.Store(&now)
		}
		// A waiting result triggers the next heartbeat early, but not before minHeartbeatInterval has passed.
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHeartbeatInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.ResultWaiting():
		}
	}
}

// minHeartbeatInterval is the minimum time between two heartbeats of a worker.
const minHeartbeatInterval = 250 * time.Millisecond

// Drain asks the owner to move all tasks, and stops the remaining ones DrainReserve before the deadline of ctx. It
// returns when nothing is held and every result has been acknowledged, or when ctx ends.
func (m *Module) Drain(ctx context.Context) error {
	r := m.runner.Load()
	if r == nil {
		return nil
	}
	r.Drain()
	evictAt := time.Now().Add(time.Hour)
	if deadline, ok := ctx.Deadline(); ok {
		evictAt = deadline.Add(-m.settings.DrainReserve)
	}
	evicted := false
	for !r.Idle() {
		if !evicted && time.Now().After(evictAt) {
			evicted = true
			r.EvictAll("the agent is stopping")
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "draining: allocations or unacknowledged results remain")
		case <-time.After(m.settings.TickInterval):
		}
	}
	return nil
}

// maxStartBytes is the maximum size of a start request.
const maxStartBytes = 1 << 20

func (m *Module) serveStart(w http.ResponseWriter, request *http.Request) {
	var body structs.StartRequest
	raw, err := ingress.ReadBody(w, request, maxStartBytes)
	if err == nil {
		err = ingress.ChargeJSON(request, raw)
	}
	if ingress.WriteError(w, err) {
		return
	}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(raw)).Decode(&body)
	}
	if err != nil {
		kernel.WriteJSON(w, http.StatusBadRequest, shard.ErrorResponse{Error: err.Error()})
		return
	}
	r := m.runner.Load()
	if r == nil {
		kernel.WriteJSON(w, http.StatusConflict, shard.ErrorResponse{Error: ErrOutdated.Error()})
		return
	}
	if err := r.HandleStartRequest(body); err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, ErrOutdated) {
			status = http.StatusConflict
		}
		kernel.WriteJSON(w, status, shard.ErrorResponse{Error: err.Error()})
		return
	}
	kernel.WriteJSON(w, http.StatusAccepted, struct{}{})
}

// followerConfiguration implements Configuration with the configuration follower of the process.
type followerConfiguration struct{ *config.Follower }

// Relay implements Configuration. Invalid heads and proofs are ignored.
func (f followerConfiguration) Relay(reply structs.HeartbeatReply, sent time.Time) {
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
