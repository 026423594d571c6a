// Package operators serves the configuration API of an entry.
package operators

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/config/configmodule"
	"github.com/quetzalshed/quetzalshed/kernel"
)

// Name is the name of the module and of its settings section.
const Name = "entry.operators"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleEntry}, After: []string{configmodule.Name},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the section [entry.operators].
type Settings struct {
	// Concurrent bounds the changes in progress; further ones are rejected with status 503.
	Concurrent int `ini:"concurrent" default:"8" min:"1" max:"64"`
}

// configProvider is implemented by the configuration module.
type configProvider interface {
	Follower() *config.Follower
	Acceptor() *config.Acceptor
}

// Module serves the configuration API.
type Module struct {
	settings Settings
	log      hclog.Logger
	scope    tally.Scope
	follower *config.Follower
	acceptor *config.Acceptor
	slots    chan struct{}
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	provider, err := kernel.Require[configProvider](c, configmodule.Name)
	if err != nil {
		return err
	}
	m.log, m.scope = c.Log.Named("operators"), c.Metrics.SubScope("operators")
	m.follower, m.acceptor = provider.Follower(), provider.Acceptor()
	m.slots = make(chan struct{}, m.settings.Concurrent)
	c.Router.HandleFunc("/v1/config", m.serveStatus).Methods(http.MethodGet)
	c.Router.HandleFunc("/v1/config/rules", m.serveRules).Methods(http.MethodGet)
	c.Router.HandleFunc("/v1/config/inventory", m.serveInventory).Methods(http.MethodGet)
	c.Router.HandleFunc("/v1/config/inventory", m.servePutInventory).Methods(http.MethodPut)
	c.Router.HandleFunc("/v1/config/rules", m.servePutRules).Methods(http.MethodPut)
	c.Router.HandleFunc("/v1/failure-domains/{name}/{state:out|in}", m.serveDomain).Methods(http.MethodPost)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(context.Context) error { return nil }

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error { return nil }
