// Package requests implements the part of an entry that handles callers' requests and the announcements of agents.
package requests

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/idempotency"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/store"
)

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: "entry.requests", Roles: []kernel.Role{kernel.RoleEntry}, After: []string{"store"},
		New: func() kernel.Module { return &Module{} },
	})
}

// storeProvider is implemented by the store module.
type storeProvider interface{ Store() store.Store }

// Module handles callers' requests and announcements. It implements kernel.Module, kernel.Drainer and kernel.ReadyChecker.
type Module struct {
	settings Settings
	context  *kernel.Context

	table     *routing.Table
	pool      *forward.Pool
	forwarder *forward.Forwarder
	inFlight  *limit.InFlight
	// memory limits the memory of the bodies and responses of the requests in flight.
	memory     *limit.MemoryBudget
	rateLimits rateLimits
	// recorder is nil if the process has no store module; non-idempotent requests are rejected then.
	recorder      *idempotency.Recorder
	metrics       *metrics
	active        activeRequests
	provisionedAt time.Time

	background kernel.Background
}

// Settings returns the settings to be decoded into.
func (m *Module) Settings() any { return &m.settings }

// Provision creates the components that handle requests and registers the routes.
func (m *Module) Provision(c *kernel.Context) error {
	// Ready measures the time from here, because the admin server already answers before Start and the entry must not be
	// ready then.
	m.provisionedAt = time.Now()
	s := m.settings
	m.context = c
	m.metrics = newMetrics(c.Metrics)
	m.table = routing.NewTable(routing.Options{
		Domain: c.Process.FailureDomain, Clock: c.Clock, RemoteDelay: s.RemoteDelay,
		Pacing:         routing.AnnouncePacing{BytesPerSecond: s.AnnounceBytesPerSecond, Min: s.AnnounceMin, Max: s.AnnounceMax},
		FailurePenalty: failurePenalty, DefaultServiceTime: defaultServiceTime,
	})
	m.pool = forward.NewPool(forward.PoolOptions{
		InactivityTimeout: s.Silence, DialTimeout: s.DialTimeout, ProbeEvery: s.ProbeEvery, ProbeTimeout: s.ProbeTimeout,
		IdleTimeout: s.IdleTimeout, MaxPerAddress: s.MaxConnections, MaxIdle: s.MaxIdle, OnProbe: m.observeProbe,
	})
	m.forwarder = forward.New(forward.Options{
		Pool: m.pool, Table: m.table, Budget: limit.NewRetryBudget(s.RetryShare, s.RetryPerSecond),
		Latencies: forward.NewLatencyTracker(s.DefaultHedge), Tracer: c.Tracer, Metrics: c.Metrics, DeadlineMargin: s.Margin,
		Incarnation:    c.Incarnation,
		ResolveTimeout: s.ResolveTimeout, SuspectFor: s.SuspectFor, MinHedge: s.MinHedge, MaxCleanups: maxCleanups,
	})
	m.inFlight = limit.NewInFlight(s.MaxInFlight, s.MaxWaiting, s.MaxWait)
	m.memory = limit.NewMemoryBudget(s.MaxBytes)
	m.memory.ReserveForSmall(s.SmallBytes)
	m.rateLimits = newRateLimits(&s)
	if provider, ok := kernel.Lookup[storeProvider](c, "store"); ok {
		m.recorder = idempotency.NewRecorder(idempotency.Options{
			Store: provider.Store(), Clock: c.Clock, Retention: s.RecordRetention, CallTimeout: s.StoreTimeout,
			WriteRate: limit.NewRateLimiter(s.RecordsPerSecond, max(1, int(s.RecordsPerSecond))),
		})
	}
	// Callers' paths are forwarded unchanged, so the router must not redirect paths with repeated slashes or dots.
	c.Router.SkipClean(true)
	c.Router.HandleFunc("/v1/announce", m.serveAnnounce).Methods(http.MethodPost)
	c.Router.PathPrefix(callerPrefix).HandlerFunc(m.serveCaller)
	return nil
}

const (
	// failurePenalty is added to the score of an upstream whose responses are all errors.
	failurePenalty = time.Second
	// defaultServiceTime is the assumed service time of upstreams that haven't answered a request yet.
	defaultServiceTime = 10 * time.Millisecond
	// maxCleanups limits the concurrent cancellations of abandoned attempts.
	maxCleanups = 64
	// maxReadyDelay is how long a new entry waits for the first announcement before it reports that it is ready. Without
	// this limit, a fleet without upstreams would never have a ready entry for jobs and operators.
	maxReadyDelay = 5 * time.Second
)

// Start starts the probes of idle connections and the updates of the gauges.
func (m *Module) Start(ctx context.Context) error {
	ctx = m.background.Start(ctx)
	m.background.Go(func() { m.pool.RunProbes(ctx) })
	m.background.Go(func() { m.reportGauges(ctx) })
	return nil
}

// Stop ends the background work and closes the connections to agents.
func (m *Module) Stop(context.Context) error {
	m.background.Stop()
	m.forwarder.Wait()
	m.pool.Close()
	return nil
}

// errNoUpstreams is returned by Ready until an agent has announced itself, for at most maxReadyDelay.
var errNoUpstreams = errors.New("no agent has announced itself yet")

// Ready returns an error if callers shouldn't be sent to this entry yet.
func (m *Module) Ready() error {
	if m.table.Agents() == 0 && time.Since(m.provisionedAt) < maxReadyDelay {
		return errNoUpstreams
	}
	return nil
}

// Drain keeps accepting requests for the grace period, then rejects new ones as not run, and returns when the active ones
// have ended.
func (m *Module) Drain(ctx context.Context) error {
	grace := time.NewTimer(m.settings.DrainGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
	m.context.Log.Info("draining, new requests are rejected")
	return m.active.drain(ctx)
}
