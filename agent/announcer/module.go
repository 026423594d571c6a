// Package announcer announces the agent and its upstreams to the entries.
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

// Name is the name of the module and of its settings section.
const Name = "agent.announcer"

const (
	requestsName = "agent.requests"
	configName   = "config"
)

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleAgent}, After: []string{configName, requestsName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings holds the keys of the section [agent.announcer].
type Settings struct {
	// Entries lists the addresses of the entries to which the agent announces itself.
	Entries []netip.AddrPort `ini:"entries"`
	// Address is the address at which entries reach this agent. If empty, the address that the process advertises is used.
	Address netip.AddrPort `ini:"address" default:""`
	// Interval is the time between announcements to an entry that hasn't requested another interval.
	Interval time.Duration `ini:"interval" default:"1s" min:"50ms" max:"10s"`
	// Timeout limits the duration of one announcement.
	Timeout time.Duration `ini:"timeout" default:"1s" min:"50ms" max:"10s"`
}

// upstreamSource is the part of the module agent.requests that this module uses.
type upstreamSource interface {
	Upstreams() []structs.Upstream
	Leaving() bool
}

// domainStatus is the part of the module config that this module uses.
type domainStatus interface {
	DomainOut(name string) bool
}

// Module implements the module agent.announcer.
type Module struct {
	settings Settings
	context  *kernel.Context
	log      hclog.Logger
	source   upstreamSource
	// config is the module config, or nil if the process doesn't run it.
	config   domainStatus
	sequence atomic.Int64
	// domainOut is true if the failure domain of the agent was out of service at the last check.
	domainOut atomic.Bool
	entries   []*entryClient
	sent      tally.Counter
	failed    tally.Counter
	// connectionsLost counts connections that entries closed; entryRestarts counts changes of an entry's incarnation.
	connectionsLost tally.Counter
	entryRestarts   tally.Counter
	stop            context.CancelFunc
	done            sync.WaitGroup
}

// Settings returns the struct into which the section [agent.announcer] is decoded.
func (m *Module) Settings() any { return &m.settings }

// Provision initializes the module. It looks up agent.requests, and config if the process runs it.
func (m *Module) Provision(c *kernel.Context) error {
	m.context, m.log = c, c.Log.Named(Name)
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

// Start starts the announcements.
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

// Stop stops the announcements.
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

// Changed triggers an announcement to each entry and doesn't wait for it.
func (m *Module) Changed() {
	for _, p := range m.entries {
		p.trigger(nil)
	}
}

// Publish sends an announcement of the current state to each entry. It returns after one try for each, or when ctx ends.
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

// announcement returns an announcement of the current state with the next sequence number.
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

// domainCheckInterval is how often it's checked whether the agent's failure domain is out of service. It adds to the time
// until the upstreams of such a domain receive no new requests, which may be a few seconds in total (requirement P8).
const domainCheckInterval = 250 * time.Millisecond

// watchDomain triggers an announcement whenever the agent's failure domain goes out of service or returns.
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
