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

// The faults. Those named Lose happen before the attempt is seen, so that it doesn't run.
const (
	None Fault = iota
	// LoseClose and LoseSilent swallow the request and close the connection or leave it silent.
	LoseClose
	LoseSilent
	// Reject answers that the attempt was not run.
	Reject
	// RunClose and RunSilent run the attempt and then close the connection or leave it silent.
	RunClose
	RunSilent
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
	// HugeHeader never ends the headers.
	HugeHeader
	// QueueSilent keeps the attempt queued on a connection that is silent.
	QueueSilent
	// Hold runs the attempt when Release is called.
	Hold
	// Forget runs the attempt, closes the connection and retains nothing.
	Forget
	// LowStatus delivers the response with status 42.
	LowStatus
	faults
)

// Faults is the number of faults.
const Faults = int(faults)

// Agent is a fake agent.
type Agent struct {
	Name string

	listener net.Listener
	// Run is the upstream: it returns the body of the response.
	Run func(method, path string, body []byte) string
	// Next returns the fault of the n-th attempt, from 0.
	Next func(n int) Fault

	mu          sync.Mutex
	incarnation string
	attempts    map[string]*seen
	order       int
	runs        map[string]int
	sends       int
	mute        int
	connections int
	dropResolve int
	held        chan struct{}
	open        map[net.Conn]int
	headers     http.Header
	done        chan struct{}
}

type seen struct {
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
		Name: name, listener: listener, incarnation: name + "-1", attempts: map[string]*seen{}, runs: map[string]int{},
		held: make(chan struct{}), open: map[net.Conn]int{}, done: make(chan struct{}),
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
	for c := range a.open {
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
	a.attempts = map[string]*seen{}
	for c := range a.open {
		_ = c.Close()
	}
}

// Script sets the faults of the next attempts; later ones have none.
func (a *Agent) Script(script ...Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.order
	a.Next = func(n int) Fault {
		if n-first < len(script) {
			return script[n-first]
		}
		return None
	}
}

// Mute makes all connections that are open now silent for ever. New ones work.
func (a *Agent) Mute() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute = a.connections
}

// DropResolves closes the connections of the next n resolves without a response.
func (a *Agent) DropResolves(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropResolve = n
}

// Release lets the held attempts run.
func (a *Agent) Release() { close(a.held) }

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

// Sends returns how many attempts arrived.
func (a *Agent) Sends() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sends
}

// Connections returns how many connections were accepted.
func (a *Agent) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections
}

// Headers returns the headers of the newest attempt.
func (a *Agent) Headers() http.Header {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headers.Clone()
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
		a.open[c] = number
		a.mu.Unlock()
		go a.serve(c, number)
	}
}

func (a *Agent) muted(number int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return number <= a.mute
}

func (a *Agent) serve(c net.Conn, number int) {
	defer func() {
		_ = c.Close()
		a.mu.Lock()
		delete(a.open, c)
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
		if a.muted(number) {
			a.silent(c)
			return
		}
		id, action, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/")
		ok := true
		switch {
		case request.URL.Path == "/v1/ping":
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case action == "resolve":
			ok = a.resolve(c, id, request.Header.Get(structs.HeaderAgentIncarnation))
		case action == "answer":
			ok = a.fetch(c, id, request)
		default:
			ok = a.attempt(c, id, request, body)
		}
		if err != nil || !ok {
			return
		}
	}
}

// silent keeps the connection open without a byte until the peer closes it.
func (a *Agent) silent(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func (a *Agent) resolve(c net.Conn, id, asked string) bool {
	a.mu.Lock()
	if a.dropResolve > 0 {
		a.dropResolve--
		a.mu.Unlock()
		return false
	}
	known := a.attempts[id]
	state := structs.AttemptNeverSeen
	switch {
	case asked != "" && asked != a.incarnation:
		state = structs.AttemptUnknown
	case known == nil:
		a.attempts[id] = &seen{state: structs.AttemptRefused}
	case known.state == structs.AttemptQueued:
		known.state, state = structs.AttemptCancelled, structs.AttemptCancelled
	default:
		state = known.state
	}
	incarnation := a.incarnation
	a.mu.Unlock()
	body := fmt.Sprintf(`{"attempt":%q,"incarnation":%q,"state":%q}`, id, incarnation, state)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// fetch delivers a retained response. For a live attempt it waits for as long as the request says.
func (a *Agent) fetch(c net.Conn, id string, request *http.Request) bool {
	millis, _ := strconv.Atoi(request.Header.Get(structs.HeaderBudgetMillis))
	for waited := 0; ; waited++ {
		a.mu.Lock()
		known := a.attempts[id]
		answer := Response(id, http.StatusGatewayTimeout, structs.OutcomeUnknown, "")
		live := known != nil && (known.state == structs.AttemptQueued || known.state == structs.AttemptRunning)
		if known != nil && known.answer != nil {
			answer = known.answer
		} else if known != nil && known.state.NotRun() {
			answer = Response(id, http.StatusServiceUnavailable, structs.OutcomeNotRun, "")
		}
		a.mu.Unlock()
		if !live || waited >= millis {
			_, err := c.Write(answer)
			return err == nil
		}
		if waited%int(interimEvery/time.Millisecond) == 0 {
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
	interimPrefix = "HTTP/1.1 102 Processing\r\nQuetzalshed-State: "
	interimEvery  = 20 * time.Millisecond
)

// wait sends interim responses until the held attempts are released.
func (a *Agent) wait(c net.Conn, state structs.AttemptState) {
	ticker := time.NewTicker(interimEvery)
	defer ticker.Stop()
	for {
		_, _ = io.WriteString(c, interimPrefix+string(state)+"\r\n\r\n")
		select {
		case <-a.held:
			return
		case <-a.done:
			return
		case <-ticker.C:
		}
	}
}

// CutConnections closes all connections; the agent goes on.
func (a *Agent) CutConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		_ = c.Close()
	}
}

// States counts the attempts by state.
func (a *Agent) States() map[structs.AttemptState]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[structs.AttemptState]int{}
	for _, known := range a.attempts {
		counts[known.state]++
	}
	return counts
}
