package requests

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// An upstream that was paused and renews after its lease must keep the slots of its running requests occupied, and
// another registration must not take over a service whose lease is valid.
func TestRegistrationLease(t *testing.T) {
	c := qt.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	d := newUpstreamRegistry(32, 6*time.Second, manual)
	first, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	r := structs.UpstreamRegistration{Service: "price", Slots: 8, Connections: 64}
	c.Assert(d.register(r, first), qt.Equals, registered)
	c.Assert(d.register(r, other), qt.Equals, conflicting)
	fewer := r
	fewer.Slots = 4
	c.Assert(d.register(fewer, first), qt.Equals, conflicting)
	manual.Advance(5 * time.Second)
	c.Assert(d.register(r, first), qt.Equals, renewed)

	u, reason := d.find("price")
	c.Assert(reason, qt.Equals, "")
	ticket := u.admission.Enter(limit.Request{ID: "a", Deadline: manual.Now().Add(time.Hour)})
	manual.Advance(6 * time.Second)
	c.Assert(d.expire(), qt.DeepEquals, []string{"price"})
	c.Assert(d.expire(), qt.HasLen, 0)
	_, reason = d.find("price")
	c.Assert(reason, qt.Equals, reasonNoUpstream)
	c.Assert(d.list(), qt.HasLen, 0)
	c.Assert(d.register(r, first), qt.Equals, registered)
	c.Assert(d.list()[0].Running, qt.Equals, 1)
	ticket.Done(time.Second)

	manual.Advance(6 * time.Second)
	c.Assert(d.expire(), qt.DeepEquals, []string{"price"})
	c.Assert(d.byService, qt.HasLen, 0)
	c.Assert(d.register(r, other), qt.Equals, registered)
	for n := range maxUpstreams - 1 {
		r.Service = strings.Repeat("s", n+1)
		c.Assert(d.register(r, other), qt.Equals, registered)
	}
	r.Service = "one too many"
	c.Assert(d.register(r, other), qt.Equals, tooMany)
}

// A registration with the address of another host or values above the limits must be rejected, with all findings reported
// at once.
func TestInvalidRegistration(t *testing.T) {
	a := newTestAgent(t, nil)
	resp, err := http.Post(a.server.URL+"/v1/upstreams", "application/json", bytes.NewBufferString(
		`{"service":"","address":"127.0.0.2:80","slots":9,"connections":65}`))
	a.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var found findings.Error
	a.c.Assert(json.NewDecoder(resp.Body).Decode(&found), qt.IsNil)
	a.c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	a.c.Assert(found.Findings, qt.HasLen, 4)
}

// Request bodies beyond the memory limit must be refused, and their memory must be released when attempts end.
func TestBodiesAreBounded(t *testing.T) {
	a := newTestAgent(t, func(s *Settings) { s.BodyBytes = 1 << 20 })
	id := a.nextID()
	first := a.start(call{id: id, body: strings.Repeat("x", 1<<20), header: map[string]string{"Standin-Delay-Ms": "300"}})
	a.waitForState(id, running)
	refused := a.mustSend(call{id: a.nextID(), body: "x"})
	a.c.Assert(refused.outcome, qt.Equals, structs.OutcomeNotRun)
	a.c.Assert(refused.reason, qt.Equals, reasonMemory)
	a.c.Assert((<-first).outcome, qt.Equals, structs.OutcomeAnswered)
	a.c.Assert(a.mustSend(call{id: a.nextID(), body: "x"}).outcome, qt.Equals, structs.OutcomeAnswered)
	poll.Until(a.c, "all bytes are returned", func() bool { return a.bodies.used.Load() == 0 })
}
