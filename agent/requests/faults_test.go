package requests

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// The agent must forward the request of the caller and the response of the upstream unchanged.
func TestRequestReachesUpstreamUnchanged(t *testing.T) {
	a := newTestAgent(t, nil)
	id := a.nextID()
	out := a.mustSend(call{id: id, method: http.MethodPut, body: "seven", header: map[string]string{
		"Standin-Delay-Ms": "1200", "Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
	}})
	a.c.Assert(out.status, qt.Equals, http.StatusOK)
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeAnswered)
	a.c.Assert(out.body, qt.Equals, "seven")
	a.c.Assert(out.header.Get(structs.HeaderForwardPrefix+"Standin-Method"), qt.Equals, http.MethodPut)
	a.c.Assert(out.header.Get(structs.HeaderForwardPrefix+"Standin-Uri"), qt.Equals, "/check?item=7")
	a.c.Assert(out.header.Get(structs.HeaderForwardPrefix+"Standin-Traceparent"), qt.Matches, "00-0af7651916cd43dd8448eb211c80319c-.*")
	a.c.Assert(out.header.Get(structs.HeaderLoad), qt.Matches, `running=\d;queued=0;slots=8`)
	a.c.Assert(out.interims, qt.DeepEquals, []string{"running", "running"})
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptFinished)
	a.c.Assert(a.fetchAnswer(id).body, qt.Equals, "seven")
	a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, 1)
}

// When the upstream fails, a request must not be sent again, must not be reported as not run after its send began, and
// must not get a partial response.
func TestUpstreamFaults(t *testing.T) {
	const large = 600_000
	cases := []struct {
		fault      upstreamtest.Fault
		outcome    structs.Outcome
		status     int
		executions int
	}{
		{upstreamtest.FaultBreakBefore, structs.OutcomeUnknown, http.StatusGatewayTimeout, 0},
		{upstreamtest.FaultBreakAfter, structs.OutcomeUnknown, http.StatusGatewayTimeout, 1},
		{upstreamtest.FaultTruncate, structs.OutcomeUnknown, http.StatusGatewayTimeout, 1},
		{upstreamtest.FaultStall, structs.OutcomeUnknown, http.StatusGatewayTimeout, 1},
		{upstreamtest.FaultStallBody, structs.OutcomeUnknown, http.StatusGatewayTimeout, 1},
		{upstreamtest.FaultUnbounded, structs.OutcomeUnknown, http.StatusGatewayTimeout, 1},
		{upstreamtest.FaultEarly, structs.OutcomeAnswered, http.StatusRequestEntityTooLarge, 0},
		{upstreamtest.FaultExtra, structs.OutcomeAnswered, http.StatusOK, 1},
	}
	for _, idempotent := range []string{"true", "false"} {
		for _, k := range cases {
			t.Run(string(k.fault)+"/idempotent="+idempotent, func(t *testing.T) {
				a := newTestAgent(t, func(s *Settings) { s.RunLimit = 300 * time.Millisecond })
				warm := a.mustSend(call{id: a.nextID(), body: "warm"})
				a.c.Assert(warm.body, qt.Equals, "warm")
				a.upstream.SetBehaviour(upstreamtest.Behaviour{Fault: k.fault, FaultRate: 1})
				body := strings.Repeat("b", 100)
				// The bodies for these faults stay short: the extra bytes must be read together with the response.
				if k.fault != upstreamtest.FaultEarly && k.fault != upstreamtest.FaultExtra {
					body = strings.Repeat("b", large)
				}
				id := a.nextID()
				out := a.mustSend(call{id: id, body: body, header: map[string]string{structs.HeaderIdempotent: idempotent}})
				a.c.Assert(out.outcome, qt.Equals, k.outcome, qt.Commentf("%s", out.reason))
				a.c.Assert(out.status, qt.Equals, k.status)
				a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, k.executions)
				want := structs.AttemptFinished
				if k.outcome == structs.OutcomeUnknown {
					want = structs.AttemptUnknown
				}
				a.c.Assert(a.resolve(id), qt.Equals, want)

				a.upstream.SetBehaviour(upstreamtest.Behaviour{})
				after := a.mustSend(call{id: a.nextID(), body: "after", header: map[string]string{structs.HeaderIdempotent: idempotent}})
				a.c.Assert(after.outcome, qt.Equals, structs.OutcomeAnswered)
				a.c.Assert(after.body, qt.Equals, "after")
				a.c.Assert(a.upstreams.list()[0].Running, qt.Equals, 0)
			})
		}
	}
}

// An attempt whose upstream can't be reached must be reported as not run, since nothing was sent.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	a := newTestAgent(t, nil)
	a.upstream.Close()
	id := a.nextID()
	out := a.mustSend(call{id: id})
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeNotRun)
	a.c.Assert(out.reason, qt.Equals, reasonUnreachable)
	a.c.Assert(out.header.Get("Retry-After"), qt.Equals, "1")
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptRefused)
	a.upstream, _ = upstreamtest.Listen("127.0.0.1:0", upstreamtest.Behaviour{}, 1)
}

// A request that runs past its deadline must keep its slot until the upstream responds, and its response must be
// retained.
func TestLateResponseIsRetainedAndKeepsItsSlot(t *testing.T) {
	a := newTestAgent(t, nil)
	id := a.nextID()
	out := a.mustSend(call{id: id, body: "late", budget: 100 * time.Millisecond, header: map[string]string{"Standin-Delay-Ms": "700"}})
	a.c.Assert(out.status, qt.Equals, http.StatusGatewayTimeout)
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeUnknown)
	a.c.Assert(out.reason, qt.Equals, reasonDeadline)
	a.c.Assert(out.header.Get(structs.HeaderLoad), qt.Equals, "running=1;queued=0;slots=8")
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptRunning)
	at, err := http.Get(a.server.URL + "/v1/requests/" + id + "/answer")
	a.c.Assert(err, qt.IsNil)
	a.c.Assert(at.Body.Close(), qt.IsNil)
	a.c.Assert(at.Header.Get(structs.HeaderReason), qt.Equals, reasonUnfinished)
	a.c.Assert(at.Header.Get(structs.HeaderState), qt.Equals, string(structs.AttemptRunning))
	answer := a.fetchAnswer(id)
	a.c.Assert(answer.outcome, qt.Equals, structs.OutcomeAnswered)
	a.c.Assert(answer.body, qt.Equals, "late")
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptFinished)
	a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, 1)
}

// A response that exceeds the size limit must be neither passed on nor retained.
func TestResponseOverTheLimit(t *testing.T) {
	a := newTestAgent(t, nil)
	largest := a.mustSend(call{id: a.nextID(), header: map[string]string{"Standin-Size": itoa(structs.MaxResponseBody)}})
	a.c.Assert(largest.outcome, qt.Equals, structs.OutcomeAnswered)
	a.c.Assert(len(largest.body), qt.Equals, structs.MaxResponseBody)
	id := a.nextID()
	over := a.mustSend(call{id: id, header: map[string]string{"Standin-Size": itoa(structs.MaxResponseBody + 1)}})
	a.c.Assert(over.outcome, qt.Equals, structs.OutcomeUnknown)
	a.c.Assert(a.fetchAnswer(id).outcome, qt.Equals, structs.OutcomeUnknown)
}

// A response without a body, as to HEAD, must be passed on, and the connection must stay usable.
func TestResponsesWithoutBody(t *testing.T) {
	a := newTestAgent(t, nil)
	out := a.mustSend(call{id: a.nextID(), method: http.MethodHead, body: "size"})
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeAnswered)
	a.c.Assert(out.body, qt.Equals, "")
	a.c.Assert(a.mustSend(call{id: a.nextID(), body: "next"}).body, qt.Equals, "next")
}
