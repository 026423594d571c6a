package announcer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

type noUpstreams struct{}

func (noUpstreams) Upstreams() []structs.Upstream { return nil }
func (noUpstreams) Leaving() bool                 { return false }

// startEntryClient sends announcements to an entry until the test ends. It returns the scope of the metrics.
func startEntryClient(t *testing.T, address string) tally.TestScope {
	scope := tally.NewTestScope("", nil)
	m := &Module{
		settings: Settings{Interval: 100 * time.Millisecond, Timeout: 5 * time.Second},
		context:  &kernel.Context{}, log: hclog.NewNullLogger(), source: noUpstreams{},
		sent: scope.Counter("sent"), failed: scope.Counter("failed"),
		connectionsLost: scope.Counter("lost"), entryRestarts: scope.Counter("restarts"),
	}
	p := newEntryClient(m, netip.MustParseAddrPort(address))
	ctx, cancel := context.WithCancel(t.Context())
	m.done.Go(func() { p.run(ctx) })
	t.Cleanup(func() {
		cancel()
		m.done.Wait()
	})
	return scope
}

// restartableEntry is an entry that requests the longest interval between announcements, 30 s. poll.Until gives up after
// about 10 s, so a wait that ends well has not just seen the next regular announcement.
type restartableEntry struct {
	*httptest.Server
	announced atomic.Int64
}

func serveEntry(t *testing.T, address, incarnation string, closes bool) *restartableEntry {
	listener, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	e := &restartableEntry{}
	e.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.announced.Add(1)
		if closes {
			w.Header().Set("Connection", "close")
		}
		kernel.WriteJSON(w, http.StatusOK, structs.AnnounceReply{
			NextAfterMillis: maxInterval.Milliseconds(), Incarnation: incarnation,
		})
	}))
	_ = e.Listener.Close()
	e.Listener = listener
	e.Start()
	t.Cleanup(e.Close)
	return e
}

func counter(scope tally.TestScope, name string) int64 {
	return scope.Snapshot().Counters()[name+"+"].Value()
}

// An entry that has restarted must receive an announcement before the interval that it requested earlier has passed, both
// when the old process broke the connection and when it closed the connection with its last reply.
func TestRestartedEntryIsAnnouncedTo(t *testing.T) {
	for name, closes := range map[string]bool{"connection broken": false, "connection closed with the reply": true} {
		t.Run(name, func(t *testing.T) {
			first := serveEntry(t, "127.0.0.1:0", "one", closes)
			address := first.Listener.Addr().String()
			scope := startEntryClient(t, address)
			poll.Until(t, "the first process has received an announcement", func() bool { return counter(scope, "sent") >= 1 })
			first.Close()
			second := serveEntry(t, address, "two", false)
			poll.Until(t, "the second process has received an announcement", func() bool { return second.announced.Load() >= 1 })
			poll.Until(t, "the restart is counted", func() bool { return counter(scope, "restarts") == 1 })
		})
	}
}

// A lost connection must cause exactly one announcement, and a connection that stays open none.
func TestOneAnnouncementPerLostConnection(t *testing.T) {
	e := serveEntry(t, "127.0.0.1:0", "one", false)
	scope := startEntryClient(t, e.Listener.Addr().String())
	for losses := range int64(3) {
		poll.Until(t, "the announcement is taken", func() bool { return counter(scope, "sent") == losses+1 })
		// Twice the interval is long enough for an additional announcement to be noticed.
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, e.announced.Load(), qt.Equals, losses+1)
		qt.Assert(t, counter(scope, "lost"), qt.Equals, losses)
		e.CloseClientConnections()
	}
	poll.Until(t, "the announcement is taken", func() bool { return counter(scope, "sent") == 4 })
	qt.Assert(t, counter(scope, "restarts"), qt.Equals, int64(0))
}
