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
	"github.com/quetzalshed/quetzalshed/structs"
)

// openRequest sends the head of a request and no body.
func openRequest(t *testing.T, e *testEntry, head string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "PUT /s/price/p HTTP/1.1\r\nHost: entry\r\nQuetzalshed-Timeout-Ms: 50000\r\n%s\r\n\r\n", head)
	qt.Assert(t, err, qt.IsNil)
	return c
}

func waitForHeld(t *testing.T, e *testEntry, reached func(int64) bool) {
	t.Helper()
	for range 10_000 {
		if reached(e.memory.Used()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d bytes are held", e.memory.Used())
}

func none(used int64) bool { return used == 0 }

// Guards against bodies in flight that take memory up to max_in_flight times their limit, against a refusal that comes
// only after the body was read or that says nothing about when to come back, and against unimportant bodies that keep
// critical ones out.
func TestBodiesBeyondMemoryAreRefusedUnread(t *testing.T) {
	for _, length := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		e := newEntry(t, nil, func(s *Settings) { s.MaxBytes = 8_000_000 })
		agent := newAgent(t, "a", e)
		// Bodies have 4 MB, of which low priority fills 3 MB.
		opened := []net.Conn{
			openRequest(t, e, "Quetzalshed-Priority: low\r\nContent-Length: 1000000"),
			openRequest(t, e, "Quetzalshed-Priority: low\r\nContent-Length: 1000000"),
		}
		waitForHeld(t, e, func(used int64) bool { return used > 2_000_000 })
		refused := openRequest(t, e, "Quetzalshed-Priority: low\r\n"+length)
		qt.Assert(t, refused.SetReadDeadline(time.Now().Add(30*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(refused), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, outcome(response), qt.Equals, "503 not-run")
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, response.Header.Get(structs.HeaderReason), qt.Matches, ".*no room.*")
		got, _ := e.call(t, http.MethodPut, "/s/price/p", strings.Repeat("x", 1_000_000), structs.HeaderPriority, "critical")
		qt.Assert(t, outcome(got), qt.Equals, "200 answered")
		qt.Assert(t, agent.Sends(), qt.Equals, 1)
		// The memory is free again once the requests have ended, however they ended.
		for _, c := range opened {
			_ = c.Close()
		}
		waitForHeld(t, e, none)
	}
}

// Guards against responses in flight that take memory without a bound, against a response that is given up although it
// would fit in time, and against one that is reported as not run for lack of memory.
func TestResponsesBeyondMemoryWait(t *testing.T) {
	const size = structs.MaxResponseBody
	e := newEntry(t, nil, func(s *Settings) { s.MaxBytes, s.MinHedge, s.DefaultHedge = 18_000_000, time.Minute, time.Minute })
	agent := newAgent(t, "a", e)
	large := strings.Repeat("q", size)
	agent.Run = func(string, string, []byte) string { return large }
	other := e.memory.Share(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
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

// Guards against a response that still counts after its connection broke or its check failed: a second one of the same
// request would wait for the first for ever.
func TestFailedResponsesGiveTheirMemoryBack(t *testing.T) {
	for _, fault := range []forwardtest.Fault{forwardtest.Truncate, forwardtest.BadChecksum} {
		e := newEntry(t, nil, func(s *Settings) { s.MaxBytes, s.MinHedge, s.DefaultHedge = 18_000_000, time.Minute, time.Minute })
		agent := newAgent(t, "a", e)
		agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
		other := e.memory.Share(structs.PriorityNormal, time.Now().Add(time.Hour), 0)
		qt.Assert(t, other.Hold(t.Context(), 9_000_000), qt.IsNil)
		agent.Script(fault)
		response, body := e.call(t, http.MethodPut, "/s/price/p", "x")
		qt.Assert(t, outcome(response), qt.Equals, "200 answered")
		qt.Assert(t, len(body), qt.Equals, structs.MaxResponseBody)
		other.Release()
		waitForHeld(t, e, none)
	}
}

// Guards against memory that is counted as free while the caller still takes its response.
func TestResponseCountsUntilTheCallerHasIt(t *testing.T) {
	e := newEntry(t, nil, nil)
	agent := newAgent(t, "a", e)
	agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
	c := openRequest(t, e, "Content-Length: 0")
	waitForHeld(t, e, func(used int64) bool { return used > structs.MaxResponseBody })
	for running, _ := e.inFlight.Running(); running > 0; running, _ = e.inFlight.Running() {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, e.memory.Used() > structs.MaxResponseBody, qt.IsTrue)
	_ = c.Close()
	waitForHeld(t, e, none)
}

// Guards against a caller that doesn't take its response and holds its memory for good.
func TestSlowCallerIsCutOff(t *testing.T) {
	e := newEntry(t, nil, func(s *Settings) { s.WriteLimit = 50 * time.Millisecond })
	agent := newAgent(t, "a", e)
	agent.Run = func(string, string, []byte) string { return strings.Repeat("q", structs.MaxResponseBody) }
	openRequest(t, e, "Content-Length: 0")
	waitForHeld(t, e, func(used int64) bool { return used > structs.MaxResponseBody })
	waitForHeld(t, e, none)
}
