// Package rpctest simulates a network between HTTP handlers within one process, with faults, for tests in virtual time.
package rpctest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Network forwards calls to the handlers that are registered by address.
type Network struct {
	// Delay is the latency in each direction.
	Delay time.Duration

	mu          sync.Mutex
	handlers    map[string]http.Handler
	partitioned map[string]bool
	// lateShare is the share of calls that get no response and are carried out late, up to maxLateness after they were sent.
	lateShare   float64
	maxLateness time.Duration
	random      *rand.Rand
	// calls counts the calls by path.
	calls map[string]int
}

// New returns a network without handlers.
func New() *Network {
	return &Network{handlers: map[string]http.Handler{}, partitioned: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2)), calls: map[string]int{}}
}

// Handle registers the handler of an address. A nil handler removes it, so that connections to the address are refused.
func (n *Network) Handle(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if handler == nil {
		delete(n.handlers, address)
		return
	}
	n.handlers[address] = handler
}

// SetPartitioned cuts an address off or reconnects it. Calls to or from a partitioned address get no response.
func (n *Network) SetPartitioned(address string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[address] = partitioned
}

// SetLate makes a share of the calls get no response. They are carried out up to maxLateness after they were sent, when their
// callers may have given up, unless one of the two addresses is then cut off.
func (n *Network) SetLate(share float64, maxLateness time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lateShare, n.maxLateness = share, maxLateness
}

// Calls returns the number of calls to paths that begin with a prefix.
func (n *Network) Calls(prefix string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for path, count := range n.calls {
		if strings.HasPrefix(path, prefix) {
			total += count
		}
	}
	return total
}

func (n *Network) countCall(path string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[path]++
}

// drawLateness returns the delay after which a call is carried out without a response; 0 for a call that isn't late.
func (n *Network) drawLateness() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lateShare == 0 || n.random.Float64() >= n.lateShare {
		return 0
	}
	return time.Duration(n.random.Int64N(int64(n.maxLateness))) + 1
}

// Reaches reports whether an address has a handler and is not cut off.
func (n *Network) Reaches(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[address] != nil && !n.partitioned[address]
}

// Transport returns the transport for calls from an address.
func (n *Network) Transport(address string) http.RoundTripper { return &transport{n, address} }

type transport struct {
	network *Network
	from    string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.network.countCall(r.URL.Path)
	handler, partitioned := t.lookup(r.URL.Host)
	if partitioned {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	lateness := t.network.drawLateness()
	ctx := r.Context()
	if lateness > 0 {
		ctx = context.WithoutCancel(ctx)
	}
	request, err := t.cloneRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	if lateness > 0 {
		time.AfterFunc(lateness, func() { t.deliverLate(r.URL.Host, request) })
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if err := sleep(r.Context(), t.network.Delay); err != nil {
		return nil, err
	}
	responses := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		responses <- recorder.Result()
	}()
	select {
	case response := <-responses:
		if _, partitioned := t.lookup(r.URL.Host); partitioned {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		if err := sleep(r.Context(), t.network.Delay); err != nil {
			return nil, err
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// deliverLate carries out a call of which the caller gets no response.
func (t *transport) deliverLate(to string, request *http.Request) {
	if handler, partitioned := t.lookup(to); handler != nil && !partitioned {
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
}

func (t *transport) lookup(to string) (http.Handler, bool) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.network.handlers[to], t.network.partitioned[to] || t.network.partitioned[t.from]
}

// cloneRequest returns the server-side copy of a request, with the given context.
func (t *transport) cloneRequest(ctx context.Context, r *http.Request) (*http.Request, error) {
	var body []byte
	if r.Body != nil {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = data
	}
	request := httptest.NewRequestWithContext(ctx, r.Method, r.URL.String(), bytes.NewReader(body))
	request.Header = r.Header.Clone()
	return request, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
