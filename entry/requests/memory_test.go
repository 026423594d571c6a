package requests

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// openRequest sends a request that has a timeout of 50 s. Rest is what follows, from further headers on.
func openRequest(t *testing.T, e *testEntry, rest string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "PUT /s/price/p HTTP/1.1\r\nHost: entry\r\nQuetzalshed-Timeout-Ms: 50000\r\n%s", rest)
	qt.Assert(t, err, qt.IsNil)
	return c
}

func waitForHeld(t *testing.T, e *testEntry, reached func(int64) bool) {
	t.Helper()
	if !poll.Reached(func() bool { return reached(e.memory.Used()) }) {
		t.Fatalf("timed out, %d bytes are held", e.memory.Used())
	}
}

func none(used int64) bool { return used == 0 }

// readOutcome returns the response on a connection of openRequest with its outcome.
func readOutcome(t *testing.T, c net.Conn) (*http.Response, string) {
	t.Helper()
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	return response, outcome(response)
}

// Guards against request bodies that together take up to max_in_flight times the limit of one body, against a rejection that
// is sent only after a body of known length was read or without a Retry-After, and against low-priority bodies that block critical
// ones.
func TestRequestBodiesBeyondMemoryLimitAreRefused(t *testing.T) {
	const bodyBytes = 1_000_000
	body := strings.Repeat("x", bodyBytes)
	for _, rest := range []string{
		"Content-Length: 1000000\r\n\r\n",
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body),
	} {
		e := newEntry(t, nil, func(s *Settings) {
			s.MaxBytes, s.MinHedge, s.DefaultHedge = 8_000_000, time.Minute, time.Minute
			// An attempt that the entry takes for lost, since the machine is slow, is sent again and counts twice.
			s.Silence = time.Minute
		})
		agent := newAgent(t, "a", e)
		agent.FaultFor = func(n int) forwardtest.Fault {
			if n < 2 {
				return forwardtest.RunOnRelease
			}
			return forwardtest.NoFault
		}
		// Bodies may use 4 MB, those of low priority 3 MB of it.
		opened := []net.Conn{
			openRequest(t, e, "Quetzalshed-Priority: low\r\nContent-Length: 1000000\r\n\r\n"+body),
			openRequest(t, e, "Quetzalshed-Priority: low\r\nContent-Length: 1000000\r\n\r\n"+body),
		}
		waitForHeld(t, e, func(used int64) bool { return used > 2_000_000 })
		// The agent holds the first two attempts, so those of the opened requests must come before that of the critical one.
		qt.Assert(t, poll.Reached(func() bool { return agent.AttemptsReceived() == 2 }), qt.IsTrue)
		refused, got := readOutcome(t, openRequest(t, e, "Quetzalshed-Priority: low\r\n"+rest))
		qt.Assert(t, got, qt.Equals, "503 not-run")
		qt.Assert(t, refused.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, refused.Header.Get(structs.HeaderReason), qt.Matches, ".*no room.*")
		response, _ := e.call(t, http.MethodPut, "/s/price/p", body, structs.HeaderPriority, "critical")
		qt.Assert(t, outcome(response), qt.Equals, "200 answered")
		qt.Assert(t, agent.AttemptsReceived(), qt.Equals, 3)
		// The memory must be freed however the requests end.
		for _, c := range opened {
			_ = c.Close()
		}
		agent.ReleaseHeld()
		waitForHeld(t, e, none)
	}
}

// Guards against incomplete bodies that take the places and the memory of requests in flight, or the priority that their clients
// state.
func TestIncompleteBodiesTakeNothingOfAdmission(t *testing.T) {
	const stalled = 9
	e := newEntry(t, nil, func(s *Settings) { s.MaxInFlight, s.MaxWaiting, s.MaxBytes = 4, 0, 18_000_000 })
	newAgent(t, "a", e)
	for range stalled {
		openRequest(t, e, "Quetzalshed-Priority: critical\r\nContent-Length: 1000000\r\n\r\nx")
	}
	qt.Assert(t, poll.Reached(func() bool { return e.limiter.BodyBytes() == stalled*1_000_000 }), qt.IsTrue)
	running, waiting := e.inFlight.Counts()
	qt.Assert(t, []int64{int64(running), int64(waiting), e.memory.Used()}, qt.DeepEquals, []int64{0, 0, 0})
	for _, size := range []int{1, 1_000_000} {
		response, _ := e.callUntilAdmitted(t, strings.Repeat("x", size), "low")
		qt.Assert(t, outcome(response), qt.Equals, "200 answered")
	}
}

// callUntilAdmitted repeats a request that was refused with a Retry-After, as ordinary callers do.
func (e *testEntry) callUntilAdmitted(t *testing.T, body, priority string) (*http.Response, string) {
	t.Helper()
	const pause = 100 * time.Millisecond
	for {
		response, answer := e.call(t, http.MethodPut, "/s/price/p", body, structs.HeaderPriority, priority)
		if response.Header.Get("Retry-After") == "" || t.Context().Err() != nil {
			return response, answer
		}
		time.Sleep(pause)
	}
}

// Guards against a refusal for incomplete bodies that is sent only after the body was read, without a Retry-After or without an
// outcome, and against a complete body that counts twice.
func TestBodiesBeyondMemoryOfIncompleteOnesAreRefused(t *testing.T) {
	e := newEntryLimited(t, ingress.Limits{BodyBytes: 1_000_000})
	agent := newAgent(t, "a", e)
	for _, length := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nf4240\r\n" + strings.Repeat("x", 999_999)} {
		response, got := readOutcome(t, openRequest(t, e, length))
		qt.Assert(t, got, qt.Equals, "503 not-run")
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "1")
		qt.Assert(t, response.Header.Get(structs.HeaderReason), qt.Matches, ".*no room.*")
	}
	qt.Assert(t, agent.AttemptsReceived(), qt.Equals, 0)
	agent.FaultFor = always(forwardtest.RunOnRelease)
	openRequest(t, e, "Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
	waitForHeld(t, e, func(used int64) bool { return used > 100_000 })
	qt.Assert(t, e.limiter.BodyBytes(), qt.Equals, int64(0))
	agent.ReleaseHeld()
}

// Guards against responses that take memory beyond the limit, against discarding a response for which memory becomes
// available in time, and against reporting a request as not run because its response didn't fit.
func TestResponsesBeyondMemoryLimitWait(t *testing.T) {
	const size = structs.MaxResponseBody
	e := newEntry(t, nil, func(s *Settings) { s.MaxBytes, s.MinHedge, s.DefaultHedge = 18_000_000, time.Minute, time.Minute })
	agent := newAgent(t, "a", e)
	large := strings.Repeat("q", size)
	agent.Run = func(string, string, []byte) string { return large }
	other := e.memory.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
	qt.Assert(t, other.Hold(t.Context(), 10_000_000), qt.IsNil)
	late, _ := e.call(t, http.MethodGet, "/s/price/p", "", structs.HeaderTimeoutMillis, "300")
	qt.Assert(t, outcome(late), qt.Equals, "504 unknown")
	waitForHeld(t, e, func(used int64) bool { return used == 10_000_000 })
	answered := make(chan int, 1)
	go func() {
		response, err := http.Get(e.url + "/s/price/p")
		if err != nil {
			answered <- -1
			return
		}
		n, _ := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		answered <- int(n)
	}()
	for agent.Runs() < 2 {
		time.Sleep(time.Millisecond)
	}
	other.Release()
	qt.Assert(t, <-answered, qt.Equals, size)
	waitForHeld(t, e, none)
}

// Guards against memory that stays held for a response whose connection broke or whose checksum was wrong: another response
// of the same request would wait for that memory for ever.
func TestFailedResponsesReleaseMemory(t *testing.T) {
	for _, fault := range []forwardtest.Fault{forwardtest.Truncate, forwardtest.BadChecksum} {
		e := newEntry(t, nil, func(s *Settings) { s.MaxBytes, s.MinHedge, s.DefaultHedge = 18_000_000, time.Minute, time.Minute })
		agent := newAgent(t, "a", e)
		agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
		other := e.memory.NewReservation(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
		qt.Assert(t, other.Hold(t.Context(), 9_000_000), qt.IsNil)
		agent.ScriptFaults(fault)
		response, body := e.call(t, http.MethodPut, "/s/price/p", "x")
		qt.Assert(t, outcome(response), qt.Equals, "200 answered")
		qt.Assert(t, len(body), qt.Equals, structs.MaxResponseBody)
		other.Release()
		waitForHeld(t, e, none)
	}
}

// Guards against counting memory as free while the response is still being sent to the caller.
func TestResponseHoldsMemoryUntilSent(t *testing.T) {
	e := newEntry(t, nil, nil)
	agent := newAgent(t, "a", e)
	agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
	c := openRequest(t, e, "Content-Length: 0\r\n\r\n")
	waitForHeld(t, e, func(used int64) bool { return used > structs.MaxResponseBody })
	for running, _ := e.inFlight.Counts(); running > 0; running, _ = e.inFlight.Counts() {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, e.memory.Used() > structs.MaxResponseBody, qt.IsTrue)
	_ = c.Close()
	waitForHeld(t, e, none)
}

// Guards against a caller that doesn't read its response, whose memory would then be held for ever.
func TestSlowCallerIsDisconnected(t *testing.T) {
	e := newEntry(t, nil, func(s *Settings) { s.WriteLimit = 50 * time.Millisecond })
	agent := newAgent(t, "a", e)
	agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
	openRequest(t, e, "Content-Length: 0\r\n\r\n")
	waitForHeld(t, e, func(used int64) bool { return used > structs.MaxResponseBody })
	waitForHeld(t, e, none)
}
