// Package storemodule is the kernel module that provides a process with a client of the platform's key-value service.
package storemodule

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store"
)

// Name is the name under which the module registers and of its settings section.
const Name = "store"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleEntry, kernel.RoleAgent},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the settings section [store].
type Settings struct {
	// Address is the IP address and port of the service.
	Address      netip.AddrPort `ini:"address"`
	CallTimeout  time.Duration  `ini:"call_timeout" default:"1s" min:"10ms" max:"10s"`
	WatchTimeout time.Duration  `ini:"watch_timeout" default:"20s" min:"100ms" max:"30s"`
}

// CheckSettings implements settings.Checker.
func (s *Settings) CheckSettings(place func(string) findings.Location, found *findings.List) {
	if !s.Address.IsValid() {
		found.Addf(place("address"), "an IP address with a port is required")
	}
}

// Module implements kernel.Module. It owns the client.
type Module struct {
	settings Settings
	client   *store.Client
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	scope := c.Metrics.SubScope("store")
	m.client = store.NewClient(store.ClientOptions{
		Address: m.settings.Address, CallTimeout: m.settings.CallTimeout, WatchTimeout: m.settings.WatchTimeout,
		Observe: newCallObserver(scope),
	})
	return nil
}

// newCallObserver returns a function that counts calls by operation and result, and records the latency of all calls except
// watches, which wait for a change.
func newCallObserver(scope tally.Scope) func(store.Operation, store.Result, time.Duration) {
	return func(op store.Operation, result store.Result, elapsed time.Duration) {
		tagged := scope.Tagged(map[string]string{"operation": string(op), "result": string(result)})
		tagged.Counter("calls").Inc(1)
		if op != store.OpWatch {
			scope.Tagged(map[string]string{"operation": string(op)}).Timer("latency").Record(elapsed)
		}
	}
}

// Start implements kernel.Module.
func (m *Module) Start(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	m.client.Close()
	return nil
}

// Store returns the client.
func (m *Module) Store() store.Store { return m.client }

// Counters returns the counts of the client's calls.
func (m *Module) Counters() *store.Counters { return m.client.Counters() }
