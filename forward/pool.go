// Package forward sends requests to agents over its own HTTP/1.1 connections, resolves the outcome of each attempt, and
// decides about retries and hedges.
//
// It doesn't use http.Transport, which resends a request when a reused connection breaks and treats a request with an
// Idempotency-Key header as replayable.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	// InactivityTimeout limits the time without any byte on a connection that carries a request.
	InactivityTimeout time.Duration
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// ProbeEvery is the interval between probes of an idle connection. ProbeTimeout limits one probe.
	ProbeEvery, ProbeTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept. It limits the number of probes.
	IdleTimeout time.Duration
	// MaxPerAddress limits the connections to one agent. MaxIdle limits the idle connections to all agents.
	MaxPerAddress, MaxIdle int
	// Dial opens a connection. If nil, the pool uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnProbe is called with the result of each probe. It may be nil.
	OnProbe func(address string, roundTrip time.Duration, err error)
}

// Pool is a pool of connections to agents. It is safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu     sync.Mutex
	agents map[string]*agentConns
	idle   int
}

type agentConns struct {
	// idle is ordered by the time of return. The newest is used first, so that surplus connections reach the idle
	// timeout.
	idle []*idleConn
	open int
	// generation increases when the connections are invalidated. Connections of earlier generations aren't reused.
	generation int
}

type idleConn struct {
	*conn
	// idleSince is when the last request ended. lastProbe is when the connection last became idle after a request or a
	// probe.
	idleSince, lastProbe time.Time
}

// popNewestIdle removes and returns the newest idle connection.
func (a *agentConns) popNewestIdle() *idleConn {
	n := len(a.idle) - 1
	c := a.idle[n]
	a.idle[n] = nil
	a.idle = a.idle[:n]
	return c
}

// NewPool returns an empty Pool.
func NewPool(opts PoolOptions) *Pool {
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{opts: opts, agents: map[string]*agentConns{}}
}

// get returns an idle connection or, if there is none or forceNew is set, a new one. Its errors have the kind
// FaultNotSent or FaultPoolExhausted.
func (p *Pool) get(ctx context.Context, address string, forceNew bool) (*conn, error) {
	p.mu.Lock()
	conns := p.agents[address]
	if conns == nil {
		conns = &agentConns{}
		p.agents[address] = conns
	}
	for !forceNew && len(conns.idle) > 0 {
		c := conns.popNewestIdle()
		p.idle--
		if c.stale() {
			_ = c.raw.Close()
			conns.open--
			continue
		}
		p.mu.Unlock()
		return c.conn, nil
	}
	// Resolves use forceNew and are exempt from the limit, since they determine the outcome of requests that occupy the
	// other connections.
	if conns.open >= p.opts.MaxPerAddress && !forceNew {
		p.mu.Unlock()
		return nil, &ExchangeError{Kind: FaultPoolExhausted, Cause: eris.Errorf("%d connections are in use", p.opts.MaxPerAddress)}
	}
	conns.open++
	generation := conns.generation
	p.mu.Unlock()
	c, err := p.dial(ctx, address)
	if err != nil {
		p.connClosed(address)
		return nil, &ExchangeError{Kind: FaultNotSent, Cause: err}
	}
	c.generation = generation
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.opts.InactivityTimeout), nil
}

// connClosed removes a connection that was closed, or could not be opened, from the count.
func (p *Pool) connClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeConns(address, 1)
}

// removeConns subtracts n closed connections and deletes the agent's entry when none is left. The caller must hold the
// lock.
func (p *Pool) removeConns(address string, n int) {
	conns := p.agents[address]
	conns.open -= n
	if conns.open == 0 {
		delete(p.agents, address)
	}
}

// put returns a connection whose last request ended at lastUsed. It closes the connection if it can't be reused, was
// invalidated or has reached the idle timeout, or if the pool has the maximum of idle connections.
func (p *Pool) put(c *conn, reusable bool, lastUsed time.Time) {
	now := time.Now()
	p.mu.Lock()
	conns := p.agents[c.address]
	if !reusable || c.generation != conns.generation || p.idle >= p.opts.MaxIdle || now.Sub(lastUsed) > p.opts.IdleTimeout {
		p.removeConns(c.address, 1)
		p.mu.Unlock()
		_ = c.raw.Close()
		return
	}
	conns.idle = append(conns.idle, &idleConn{conn: c, idleSince: lastUsed, lastProbe: now})
	p.idle++
	p.mu.Unlock()
}

// InvalidateConnections closes the idle connections to an address and prevents the reuse of those in use. When one
// connection has gone silent, others of the same age are likely to be silent too.
func (p *Pool) InvalidateConnections(address string) {
	p.mu.Lock()
	conns := p.agents[address]
	if conns == nil {
		p.mu.Unlock()
		return
	}
	conns.generation++
	toClose := conns.idle
	conns.idle = nil
	p.idle -= len(toClose)
	p.removeConns(address, len(toClose))
	p.mu.Unlock()
	for _, c := range toClose {
		_ = c.raw.Close()
	}
}

// exchangeRequest describes one exchange with an agent.
type exchangeRequest struct {
	address string
	// forceNew requires a new connection.
	forceNew bool
	// build returns the HTTP request. It is called after a connection was obtained.
	build func() *http.Request
	// interim receives the headers of 1xx responses. It may be nil.
	interim func(http.Header)
	// validate returns an error if the response is invalid or belongs to another request. The connection is then
	// closed.
	validate func(*Response) error
}

// exchange sends one request and returns the complete, validated response.
func (p *Pool) exchange(ctx context.Context, request exchangeRequest) (*Response, error) {
	c, err := p.get(ctx, request.address, request.forceNew)
	if err != nil {
		return nil, err
	}
	reservation := memoryReservation{ctx: ctx, memory: memoryFromContext(ctx)}
	m, reusable, err := c.roundTrip(ctx, request.build(), request.interim, reservation.reserve)
	if err == nil {
		err = request.validate(m)
	}
	if err != nil {
		reservation.release()
	}
	p.put(c, reusable && err == nil, time.Now())
	if err != nil {
		return nil, err
	}
	return m, nil
}

// Counts returns the number of open and of idle connections.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.agents {
		open += conns.open
	}
	return open, p.idle
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.agents))
	for address := range p.agents {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.InvalidateConnections(address)
	}
}
