package announcer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
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

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	received, sent atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l}, nil
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Add(int64(n))
	return n, err
}

// Write counts the bytes before it sends them, so that the count is complete when the client has received the response.
func (c *countingConn) Write(p []byte) (int, error) {
	c.listener.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

type upstreams []structs.Upstream

func (u upstreams) Upstreams() []structs.Upstream { return u }
func (upstreams) Leaving() bool                   { return false }

// startEntryModule starts the module entry.requests with a limit of 100 bytes per second for announcements.
func startEntryModule(t *testing.T, incarnation string) *countingListener {
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
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener
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
			wire := startEntryModule(t, incarnation)
			p := newEntryClient(&Module{
				settings: Settings{Interval: time.Second, Timeout: 5 * time.Second, Address: netip.MustParseAddrPort("127.0.0.1:7001")},
				context: &kernel.Context{
					Process:     kernel.ProcessSettings{Name: "a1", Fleet: "test", FailureDomain: "patan"},
					Incarnation: incarnation, StartedUnixNano: 1_700_000_000_000_000_000,
				},
				log: hclog.NewNullLogger(), source: list, connectionsLost: tally.NoopScope.Counter(""), entryRestarts: tally.NoopScope.Counter(""),
			}, netip.MustParseAddrPort(wire.Addr().String()))
			defer p.client.CloseIdleConnections()
			interval, err := p.send(t.Context())
			qt.Assert(t, err, qt.IsNil)
			counted := interval.Milliseconds() / 10
			sum := wire.received.Load() + wire.sent.Load()
			t.Logf("%d bytes received, %d sent, %d counted", wire.received.Load(), wire.sent.Load(), counted)
			// The entry's count assumes the longest addresses and numbers.
			qt.Assert(t, counted >= sum && counted <= sum+24, qt.IsTrue, qt.Commentf("%d bytes, %d counted", sum, counted))
		})
	}
}
