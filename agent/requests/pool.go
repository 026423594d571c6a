package requests

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout limits the time to connect to an upstream, which runs on the same host.
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual keep-alive timeouts of HTTP servers (60 s and more), so that an upstream rarely
	// closes a connection just as the agent begins to use it.
	idleTimeout = 30 * time.Second
)

// errPoolClosed is returned by a pool that is closed or suspended.
var errPoolClosed = eris.New("the upstream has left or hasn't renewed its registration")

// pool is a pool of connections to one upstream. It never sends anything itself.
type pool struct {
	address netip.AddrPort
	// limit is the maximum number of connections that the upstream accepts.
	limit int
	// maxIdle is the number of slots, since no more connections can be in use at the same time. Without this limit, each
	// request that needed a new connection added an idle one, up to limit. When a connection was then replaced before the
	// upstream had noticed that the old one was closed, the upstream exceeded its own limit.
	maxIdle int

	mu     sync.Mutex
	open   int
	idle   []*upstreamConn
	closed bool
	// suspended is true while the upstream's registration has expired.
	suspended bool
}

// upstreamConn is a pooled connection to an upstream.
type upstreamConn struct {
	net.Conn
	pool      *pool
	reader    *bufio.Reader
	limited   *limitedReader
	idleSince time.Time
}

// get returns an idle connection or a new one. With forceNew it always returns a new one, for requests that must not be
// sent over an idle connection: an idle one may break just as it is used, which would make the outcome unknown.
func (p *pool) get(ctx context.Context, forceNew bool) (*upstreamConn, error) {
	p.mu.Lock()
	if p.closed || p.suspended {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	now := time.Now()
	for !forceNew && len(p.idle) > 0 {
		c := p.popIdle()
		if now.Sub(c.idleSince) < idleTimeout && !closedOrReadable(c.Conn) {
			p.mu.Unlock()
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.closeLocked(p.popIdle())
	}
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, eris.Errorf("all %d connections to the upstream are in use", p.limit)
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx)
}

func (p *pool) dial(ctx context.Context) (*upstreamConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, eris.Wrap(err, "connecting to the upstream")
	}
	c := &upstreamConn{Conn: raw, pool: p, limited: &limitedReader{source: raw}}
	c.reader = bufio.NewReader(c.limited)
	return c, nil
}

func (p *pool) popIdle() *upstreamConn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

func (p *pool) closeLocked(c *upstreamConn) {
	_ = c.Close()
	p.open--
}

// put returns a connection without an outstanding request or response to the pool.
func (p *pool) put(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// discard closes a connection, whatever state it is in.
func (p *pool) discard(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeExpiredIdle closes connections that have been idle for idleTimeout.
func (p *pool) closeExpiredIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= idleTimeout {
			p.closeLocked(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// closeAllIdle closes all idle connections. It's called when a request has failed or is still running at its deadline,
// since several connections may stop delivering data at the same time, and a request on such a connection would occupy
// its slot until the run limit.
func (p *pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeLocked(p.popIdle())
	}
}

// setSuspended sets whether get refuses to return connections.
func (p *pool) setSuspended(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = suspended
}

// close closes idle connections immediately and the others when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeLocked(p.popIdle())
	}
}
