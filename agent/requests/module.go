// Package requests runs the agent's side of the request path: admission, attempts, resolution, retained responses and the
// registration of upstreams.
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

// ModuleName is the name of the module and of its settings section.
const ModuleName = "agent.requests"

// announcerName is the module that tells entries of changes.
const announcerName = "agent.announcer"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: ModuleName, Roles: []kernel.Role{kernel.RoleAgent}, New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the section [agent.requests].
type Settings struct {
	// Queue is the number of requests that wait per service.
	Queue int `ini:"queue" default:"32" min:"0" max:"4096"`
	// MaxSlots and MaxConnections bound what an upstream may announce.
	MaxSlots       int `ini:"max_slots" default:"8" min:"1" max:"1024"`
	MaxConnections int `ini:"max_connections" default:"64" min:"1" max:"65536"`
	// RegistrationLease is how long a registration lasts without renewal.
	RegistrationLease time.Duration `ini:"registration_lease" default:"6s" min:"100ms" max:"1m"`
	// RunLimit is when a running request is given up and its slot is used again. It exceeds the longest budget, since an
	// upstream that is late still occupies its slot.
	RunLimit time.Duration `ini:"run_limit" default:"90s" min:"100ms" max:"1h"`
	// BodyBytes bounds the request bodies that the agent holds. Requests beyond it are refused: 32 waiting and 8 running
	// requests of 1 MiB would otherwise take a third of the memory that the control plane may use on a host.
	BodyBytes int64 `ini:"body_bytes" default:"25165824" min:"1048576" max:"1073741824"`
	// ResponseBytes bounds the responses that are read from upstreams or written to entries. Further ones wait in their
	// connections. They count towards the 32 MiB of retained responses. The least value is twice the longest response.
	ResponseBytes int64 `ini:"response_bytes" default:"16777216" min:"16777216" max:"25165824"`
	// LeaveGrace is how long requests are still accepted after entries were told of a leaving upstream.
	LeaveGrace time.Duration `ini:"leave_grace" default:"500ms" min:"0s" max:"10s"`
	// Linger is how long a drained agent keeps responding after its last request ended, so that an entry whose connection
	// went silent (noticed after 1.5 s) can still fetch its response.
	Linger time.Duration `ini:"linger" default:"2500ms" min:"0s" max:"30s"`
}

// announcer is what this module needs of the module agent.announcer.
type announcer interface {
	// Changed sends an announcement to each entry soon.
	Changed()
	// Publish sends an announcement to each entry and returns when each was tried once.
	Publish(ctx context.Context)
}

// Module is the module agent.requests.
type Module struct {
	settings    Settings
	clock       clock.Clock
	log         hclog.Logger
	tracer      trace.Tracer
	metrics     *metrics
	incarnation string
	ledger      *ledger
	upstreams   *directory
	announcer   announcer
	bodies      *byteBudget
	responses   *limit.MemoryBudget
	draining    chan struct{}
	drainOnce   sync.Once
	stop        context.CancelFunc
	stopped     chan struct{}
}

// Settings returns the target of the section [agent.requests].
func (m *Module) Settings() any { return &m.settings }

// Provision adds the routes.
func (m *Module) Provision(c *kernel.Context) error {
	m.clock, m.log, m.tracer, m.incarnation = c.Clock, c.Log.Named(ModuleName), c.Tracer, c.Incarnation
	m.metrics = newMetrics(c.Metrics)
	m.ledger = newLedger(defaultTableLimits, c.Clock)
	m.upstreams = newDirectory(m.settings.Queue, m.settings.RegistrationLease, c.Clock)
	m.bodies = &byteBudget{limit: m.settings.BodyBytes}
	m.responses = limit.NewMemoryBudget(m.settings.ResponseBytes)
	m.ledger.passing = m.responses.Used
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

// Start begins the removal of expired registrations and responses.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.stopped = make(chan struct{})
	go m.expireLoop(ctx)
	return nil
}

// expireInterval is how often registrations and responses are checked for their age.
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
		m.ledger.expire()
		for _, service := range m.upstreams.expire() {
			m.log.Warn("upstream no longer renews its registration", "service", service)
			m.changed()
		}
		m.gauge()
	}
}

func (m *Module) gauge() {
	records, answers, bytes := m.ledger.sizes()
	m.metrics.records.Update(float64(records))
	m.metrics.answers.Update(float64(answers))
	m.metrics.bytes.Update(float64(bytes))
	m.metrics.responseBytes.Update(float64(m.responses.Used()))
	m.metrics.responsesWaiting.Update(float64(m.responses.Waiting()))
	running, queued := 0, 0
	for _, u := range m.upstreams.list() {
		running, queued = running+u.Running, queued+u.Queued
	}
	m.metrics.running.Update(float64(running))
	m.metrics.queued.Update(float64(queued))
}

// Stop ends background work and closes the connections to the upstreams.
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

// Leaving tells whether the agent leaves.
func (m *Module) Leaving() bool {
	select {
	case <-m.draining:
		return true
	default:
		return false
	}
}

func (m *Module) changed() {
	if m.announcer != nil {
		m.announcer.Changed()
	}
}
