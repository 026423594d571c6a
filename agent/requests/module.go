// Package requests implements the agent's side of the request path: it registers upstreams, admits and executes attempts,
// retains their responses and resolves attempts whose outcome an entry doesn't know.
package requests

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Name is the name of the module and of its settings section.
const Name = "agent.requests"

// announcerName is the name of the module that announces changes to the entries.
const announcerName = "agent.announcer"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleAgent}, New: func() kernel.Module { return &Module{} },
	})
}

// Settings holds the keys of the section [agent.requests].
type Settings struct {
	// Queue is the maximum number of waiting requests per service.
	Queue int `ini:"queue" default:"32" min:"0" max:"4096"`
	// MaxSlots and MaxConnections limit the slots and connections with which an upstream may register.
	MaxSlots       int `ini:"max_slots" default:"8" min:"1" max:"1024"`
	MaxConnections int `ini:"max_connections" default:"64" min:"1" max:"65536"`
	// RegistrationLease is how long a registration stays valid without renewal.
	RegistrationLease time.Duration `ini:"registration_lease" default:"6s" min:"100ms" max:"1m"`
	// RunLimit is the maximum run time of a request; after it the request is abandoned and its slot is freed. It exceeds
	// the longest budget, since an upstream that is late still occupies its slot.
	RunLimit time.Duration `ini:"run_limit" default:"90s" min:"100ms" max:"1h"`
	// BodyBytes limits the total size of the request bodies in memory. Requests that would exceed it are refused: 32
	// waiting and 8 running requests of 1 MiB would otherwise take a third of the memory that the control plane may use
	// on a host.
	BodyBytes int64 `ini:"body_bytes" default:"25165824" min:"1048576" max:"1073741824"`
	// ResponseBytes limits the total size of the responses that are being read from upstreams or written to entries.
	// Further responses aren't read from their connections until memory is free. Responses in flight count towards the 32
	// MiB of retained responses. The minimum is twice the size of the longest response.
	ResponseBytes int64 `ini:"response_bytes" default:"16777216" min:"16777216" max:"25165824"`
	// LeaveGrace is how long requests are still accepted after it was announced that an upstream leaves.
	LeaveGrace time.Duration `ini:"leave_grace" default:"500ms" min:"0s" max:"10s"`
	// Linger is how long a drained agent keeps responding after its last request ended, so that an entry whose connection
	// stopped delivering data, which it detects after 1.5 s, can still fetch its response.
	Linger time.Duration `ini:"linger" default:"2500ms" min:"0s" max:"30s"`
}

// smallResponseBytes is further memory for responses up to 16 KiB beside large ones that entries don't take, since their own memory is
// in use by callers that don't read.
const smallResponseBytes = 1 << 20

// announcer is the part of the module agent.announcer that this module uses.
type announcer interface {
	// Changed triggers an announcement to each entry and doesn't wait for it.
	Changed()
	// Publish sends an announcement to each entry and returns after one try for each.
	Publish(ctx context.Context)
}

// Module implements the module agent.requests.
type Module struct {
	settings    Settings
	clock       clock.Clock
	log         hclog.Logger
	tracer      trace.Tracer
	metrics     *metrics
	incarnation string
	attempts    *attemptTracker
	upstreams   *upstreamRegistry
	announcer   announcer
	bodies      *byteBudget
	responses   *limit.MemoryBudget
	draining    chan struct{}
	drainOnce   sync.Once
	stop        context.CancelFunc
	stopped     chan struct{}
}

// Settings returns the struct into which the section [agent.requests] is decoded.
func (m *Module) Settings() any { return &m.settings }

// Provision initializes the module and registers its HTTP routes.
func (m *Module) Provision(c *kernel.Context) error {
	m.clock, m.log, m.tracer, m.incarnation = c.Clock, c.Log.Named(Name), c.Tracer, c.Incarnation
	m.metrics = newMetrics(c.Metrics)
	m.attempts = newAttemptTracker(defaultTableLimits, c.Clock)
	m.upstreams = newUpstreamRegistry(m.settings.Queue, m.settings.RegistrationLease, c.Clock)
	m.bodies = &byteBudget{limit: m.settings.BodyBytes}
	m.responses = limit.NewMemoryBudget(m.settings.ResponseBytes)
	m.responses.ReserveForSmall(smallResponseBytes)
	m.attempts.inFlightBytes = m.responses.Used
	m.draining = make(chan struct{})
	if found, ok := kernel.Lookup[announcer](c, announcerName); ok {
		m.announcer = found
	}
	c.Router.HandleFunc("/v1/requests/{attemptID}", m.serveAttempt).Methods(http.MethodPost)
	c.Router.HandleFunc("/v1/requests/{attemptID}/resolve", m.serveResolve).Methods(http.MethodPost)
	c.Router.HandleFunc("/v1/requests/{attemptID}/answer", m.serveAnswer).Methods(http.MethodGet)
	c.Router.HandleFunc("/v1/ping", m.servePing).Methods(http.MethodGet)
	c.Router.HandleFunc("/v1/upstreams", m.serveRegister).Methods(http.MethodPost)
	c.Router.HandleFunc("/v1/upstreams/{service}", m.serveLeave).Methods(http.MethodDelete)
	return nil
}

// Start starts the goroutine that removes expired registrations and responses.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.stopped = make(chan struct{})
	go m.expireLoop(ctx)
	return nil
}

// expireInterval is how often expired registrations and responses are removed.
const expireInterval = 500 * time.Millisecond

func (m *Module) expireLoop(ctx context.Context) {
	defer close(m.stopped)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.attempts.expire()
		for _, service := range m.upstreams.expire() {
			m.log.Warn("upstream no longer renews its registration", "service", service)
			m.notifyAnnouncer()
		}
		m.updateGauges()
	}
}

func (m *Module) updateGauges() {
	records, answers, bytes := m.attempts.sizes()
	m.metrics.records.Update(float64(records))
	m.metrics.retainedAnswers.Update(float64(answers))
	m.metrics.retainedBytes.Update(float64(bytes))
	m.metrics.responseBytes.Update(float64(m.responses.Used()))
	m.metrics.responsesWaiting.Update(float64(m.responses.Waiting()))
	running, queued := 0, 0
	for _, u := range m.upstreams.list() {
		running, queued = running+u.Running, queued+u.Queued
	}
	m.metrics.running.Update(float64(running))
	m.metrics.queued.Update(float64(queued))
}

// Stop stops the background goroutine and closes the connections to the upstreams.
func (m *Module) Stop(ctx context.Context) error {
	if m.stop == nil {
		return nil
	}
	m.stop()
	m.upstreams.closePools()
	select {
	case <-m.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Upstreams returns the upstreams to announce.
func (m *Module) Upstreams() []structs.Upstream { return m.upstreams.list() }

// Leaving reports whether the agent has begun to drain.
func (m *Module) Leaving() bool {
	select {
	case <-m.draining:
		return true
	default:
		return false
	}
}

func (m *Module) notifyAnnouncer() {
	if m.announcer != nil {
		m.announcer.Changed()
	}
}
