package requests

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

func always(fault forwardtest.Fault) func(int) forwardtest.Fault {
	return func(int) forwardtest.Fault { return fault }
}

func (e *testEntry) post(t testing.TB, key, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	return e.call(t, http.MethodPost, "/s/price/p", body, append([]string{structs.HeaderIdempotencyKey, key}, headers...)...)
}

func outcome(r *http.Response) string {
	return fmt.Sprint(r.StatusCode, " ", r.Header.Get(structs.HeaderOutcome))
}

// Guards against a repeated request that runs again instead of getting the response of the first one (P7), also through
// another entry, and against accepting a key that is reused for different content.
func TestRepeatedRequest(t *testing.T) {
	kv := storetest.New(clock.System{})
	one, two := newEntry(t, kv, nil), newEntry(t, kv, nil)
	agent := newAgent(t, "a", one, two)
	for _, e := range []*testEntry{one, one, two} {
		response, body := e.post(t, "k", "buy")
		qt.Assert(t, outcome(response), qt.Equals, "200 answered")
		qt.Assert(t, body, qt.Equals, "/p:buy")
	}
	qt.Assert(t, agent.Runs(), qt.Equals, 1)
	response, _ := two.post(t, "k", "sell")
	qt.Assert(t, outcome(response), qt.Equals, "422 not-run")
	// Requests without a key are independent, and their generated keys are returned.
	first, _ := one.call(t, http.MethodPost, "/s/price/p", "buy")
	second, _ := one.call(t, http.MethodPost, "/s/price/p", "buy")
	qt.Assert(t, agent.RunsOf("buy"), qt.Equals, 3)
	qt.Assert(t, first.Header.Get(structs.HeaderIdempotencyKey), qt.Not(qt.Equals), second.Header.Get(structs.HeaderIdempotencyKey))
	qt.Assert(t, agent.LastHeaders().Get("Quetzalshed-Fwd-Idempotency-Key"), qt.Equals, second.Header.Get(structs.HeaderIdempotencyKey))
}

// Guards against concurrent requests with the same key, through two entries, that run twice or of which one gets no response.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	kv := storetest.New(clock.System{})
	one, two := newEntry(t, kv, nil), newEntry(t, kv, nil)
	agent := newAgent(t, "a", one, two)
	agent.FaultFor = always(forwardtest.RunOnRelease)
	var done sync.WaitGroup
	for _, e := range []*testEntry{one, two, one, two} {
		done.Go(func() {
			response, body := e.post(t, "k", "buy", structs.HeaderTimeoutMillis, "20000")
			qt.Check(t, outcome(response), qt.Equals, "200 answered")
			qt.Check(t, body, qt.Equals, "/p:buy")
		})
	}
	poll.Until(t, "the attempt arrives", func() bool { return agent.AttemptsReceived() == 1 })
	time.Sleep(2 * followGrace)
	agent.ReleaseHeld()
	done.Wait()
	qt.Assert(t, agent.Runs(), qt.Equals, 1)
	qt.Assert(t, agent.AttemptsReceived(), qt.Equals, 1)
}

// Guards against a key that stays blocked for ever because an entry failed after it had written the record but before it sent
// the request.
func TestRecordOfLostEntryIsTakenOver(t *testing.T) {
	kv := storetest.New(clock.System{})
	e := newEntry(t, kv, nil)
	agent := newAgent(t, "a", e)
	p, err := parseRequest(mustRequest(t, "buy"))
	qt.Assert(t, err, qt.IsNil)
	p.request.Body = []byte("buy")
	claim := e.recorder.NewClaim("price", "k", requestHash(&p.request))
	qt.Assert(t, claim.Assign(t.Context(), "a", "a-1", agent.Address(), "never-sent"), qt.IsNil)
	response, _ := e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "200 answered")
	qt.Assert(t, agent.Runs(), qt.Equals, 1)
	// If the lost entry was only paused, its attempt is refused from now on.
	qt.Assert(t, agent.States()[structs.AttemptRefused], qt.Equals, 1)
}

func mustRequest(t testing.TB, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://entry/s/price/p", nil)
	qt.Assert(t, err, qt.IsNil)
	request.ContentLength = int64(len(body))
	return request
}

// Guards against reporting a request as not run, or running it again, after its response was lost.
func TestLostOutcome(t *testing.T) {
	kv := storetest.New(clock.System{})
	e := newEntry(t, kv, nil)
	agent, other := newAgent(t, "a", e), newAgent(t, "b")
	agent.FaultFor = always(forwardtest.RunWithoutRetaining)
	response, _ := e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "504 unknown")
	qt.Assert(t, e.announce(t, other.Announcement("price", 1)).StatusCode, qt.Equals, http.StatusOK)
	response, _ = e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "409 unknown")
	agent.Restart()
	response, _ = e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "409 unknown")
	agent.Close()
	response, _ = e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "409 unknown")
	qt.Assert(t, agent.Runs()+other.Runs(), qt.Equals, 1)
}

// Guards against reporting a repeated request as not run because no upstream accepts new requests, although the first one
// ran.
func TestRepeatedRequestWithoutUpstream(t *testing.T) {
	e := newEntry(t, storetest.New(clock.System{}), nil)
	agent := newAgent(t, "a", e)
	e.post(t, "k", "buy")
	leaving := agent.Announcement("price", 2)
	leaving.Leaving = true
	e.announce(t, leaving)
	response, body := e.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "200 answered")
	qt.Assert(t, body, qt.Equals, "/p:buy")
	response, _ = e.post(t, "k", "sell")
	qt.Assert(t, outcome(response), qt.Equals, "422 not-run")
	response, _ = e.post(t, "k2", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "503 not-run")
	qt.Assert(t, response.Header.Get(structs.HeaderReason), qt.Contains, "leaving")
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
}

// Guards against a store outage that lets a request run without a record, or that stops idempotent requests.
func TestStoreFaults(t *testing.T) {
	kv := storetest.New(clock.System{})
	e := newEntry(t, kv, func(s *Settings) { s.RecordsPerSecond = 5 })
	agent := newAgent(t, "a", e)
	kv.SetPutFaults(storetest.Unavailable, storetest.RequestLost, storetest.ResponseLost)
	for i, want := range []string{"503 not-run", "503 not-run", "200 answered", "200 answered", "200 answered"} {
		response, _ := e.post(t, fmt.Sprint(i), "buy")
		qt.Assert(t, outcome(response), qt.Equals, want)
		if response.StatusCode == http.StatusServiceUnavailable {
			qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
			qt.Assert(t, response.Header.Get(structs.HeaderReason), qt.Equals, "the store did not confirm the at-most-once record")
		}
	}
	response, _ := e.post(t, "over-the-limit", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "429 not-run")
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
	qt.Assert(t, agent.Runs(), qt.Equals, 3)
	response, _ = e.call(t, http.MethodGet, "/s/price/p", "")
	qt.Assert(t, outcome(response), qt.Equals, "200 answered")
	none := newEntry(t, nil, nil)
	newAgent(t, "b", none)
	response, _ = none.post(t, "k", "buy")
	qt.Assert(t, outcome(response), qt.Equals, "503 not-run")
}
