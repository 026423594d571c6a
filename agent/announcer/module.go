// Package announcer tells the entries which upstreams the agent serves.
package announcer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

// ModuleName is the name of the module and of its settings section.
const ModuleName = "agent.announcer"

const (
	requestsName = "agent.requests"
	configName   = "config"
)

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: ModuleName, Roles: []kernel.Role{kernel.RoleAgent}, After: []string{configName, requestsName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the section [agent.announcer].
type Settings struct {
	// Entries are the addresses of the entries.
	Entries []netip.AddrPort `ini:"entries"`
	// Address is where entries reach this agent; the address that the process advertises when empty.
	Address netip.AddrPort `ini:"address" default:""`
	// Interval is the time between announcements to an entry that hasn't asked for another one.
	Interval time.Duration `ini:"interval" default:"1s" min:"50ms" max:"10s"`
	// Timeout bounds one announcement.
	Timeout time.Duration `ini:"timeout" default:"1s" min:"50ms" max:"10s"`
}

// upstreamSource is what this module needs of the module agent.requests.
type upstreamSource interface {
	Upstreams() []structs.Upstream
	Leaving() bool
}

// domainStatus tells which failure domainStatus are out of service.
type domainStatus interface {
	DomainOut(name string) bool
}

// Module is the module agent.announcer.
type Module struct {
	settings Settings
	context  *kernel.Context
	log      hclog.Logger
	source   upstreamSource
	// config is the module config, or nil when the process doesn't run it.
	config   domainStatus
	sequence atomic.Int64
	// domainOut tells whether the failure domain of the agent was domainOut of service at the last check.
	domainOut atomic.Bool
	entries   []*entryClient
	sent      tally.Counter
	failed    tally.Counter
	// connectionsLost counts connections that entries ended, and restarts the new incarnations of entries.
	connectionsLost tally.Counter
	entryRestarts   tally.Counter
	stop            context.CancelFunc
	done            sync.WaitGroup
}

// Settings returns the target of the section [agent.announcer].
func (m *Module) Settings() any { return &m.settings }

// Provision connects the module to agent.requests, and to config if the process runs it.
func (m *Module) Provision(c *kernel.Context) error {
	m.context, m.log = c, c.Log.Named(ModuleName)
	found, ok := kernel.Lookup[upstreamSource](c, requestsName)
	if !ok {
		return eris.Errorf("the module %s is missing", requestsName)
	}
	m.source = found
	m.config, _ = kernel.Lookup[domainStatus](c, configName)
	if !m.settings.Address.IsValid() {
		m.settings.Address = c.Process.PeerAddress()
	}
	scope := c.Metrics.SubScope("agent_announcer")
	m.sent, m.failed = scope.Counter("sent"), scope.Counter("failed")
	m.connectionsLost, m.entryRestarts = scope.Counter("connections_lost"), scope.Counter("entry_restarts")
	for _, entry := range m.settings.Entries {
		m.entries = append(m.entries, newEntryClient(m, entry))
	}
	return nil
}

// Start begins the announcements.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	for _, p := range m.entries {
		m.done.Go(func() { p.run(ctx) })
	}
	if m.config != nil {
		m.done.Go(func() { m.watchDomain(ctx) })
	}
	return nil
}

// Stop ends the announcements.
func (m *Module) Stop(ctx context.Context) error {
	if m.stop == nil {
		return nil
	}
	m.stop()
	ended := make(chan struct{})
	go func() {
		m.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Changed sends an announcement to each entry soon.
func (m *Module) Changed() {
	for _, p := range m.entries {
		p.trigger(nil)
	}
}

// Publish sends an announcement of the current state to each entry and returns when each was tried once or ctx ends.
func (m *Module) Publish(ctx context.Context) {
	waits := make([]chan struct{}, len(m.entries))
	for i, p := range m.entries {
		waits[i] = make(chan struct{})
		p.trigger(waits[i])
	}
	for _, wait := range waits {
		select {
		case <-wait:
		case <-ctx.Done():
			return
		}
	}
}

// announcement returns the current state under a new sequence.
func (m *Module) announcement() structs.Announcement {
	upstreams := m.source.Upstreams()
	if m.domainOut.Load() {
		for i := range upstreams {
			upstreams[i].Leaving = true
		}
	}
	return structs.Announcement{
		Fleet: m.context.Process.Fleet,
		Agent: m.context.Process.Name, Incarnation: m.context.Incarnation, Sequence: m.sequence.Add(1),
		StartedUnixNano: m.context.StartedUnixNano, Address: m.settings.Address.String(),
		FailureDomain: m.context.Process.FailureDomain, Upstreams: upstreams, Leaving: m.source.Leaving(),
	}
}

// domainCheckInterval is how often the failure domain of the agent is checked. It adds to the time until an upstream receives
// no new work, of which P8 allows a few seconds.
const domainCheckInterval = 250 * time.Millisecond

func (m *Module) watchDomain(ctx context.Context) {
	ticker := time.NewTicker(domainCheckInterval)
	defer ticker.Stop()
	for {
		out := m.config.DomainOut(m.context.Process.FailureDomain)
		if m.domainOut.Swap(out) != out {
			m.log.Info("service state of the failure domain changed", "out", out)
			m.Changed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
