package kernel

import (
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/clock"
)

// Context gives a module what the process offers. It stays valid for the life of the process.
type Context struct {
	// Process holds the settings that all modules share.
	Process ProcessSettings
	// Role is the kind of this process.
	Role Role
	// Incarnation differs for each start of the process.
	Incarnation string
	// StartedUnixNano is when the process started, and orders incarnations.
	StartedUnixNano int64
	Log             hclog.Logger
	Metrics         tally.Scope
	Tracer          trace.Tracer
	Clock           clock.Clock
	// Router serves the process's main address.
	Router *mux.Router

	modules map[string]Module
}

// Lookup returns the module of a name as type T. ok is false when the process doesn't run it.
func Lookup[T any](c *Context, name string) (found T, ok bool) {
	module, exists := c.modules[name]
	if !exists {
		return found, false
	}
	found, ok = module.(T)
	return found, ok
}

// Require returns the module of a name as type T, or an error that names it.
func Require[T any](c *Context, name string) (T, error) {
	found, ok := Lookup[T](c, name)
	if !ok {
		return found, eris.Errorf("module %s is required", name)
	}
	return found, nil
}
