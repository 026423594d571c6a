package requests

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/settings"
)

// Guards against an entry that reports that it is ready before it has started. The admin address is served before the modules
// start, and an entry that doesn't know an upstream rejects every request.
func TestNotReadyBeforeStart(t *testing.T) {
	m := &Module{}
	file, err := settings.Parse("test.ini", []byte("[entry.requests]\n"))
	qt.Assert(t, err, qt.IsNil)
	file.Decode("entry.requests", &m.settings)
	qt.Assert(t, m.Provision(&kernel.Context{
		Log: hclog.NewNullLogger(), Metrics: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
		Clock: clock.System{}, Router: mux.NewRouter().UseEncodedPath(),
	}), qt.IsNil)
	qt.Assert(t, m.Ready(), qt.Equals, errNoUpstreams)
}
