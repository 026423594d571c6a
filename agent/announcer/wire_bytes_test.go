package announcer

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/entry/requests"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/settings"
	"github.com/quetzalshed/quetzalshed/structs"
)

type upstreams []structs.Upstream

func (u upstreams) Upstreams() []structs.Upstream { return u }
func (upstreams) Leaving() bool                   { return false }

// startEntryModule starts the module entry.requests with a limit of 100 bytes per second for announcements. It
// counts its traffic in a scope.
func startEntryModule(t *testing.T, incarnation string, traffic tally.Scope) *httptest.Server {
	m := &requests.Module{}
	file, err := settings.Parse("test.ini", []byte("[entry.requests]\nannounce_bytes_per_second=100\nannounce_min=100ms\n"))
	qt.Assert(t, err, qt.IsNil)
	file.Decode("entry.requests", m.Settings())
	qt.Assert(t, file.Err(), qt.IsNil)
	router := mux.NewRouter()
	qt.Assert(t, m.Provision(&kernel.Context{
		Process: kernel.ProcessSettings{Fleet: "test"}, Log: hclog.NewNullLogger(), Incarnation: incarnation,
		Metrics: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""), Clock: clock.System{}, Router: router,
	}), qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(router.ServeHTTP))
	server.Listener = kernel.CountTraffic(server.Listener, traffic)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// The entry must count at least the bytes that an announcement and its reply take on the wire, or the limit is exceeded,
// and not many more, or the intervals are too long.
func TestEntryCountsWireBytes(t *testing.T) {
	for name, list := range map[string]upstreams{
		"none": nil,
		"one":  {{Service: "price", Slots: 8, Connections: 64}},
		"some": {{Service: "price", Slots: 8, Connections: 64, Running: 7}, {Service: "quote", Slots: 8, Queued: 31}},
	} {
		t.Run(name, func(t *testing.T) {
			const incarnation = "0123456789abcdef"
			traffic := tally.NewTestScope("", nil)
			entry := startEntryModule(t, incarnation, traffic)
			p := newEntryClient(&Module{
				settings: Settings{Interval: time.Second, Timeout: 5 * time.Second, Address: netip.MustParseAddrPort("127.0.0.1:7001")},
				context: &kernel.Context{
					Process:     kernel.ProcessSettings{Name: "a1", Fleet: "test", FailureDomain: "patan"},
					Incarnation: incarnation, StartedUnixNano: 1_700_000_000_000_000_000,
				},
				log: hclog.NewNullLogger(), source: list, connectionsLost: tally.NoopScope.Counter(""), entryRestarts: tally.NoopScope.Counter(""),
			}, netip.MustParseAddrPort(entry.Listener.Addr().String()))
			interval, err := p.send(t.Context())
			qt.Assert(t, err, qt.IsNil)
			counted := interval.Milliseconds() / 10
			// The bytes of the response are counted once they are sent, and Close waits for that.
			p.client.CloseIdleConnections()
			entry.Close()
			counters := traffic.Snapshot().Counters()
			received, sent := counters["http.received_bytes+"].Value(), counters["http.sent_bytes+"].Value()
			sum := received + sent
			t.Logf("%d bytes received, %d sent, %d counted", received, sent, counted)
			// The entry's count assumes the longest addresses and numbers.
			qt.Assert(t, counted >= sum && counted <= sum+24, qt.IsTrue, qt.Commentf("%d bytes, %d counted", sum, counted))
		})
	}
}
