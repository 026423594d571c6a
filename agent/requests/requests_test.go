package requests

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against a request path that changes what the caller sent or what the upstream responded.
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
	a.c.Assert(a.answerOf(id).body, qt.Equals, "seven")
	a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, 1)
}
