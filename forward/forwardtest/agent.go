// Package forwardtest provides a fake agent that implements the protocol between entries and agents on loopback and can
// inject each fault of the failure model.
package forwardtest

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Fault is a fault that is injected into one attempt.
type Fault int

// Faults. Those named Drop happen before the attempt is processed, so that it doesn't run.
const (
	NoFault Fault = iota
	// DropThenClose and DropThenStall discard the request and close the connection or leave it open without a response.
	DropThenClose
	DropThenStall
	// Reject responds that the attempt was not run.
	Reject
	// RunThenClose and RunThenStall run the attempt and then close the connection or leave it open without a response.
	RunThenClose
	RunThenStall
	// Truncate closes the connection in the middle of the body.
	Truncate
	// BadChecksum alters a byte of the body.
	BadChecksum
	// WrongAttempt sends the response to another attempt.
	WrongAttempt
	// Duplicate sends the response twice.
	Duplicate
	// NoLength sends a body without a Content-Length.
	NoLength
	// Oversized declares a body that exceeds the limit.
	Oversized
	// WrongLength declares a body that is shorter than the one sent.
	WrongLength
	// EndlessHeader sends 1 MiB of a header that doesn't end.
	EndlessHeader
	// QueueThenStall keeps the attempt queued and leaves the connection open without a response.
	QueueThenStall
	// RunOnRelease runs the attempt after ReleaseHeld was called.
	RunOnRelease
	// RunWithoutRetaining runs the attempt, closes the connection and discards the response.
	RunWithoutRetaining
	// InvalidStatus sends the response with status 42.
	InvalidStatus
	endOfFaults
)

// FaultCount is the number of faults.
const FaultCount = int(endOfFaults)

// Agent is a fake agent that listens on loopback.
type Agent struct {
	Name string

	listener net.Listener
	// Run stands in for the upstream and returns the body of the response.
	Run func(method, path string, body []byte) string
	// FaultFor returns the fault of the n-th attempt, from 0.
	FaultFor func(n int) Fault

	mu             sync.Mutex
	incarnation    string
	attempts       map[string]*attemptRecord
	nextIndex      int
	runs           map[string]int
	received       int
	silencedUpTo   int
	connections    int
	resolvesToDrop int
	released       chan struct{}
	connNumbers    map[net.Conn]int
	lastHeaders    http.Header
	done           chan struct{}
}

// attemptRecord is the state of an attempt and its retained response.
type attemptRecord struct {
	state  structs.AttemptState
	answer []byte
}

// New starts a fake agent on loopback.
func New(name string) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{
		Name: name, listener: listener, incarnation: name + "-1", attempts: map[string]*attemptRecord{}, runs: map[string]int{},
		released: make(chan struct{}), connNumbers: map[net.Conn]int{}, done: make(chan struct{}),
		Run: func(_, path string, body []byte) string { return path + ":" + string(body) },
	}
	go a.accept()
	return a, nil
}

// Close stops the agent and all of its connections.
func (a *Agent) Close() {
	_ = a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.done:
	default:
		close(a.done)
	}
	for c := range a.connNumbers {
		_ = c.Close()
	}
}

// Address returns the address on which the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Fleet is the name of the fleet in announcements.
const Fleet = "test"

// Announcement returns a valid announcement of one upstream.
func (a *Agent) Announcement(service string, sequence int64) structs.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return structs.Announcement{
		Fleet: Fleet, Agent: a.Name, Incarnation: a.incarnation, Sequence: sequence, StartedUnixNano: int64(len(a.incarnation)),
		Address: a.Address(), FailureDomain: "patan",
		Upstreams: []structs.Upstream{{Service: service, Slots: 8, Connections: 64}},
	}
}

// Restart simulates a restart: the agent gets a new incarnation, forgets all attempts and closes its connections.
func (a *Agent) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation += "x"
	a.attempts = map[string]*attemptRecord{}
	for c := range a.connNumbers {
		_ = c.Close()
	}
}

// ScriptFaults sets the faults of the next attempts; later ones have none.
func (a *Agent) ScriptFaults(script ...Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.nextIndex
	a.FaultFor = func(n int) Fault {
		if n-first < len(script) {
			return script[n-first]
		}
		return NoFault
	}
}

// SilenceOpenConnections makes the agent ignore all requests on the connections that are open now. New ones work.
func (a *Agent) SilenceOpenConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silencedUpTo = a.connections
}

// DropResolves makes the agent close the connections of the next n resolves without a response.
func (a *Agent) DropResolves(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolvesToDrop = n
}

// ReleaseHeld lets the attempts with the fault RunOnRelease run.
func (a *Agent) ReleaseHeld() { close(a.released) }

// Runs returns how often the upstream ran.
func (a *Agent) Runs() (total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.runs {
		total += n
	}
	return total
}

// RunsOf returns how often the upstream ran with a body.
func (a *Agent) RunsOf(body string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[body]
}

// AttemptsReceived returns the number of attempts that arrived.
func (a *Agent) AttemptsReceived() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

// Connections returns the number of accepted connections.
func (a *Agent) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections
}

// LastHeaders returns the headers of the newest attempt.
func (a *Agent) LastHeaders() http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastHeaders.Clone()
}

func (a *Agent) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.connections++
		number := a.connections
		a.connNumbers[c] = number
		a.mu.Unlock()
		go a.serve(c, number)
	}
}

func (a *Agent) silenced(number int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return number <= a.silencedUpTo
}

// serve handles the requests on one connection.
func (a *Agent) serve(c net.Conn, number int) {
	defer func() {
		_ = c.Close()
		a.mu.Lock()
		delete(a.connNumbers, c)
		a.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if a.silenced(number) {
			a.stall(c)
			return
		}
		id, action, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/")
		ok := true
		switch {
		case request.URL.Path == "/v1/ping":
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case action == "resolve":
			ok = a.serveResolve(c, id, request.Header.Get(structs.HeaderAgentIncarnation))
		case action == "answer":
			ok = a.serveAnswer(c, id, request)
		default:
			ok = a.serveAttempt(c, id, request, body)
		}
		if err != nil || !ok {
			return
		}
	}
}

// stall keeps the connection open and sends nothing until the peer closes it.
func (a *Agent) stall(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func (a *Agent) serveResolve(c net.Conn, id, expectedIncarnation string) bool {
	a.mu.Lock()
	if a.resolvesToDrop > 0 {
		a.resolvesToDrop--
		a.mu.Unlock()
		return false
	}
	record := a.attempts[id]
	state := structs.AttemptNeverSeen
	switch {
	case expectedIncarnation != "" && expectedIncarnation != a.incarnation:
		state = structs.AttemptUnknown
	case record == nil:
		a.attempts[id] = &attemptRecord{state: structs.AttemptRefused}
	case record.state == structs.AttemptQueued:
		record.state, state = structs.AttemptCancelled, structs.AttemptCancelled
	default:
		state = record.state
	}
	incarnation := a.incarnation
	a.mu.Unlock()
	body := fmt.Sprintf(`{"attempt":%q,"incarnation":%q,"state":%q}`, id, incarnation, state)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// serveAnswer sends the retained response to an attempt. While the attempt is queued or running, it waits for up to the
// time that the request gives.
func (a *Agent) serveAnswer(c net.Conn, id string, request *http.Request) bool {
	millis, _ := strconv.Atoi(request.Header.Get(structs.HeaderBudgetMillis))
	for waited := 0; ; waited++ {
		a.mu.Lock()
		record := a.attempts[id]
		answer := Response(id, http.StatusGatewayTimeout, structs.OutcomeUnknown, "")
		live := record != nil && (record.state == structs.AttemptQueued || record.state == structs.AttemptRunning)
		if record != nil && record.answer != nil {
			answer = record.answer
		} else if record != nil && record.state.NotRun() {
			answer = Response(id, http.StatusServiceUnavailable, structs.OutcomeNotRun, "")
		}
		a.mu.Unlock()
		if !live || waited >= millis {
			_, err := c.Write(answer)
			return err == nil
		}
		if waited%int(interimInterval/time.Millisecond) == 0 {
			_, _ = io.WriteString(c, interimPrefix+string(structs.AttemptRunning)+"\r\n\r\n")
		}
		time.Sleep(time.Millisecond)
	}
}

// Response returns the bytes of a complete response to an attempt.
func Response(id string, status int, outcome structs.Outcome, body string) []byte {
	var b bytes.Buffer
	sum := xxhash.Sum64String(body)
	raw := []byte{
		byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32), byte(sum >> 24), byte(sum >> 16),
		byte(sum >> 8), byte(sum),
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%sX-From: upstream\r\n\r\n%s",
		status, len(body), structs.HeaderAttempt, id, structs.HeaderChecksum, hex.EncodeToString(raw),
		structs.HeaderOutcome, outcome, structs.HeaderLoad, "running=1;queued=0;slots=8", structs.HeaderForwardPrefix, body)
	return b.Bytes()
}

const (
	interimPrefix   = "HTTP/1.1 102 Processing\r\nQuetzalshed-State: "
	interimInterval = 20 * time.Millisecond
)

// holdUntilReleased sends interim responses until ReleaseHeld is called.
func (a *Agent) holdUntilReleased(c net.Conn, state structs.AttemptState) {
	ticker := time.NewTicker(interimInterval)
	defer ticker.Stop()
	for {
		_, _ = io.WriteString(c, interimPrefix+string(state)+"\r\n\r\n")
		select {
		case <-a.released:
			return
		case <-a.done:
			return
		case <-ticker.C:
		}
	}
}

// CloseConnections closes all connections. The agent still accepts new ones.
func (a *Agent) CloseConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.connNumbers {
		_ = c.Close()
	}
}

// States returns the number of attempts in each state.
func (a *Agent) States() map[structs.AttemptState]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[structs.AttemptState]int{}
	for _, record := range a.attempts {
		counts[record.state]++
	}
	return counts
}
