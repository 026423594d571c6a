// Package forward sends requests to agents over its own HTTP/1.1 connections, finds out what became of each, and decides
// about retries and hedges.
//
// http.Transport isn't used: it sends a request again by itself when a reused connection breaks, and it treats a request
// with an Idempotency-Key header as replayable.
package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// PoolOptions configures a pool.
type PoolOptions struct {
	// Silence is how long a connection in use may carry no byte before it is dropped.
	Silence time.Duration
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// ProbeEvery is how long a connection is idle before it is probed; ProbeTimeout bounds one probe.
	ProbeEvery, ProbeTimeout time.Duration
	// IdleTimeout closes connections that carried no request for this long, which bounds the number of probes.
	IdleTimeout time.Duration
	// MaxPerAddress bounds the connections to one agent; MaxIdle bounds the idle connections to all agents.
	MaxPerAddress, MaxIdle int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnProbe is told the result of each probe and may be nil.
	OnProbe func(address string, roundTrip time.Duration, err error)
}

// Pool holds connections to agents. It is safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu    sync.Mutex
	peers map[string]*peer
	idle  int
}

type peer struct {
	// idle is ordered by the time of return; the newest is used first, so that surplus connections time out.
	idle []*idleConn
	open int
	// distrust grows when a connection of this peer proved silent; connections opened earlier are not used again.
	distrust int
}

type idleConn struct {
	*conn
	// since is when the last request ended, probed when the last probe ended.
	since, probed time.Time
}

// takeIdle removes the newest idle connection.
func (p *peer) takeIdle() *idleConn {
	n := len(p.idle) - 1
	c := p.idle[n]
	p.idle[n] = nil
	p.idle = p.idle[:n]
	return c
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{opts: opts, peers: map[string]*peer{}}
}

// get returns an idle connection or, if there is none or fresh is set, a new one. Its errors are of kind FaultNotSent.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	p.mu.Lock()
	known := p.peers[address]
	if known == nil {
		known = &peer{}
		p.peers[address] = known
	}
	for !fresh && len(known.idle) > 0 {
		c := known.takeIdle()
		p.idle--
		if c.stale() {
			_ = c.raw.Close()
			known.open--
			continue
		}
		p.mu.Unlock()
		return c.conn, nil
	}
	// Connections for resolution are exempt from the bound: they decide the outcome of requests that hold the others.
	if known.open >= p.opts.MaxPerAddress && !fresh {
		p.mu.Unlock()
		return nil, &AttemptError{Kind: FaultExhausted, Cause: eris.Errorf("%d connections are in use", p.opts.MaxPerAddress)}
	}
	known.open++
	distrust := known.distrust
	p.mu.Unlock()
	c, err := p.dial(ctx, address)
	if err != nil {
		p.closed(address)
		return nil, &AttemptError{Kind: FaultNotSent, Cause: err}
	}
	c.distrust = distrust
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.opts.Silence), nil
}

// closed counts a connection that was closed, or not opened.
func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(address, 1)
}

// forget counts closed connections and drops a peer without any. The caller holds the lock.
func (p *Pool) forget(address string, n int) {
	known := p.peers[address]
	known.open -= n
	if known.open == 0 {
		delete(p.peers, address)
	}
}

// put returns a connection whose last request ended at used. It is closed when it can't be used again or the pool has
// enough.
func (p *Pool) put(c *conn, reusable bool, used time.Time) {
	now := time.Now()
	p.mu.Lock()
	known := p.peers[c.address]
	if !reusable || c.distrust != known.distrust || p.idle >= p.opts.MaxIdle || now.Sub(used) > p.opts.IdleTimeout {
		p.forget(c.address, 1)
		p.mu.Unlock()
		_ = c.raw.Close()
		return
	}
	known.idle = append(known.idle, &idleConn{conn: c, since: used, probed: now})
	p.idle++
	p.mu.Unlock()
}

// Distrust closes the idle connections to an address and lets none that is open now be used again. One silent connection
// makes it likely that others which are as old are silent too.
func (p *Pool) Distrust(address string) {
	p.mu.Lock()
	known := p.peers[address]
	if known == nil {
		p.mu.Unlock()
		return
	}
	known.distrust++
	dropped := known.idle
	known.idle = nil
	p.idle -= len(dropped)
	p.forget(address, len(dropped))
	p.mu.Unlock()
	for _, c := range dropped {
		_ = c.raw.Close()
	}
}

// call is one request to an agent.
type call struct {
	address string
	// fresh asks for a new connection.
	fresh bool
	// build returns the request; it is called once a connection is there.
	build func() *http.Request
	// interim receives the headers of interim responses and may be nil.
	interim func(http.Header)
	// check refuses a response that doesn't belong to the request. Its connection is not used again.
	check func(*Message) error
}

// exchange sends one request and returns the whole, checked response.
func (p *Pool) exchange(ctx context.Context, k call) (*Message, error) {
	c, err := p.get(ctx, k.address, k.fresh)
	if err != nil {
		return nil, err
	}
	room := room{ctx: ctx, memory: memoryOf(ctx)}
	m, reusable, err := c.roundTrip(ctx, k.build(), k.interim, room.take)
	if err == nil {
		err = k.check(m)
	}
	if err != nil {
		room.giveBack()
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
	for _, known := range p.peers {
		open += known.open
	}
	return open, p.idle
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.peers))
	for address := range p.peers {
		addresses = append(addresses, address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.Distrust(address)
	}
}
