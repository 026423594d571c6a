// Package forwardtest provides a fake agent that implements the protocol between entries and agents on loopback and can
// inject each fault of the failure model.
package forwardtest

import (
	"net"
	"net/http"
	"sync"

	"github.com/quetzalshed/quetzalshed/structs"
)

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
