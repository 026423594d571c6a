package requests

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// When the connection of an entry stops delivering data, the entry must be able to get the outcome of its attempt over a
// new connection, whether the attempt runs, is queued or never arrived.
func TestSilentEntryConnections(t *testing.T) {
	a := newTestAgent(t, nil)
	network, err := faultnet.Listen(a.address())
	a.c.Assert(err, qt.IsNil)
	defer network.Close()
	begin := func(k call) net.Conn {
		conn, err := net.Dial("tcp", network.Address())
		a.c.Assert(err, qt.IsNil)
		a.c.Cleanup(func() { _ = conn.Close() })
		a.c.Assert(a.request(k).Write(conn), qt.IsNil)
		return conn
	}
	ran, waits, lost := a.nextID(), a.nextID(), a.nextID()
	begin(call{id: ran, body: "ran", header: map[string]string{"Standin-Delay-Ms": "600"}})
	a.waitForState(ran, running)
	for range 7 {
		id := a.nextID()
		begin(call{id: id, header: map[string]string{"Standin-Delay-Ms": "600"}})
		a.waitForState(id, running)
	}
	begin(call{id: waits})
	a.waitForState(waits, queued)
	network.SetDelay(faultnet.ToServer, time.Hour)
	begin(call{id: lost})
	poll.Until(a.c, "all connections are forwarded", func() bool { return network.Counts().Open == 10 })
	network.Blackhole()
	a.c.Assert(a.resolve(lost), qt.Equals, structs.AttemptNeverSeen)
	a.c.Assert(a.resolve(waits), qt.Equals, structs.AttemptCancelled)
	a.c.Assert(a.resolve(ran), qt.Equals, structs.AttemptRunning)
	a.c.Assert(a.fetchAnswer(ran).body, qt.Equals, "ran")
	a.c.Assert(a.mustSend(call{id: lost}).outcome, qt.Equals, structs.OutcomeNotRun)
	counts := a.upstream.Counts().Executions
	a.c.Assert([]int{counts[ran], counts[waits], counts[lost]}, qt.DeepEquals, []int{1, 0, 0})
}

// registerThroughForwarder registers the upstream with the address of a fault-injecting forwarder.
func (a *testAgent) registerThroughForwarder() *faultnet.Forwarder {
	network, err := faultnet.Listen(a.upstream.Address())
	a.c.Assert(err, qt.IsNil)
	a.c.Cleanup(network.Close)
	a.c.Assert(a.registrar().Leave(context.Background()), qt.IsNil)
	through := a.registrar()
	through.Registration.Address = network.Address()
	_, err = through.Register(context.Background())
	a.c.Assert(err, qt.IsNil)
	return network
}

// When all idle connections to the upstream stop delivering data, at most one request may fail because of them.
func TestSilentUpstreamConnections(t *testing.T) {
	a := newTestAgent(t, func(s *Settings) { s.RunLimit = 400 * time.Millisecond })
	network := a.registerThroughForwarder()

	idempotent := map[string]string{structs.HeaderIdempotent: "true"}
	for _, r := range a.fillSlots("100") {
		a.c.Assert((<-r).outcome, qt.Equals, structs.OutcomeAnswered)
	}
	poll.Until(a.c, "all slots are free", func() bool { return a.upstreams.list()[0].Running == 0 })
	a.c.Assert(network.Blackhole() > 1, qt.IsTrue)
	silent := a.nextID()
	out := a.mustSend(call{id: silent, header: idempotent, budget: 200 * time.Millisecond})
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeUnknown)
	for range 10 {
		a.c.Assert(a.mustSend(call{id: a.nextID(), body: "x", header: idempotent}).body, qt.Equals, "x")
	}
	a.waitForState(silent, evicted)
	a.c.Assert(a.resolve(silent), qt.Equals, structs.AttemptUnknown)
	a.c.Assert(a.upstream.Counts().Executions[silent], qt.Equals, 0)
}

// A response of the upstream that is truncated at any point must not be passed on as a complete one.
func TestTruncatedUpstreamResponses(t *testing.T) {
	a := newTestAgent(t, nil)
	network := a.registerThroughForwarder()
	answered := 0
	for cut := int64(0); cut < 300; cut += 7 {
		network.SetTruncate(faultnet.ToClient, cut)
		id := a.nextID()
		out := a.mustSend(call{id: id, method: http.MethodPatch, body: strings.Repeat("y", 100)})
		a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, 1)
		if out.outcome == structs.OutcomeAnswered {
			answered++
			a.c.Assert(len(out.body), qt.Equals, 100)
			continue
		}
		a.c.Assert(out.outcome, qt.Equals, structs.OutcomeUnknown)
		a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptUnknown)
	}
	a.c.Assert(answered > 0 && answered < 20, qt.IsTrue, qt.Commentf("%d", answered))
}
