// Package forwardtest has a fake agent that speaks the protocol between entries and agents on loopback, and that can
// misbehave on the wire in each way that the failure model names.
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

// Fault is what goes wrong with one attempt.
type Fault int

// The endOfFaults. Those named Lose happen before the attempt is seen, so that it doesn't run.
const (
	NoFault Fault = iota
	// DropThenClose and LoseSilent swallow the request and close the connection or leave it silent.
	DropThenClose
	DropThenStall
	// Reject answers that the attempt was not run.
	Reject
	// RunThenClose and RunSilent run the attempt and then close the connection or leave it silent.
	RunThenClose
	RunThenStall
	// Truncate closes the connection in the middle of the body.
	Truncate
	// BadChecksum changes a byte of the body.
	BadChecksum
	// WrongAttempt delivers the response of another attempt.
	WrongAttempt
	// Duplicate delivers the response twice.
	Duplicate
	// NoLength delivers a body that ends with the connection.
	NoLength
	// Oversized declares a body over the limit.
	Oversized
	// WrongLength declares fewer bytes than it sends.
	WrongLength
	// EndlessHeader never ends the headers.
	EndlessHeader
	// QueueThenStall keeps the attempt queued on a connection that is silent.
	QueueThenStall
	// RunOnRelease runs the attempt when Release is called.
	RunOnRelease
	// RunWithoutRetaining runs the attempt, closes the connection and retains nothing.
	RunWithoutRetaining
	// InvalidStatus delivers the response with status 42.
	InvalidStatus
	endOfFaults
)

// FaultCount is the number of faults.
const FaultCount = int(endOfFaults)

// Agent is a fake agent.
type Agent struct {
	Name string

	listener net.Listener
	// Run is the upstream: it returns the body of the response.
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

// Address is where the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Fleet is the fleet's name in announcements.
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

// Restart gives the agent a new incarnation: it forgets all attempts, and its connections break.
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

// SilenceOpenConnections makes all connections that are open now silent for ever. New ones work.
func (a *Agent) SilenceOpenConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silencedUpTo = a.connections
}

// DropResolves closes the connections of the next n resolves without a response.
func (a *Agent) DropResolves(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolvesToDrop = n
}

// ReleaseHeld lets the held attempts run.
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

// RunsOf returns how often the upstream ran a body.
func (a *Agent) RunsOf(body string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[body]
}

// AttemptsReceived returns how many attempts arrived.
func (a *Agent) AttemptsReceived() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.received
}

// Connections returns how many connections were accepted.
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

// stall keeps the connection open without a byte until the peer closes it.
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

// serveAnswer delivers a retained response. For a live attempt it waits for as long as the request says.
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

// Response returns the bytes of a whole response to an attempt.
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

// holdUntilReleased sends interim responses until the held attempts are released.
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

// CloseConnections closes all connections; the agent goes on.
func (a *Agent) CloseConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.connNumbers {
		_ = c.Close()
	}
}

// States counts the attempts by state.
func (a *Agent) States() map[structs.AttemptState]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[structs.AttemptState]int{}
	for _, record := range a.attempts {
		counts[record.state]++
	}
	return counts
}
