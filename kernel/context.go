package kernel

import (
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/quetzalshed/quetzalshed/clock"
)

// Context provides modules with the services and settings of the process. It remains valid for the life of the process.
type Context struct {
	// Process holds the settings of section [process], which all modules share.
	Process ProcessSettings
	// Role is the role of this process.
	Role Role
	// Incarnation is a random ID that is unique to each start of the process.
	Incarnation string
	// StartedUnixNano is the start time of the process, by which incarnations are ordered.
	StartedUnixNano int64
	Log             hclog.Logger
	Metrics         tally.Scope
	Tracer          trace.Tracer
	// Clock measures leases, other permissions that expire, and ages. It doesn't follow changes of the time of day.
	Clock clock.Clock
	// Router routes requests to the process's main address.
	Router *mux.Router

	modules map[string]Module
}

// Lookup returns the named module as type T. ok is false if the process doesn't run it or it isn't a T.
func Lookup[T any](c *Context, name string) (found T, ok bool) {
	module, exists := c.modules[name]
	if !exists {
		return found, false
	}
	found, ok = module.(T)
	return found, ok
}

// Require returns the named module as type T, or an error if Lookup doesn't find it.
func Require[T any](c *Context, name string) (T, error) {
	found, ok := Lookup[T](c, name)
	if !ok {
		return found, eris.Errorf("module %s is required", name)
	}
	return found, nil
}
