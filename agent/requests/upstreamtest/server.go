// Package upstreamtest provides a test upstream: an HTTP/1.1 server that counts executions and injects faults on request.
// It uses plain connections rather than net/http's server, so that it can send truncated or malformed responses. No
// production package imports it.
package upstreamtest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a way in which the server fails a request.
type Fault string

// The faults. All of them count as an execution, except FaultBreakBefore and FaultEarly.
const (
	FaultNone Fault = ""
	// FaultBreakBefore closes the connection before the request is read.
	FaultBreakBefore Fault = "break-before"
	// FaultBreakAfter closes the connection after the request was read and executed.
	FaultBreakAfter Fault = "break-after"
	// FaultTruncate sends the headers and half of the body, then closes the connection.
	FaultTruncate Fault = "truncate"
	// FaultStall executes the request and sends nothing until the server is closed.
	FaultStall Fault = "stall"
	// FaultStallBody sends the headers and half of the body, then nothing until the server is closed.
	FaultStallBody Fault = "stall-body"
	// FaultUnbounded sends a response without a length that ends when the connection is closed.
	FaultUnbounded Fault = "unbounded"
	// FaultEarly responds with 413 before the body is read and closes the connection.
	FaultEarly Fault = "early"
	// FaultExtra sends a second response, which belongs to no request, after the first.
	FaultExtra Fault = "extra"
)

// Request headers that override the Behaviour or control the response and the counts.
const (
	HeaderFault   = "Standin-Fault"
	HeaderDelayMS = "Standin-Delay-Ms"
	// HeaderSize is the requested size of the response body in bytes.
	HeaderSize = "Standin-Size"
	// HeaderKey is the key under which the request is counted. Without it, the path is the key.
	HeaderKey = "Idempotency-Key"
)

// Behaviour determines the run time and the faults of requests that don't override them by headers.
type Behaviour struct {
	// ServiceTime is how long each request runs, plus a random time below Jitter.
	ServiceTime time.Duration `json:"service_time"`
	Jitter      time.Duration `json:"jitter"`
	// FaultRate is the fraction of requests that get the fault, from 0 to 1.
	FaultRate float64 `json:"fault_rate"`
	Fault     Fault   `json:"fault"`
}

// maxKeys limits the number of counted keys; requests with further keys are counted under "other".
const maxKeys = 1 << 20

// Counts holds the numbers of requests and connections that the server has seen.
type Counts struct {
	Executions  map[string]int `json:"executions"`
	Total       int            `json:"total"`
	Running     int            `json:"running"`
	MaxRunning  int            `json:"max_running"`
	Connections int            `json:"connections"`
	// MaxConnections is the highest number of concurrent connections, Accepted the total number.
	MaxConnections int `json:"max_connections"`
	Accepted       int `json:"accepted"`
}

// Server is a test upstream.
type Server struct {
	listener net.Listener
	closing  chan struct{}
	done     sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	behaviour Behaviour
	counts    Counts
	conns     map[net.Conn]bool
}

// Listen starts a server on an address. The seed determines its random numbers.
func Listen(address string, behaviour Behaviour, seed uint64) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listening")
	}
	s := &Server{
		listener: listener, closing: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 0)), behaviour: behaviour,
		counts: Counts{Executions: map[string]int{}}, conns: map[net.Conn]bool{},
	}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes all connections and stops the server.
func (s *Server) Close() {
	close(s.closing)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// SetBehaviour sets the behaviour for further requests.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Executions = make(map[string]int, len(s.counts.Executions))
	for key, n := range s.counts.Executions {
		counts.Executions[key] = n
	}
	return counts
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.counts.Accepted++
		s.counts.Connections++
		s.counts.MaxConnections = max(s.counts.MaxConnections, s.counts.Connections)
		s.mu.Unlock()
		s.done.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.counts.Connections--
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil || s.pickFault() == FaultBreakBefore {
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil || !s.respond(c, r) {
			return
		}
	}
}

// pickFault returns the fault of the behaviour with the probability FaultRate, and FaultNone otherwise.
func (s *Server) pickFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.Fault == FaultNone || s.random.Float64() >= s.behaviour.FaultRate {
		return FaultNone
	}
	return s.behaviour.Fault
}

// respond executes a request and reports whether the connection can be reused.
func (s *Server) respond(c net.Conn, r *http.Request) bool {
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		return s.serveAdmin(c, r)
	}
	fault := Fault(r.Header.Get(HeaderFault))
	if fault == FaultNone {
		fault = s.pickFault()
	}
	if fault == FaultEarly {
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	n := s.beginExecution(r)
	s.simulateServiceTime(r)
	s.endExecution()
	return s.writeResponse(c, r, fault, n, body)
}

func (s *Server) beginExecution(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(HeaderKey)
	if key == "" {
		key = r.URL.Path
	}
	if _, known := s.counts.Executions[key]; !known && len(s.counts.Executions) >= maxKeys {
		key = "other"
	}
	s.counts.Executions[key]++
	s.counts.Total++
	s.counts.Running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.counts.Running)
	return s.counts.Executions[key]
}

func (s *Server) simulateServiceTime(r *http.Request) {
	s.mu.Lock()
	took := s.behaviour.ServiceTime
	if s.behaviour.Jitter > 0 {
		took += time.Duration(s.random.Int64N(int64(s.behaviour.Jitter)))
	}
	s.mu.Unlock()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDelayMS)); err == nil {
		took = time.Duration(ms) * time.Millisecond
	}
	if took <= 0 {
		return
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

func (s *Server) endExecution() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
}

// writeResponse sends the response and reports whether the connection can be reused. The body is that of the request,
// unless HeaderSize requests another one.
func (s *Server) writeResponse(c net.Conn, r *http.Request, fault Fault, executions int, body []byte) bool {
	if size, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil {
		body = bytes.Repeat([]byte("q"), size)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nStandin-Executions: %d\r\nStandin-Method: %s\r\n", executions, r.Method)
	fmt.Fprintf(&head, "Standin-Uri: %s\r\nStandin-Traceparent: %s\r\n", r.RequestURI, r.Header.Get("Traceparent"))
	if fault == FaultUnbounded {
		_, _ = c.Write(append(append(head.Bytes(), "Connection: close\r\n\r\n"...), body...))
		return false
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	if r.Method == http.MethodHead {
		body = nil
	}
	switch fault {
	case FaultBreakAfter:
		return false
	case FaultStall:
		<-s.closing
		return false
	case FaultTruncate, FaultStallBody:
		_, _ = c.Write(append(head.Bytes(), body[:len(body)/2]...))
		if fault == FaultStallBody {
			<-s.closing
		}
		return false
	case FaultExtra:
		body = append(bytes.Clone(body), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"...)
	}
	_, err := c.Write(append(head.Bytes(), body...))
	return err == nil
}
