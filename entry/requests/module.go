// Package requests is the part of an entry that answers callers' requests and takes the announcements of agents.
package requests

import (
	"context"
	"errors"
	"net/http"
	"sync"
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

// storeModule is what this module needs of the module "store".
type storeModule interface{ Store() store.Store }

// Module answers callers. It implements kernel.Module, kernel.Drainer and kernel.ReadyChecker.
type Module struct {
	settings Settings
	context  *kernel.Context

	table     *routing.Table
	pool      *forward.Pool
	forwarder *forward.Forwarder
	inFlight  *limit.InFlight
	// memory bounds the bodies and responses of the requests in flight.
	memory *limit.Bytes
	rates  rates
	// ledger is nil when the process runs no store module; non-idempotent requests are then rejected.
	ledger  *idempotency.Ledger
	metrics *metrics
	active  activity
	started time.Time

	stop       context.CancelFunc
	background sync.WaitGroup
}

// Settings returns the settings to fill.
func (m *Module) Settings() any { return &m.settings }

// Provision builds the request path and adds the routes.
func (m *Module) Provision(c *kernel.Context) error {
	// The admin server answers before Start, and an entry without upstreams must not be ready then.
	m.started = time.Now()
	s := m.settings
	m.context = c
	m.metrics = newMetrics(c.Metrics)
	m.table = routing.NewTable(routing.Options{
		Domain: c.Process.FailureDomain, Clock: c.Clock, RemoteDelay: s.RemoteDelay,
		Pace:           routing.Pace{BytesPerSecond: s.AnnounceBytesPerSecond, Min: s.AnnounceMin, Max: s.AnnounceMax},
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
	m.memory = limit.NewBytes(s.MaxBytes)
	m.rates = newRates(&s)
	if provider, ok := kernel.Lookup[storeModule](c, "store"); ok {
		m.ledger = idempotency.NewLedger(idempotency.Options{
			Store: provider.Store(), Clock: c.Clock, Retention: s.RecordRetention, CallTimeout: s.StoreTimeout,
			Writes: limit.NewRate(s.RecordsPerSecond, max(1, int(s.RecordsPerSecond))),
		})
	}
	// Callers' paths are passed on unchanged, so the router must not redirect paths with repeated slashes or dots.
	c.Router.SkipClean(true)
	c.Router.HandleFunc("/v1/announce", m.serveAnnounce).Methods(http.MethodPost)
	c.Router.PathPrefix(callerPrefix).HandlerFunc(m.serveCaller)
	return nil
}

const (
	// failurePenalty is the score, as a delay, of an upstream whose responses are all errors.
	failurePenalty = time.Second
	// defaultServiceTime is assumed of upstreams that have answered no request yet.
	defaultServiceTime = 10 * time.Millisecond
	// maxCleanups bounds the concurrent cancellations of abandoned attempts.
	maxCleanups = 64
	// readyAfter is how long a new entry waits for the first announcement before it reports that it is ready. Without a
	// bound, a fleet without upstreams would have no entry for jobs and operators.
	readyAfter = 5 * time.Second
)

// Start begins to probe connections.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.background.Go(func() { m.pool.RunProbes(ctx) })
	m.background.Go(func() { m.reportGauges(ctx) })
	return nil
}

// Stop ends background work.
func (m *Module) Stop(context.Context) error {
	m.stop()
	m.background.Wait()
	m.forwarder.Wait()
	m.pool.Close()
	return nil
}

// errNoUpstreams delays readiness until agents had time to announce themselves.
var errNoUpstreams = errors.New("no agent has announced itself yet")

// Ready reports whether callers may be sent here.
func (m *Module) Ready() error {
	if m.table.Agents() == 0 && time.Since(m.started) < readyAfter {
		return errNoUpstreams
	}
	return nil
}

// Drain keeps taking requests for the grace period, then rejects new ones as not run, and returns when those under way
// have ended.
func (m *Module) Drain(ctx context.Context) error {
	grace := time.NewTimer(m.settings.DrainGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
	}
	m.context.Log.Info("requests are rejected from now on")
	return m.active.drain(ctx)
}
