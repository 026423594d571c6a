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
	// dialTimeout bounds a connection to an upstream on the same host.
	dialTimeout = time.Second
	// idleTimeout is below the usual keep-alive limits of HTTP servers (60 s and more), so that upstreams rarely close a
	// connection while the agent is about to use it.
	idleTimeout = 30 * time.Second
)

// errPoolClosed reports a pool whose upstream has left.
var errPoolClosed = eris.New("the upstream has left or hasn't renewed its registration")

// pool holds connections to one upstream. It never sends anything by itself.
type pool struct {
	address netip.AddrPort
	// limit is the number of connections that the upstream accepts.
	limit int
	// maxIdle is the number of slots: more idle connections are of no use. Without this bound, idle connections of requests
	// that need a new one grew to the limit, and the upstream saw more than its limit while it hadn't noticed a close yet.
	maxIdle int

	mu     sync.Mutex
	open   int
	idle   []*upstreamConn
	closed bool
	// suspended tells that the upstream hasn't renewed its registration.
	suspended bool
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	pool      *pool
	reader    *bufio.Reader
	limited   *limitedReader
	idleSince time.Time
}

// get returns a connection. With fresh, it is a new one: an idle connection may break at the moment of its use, which
// would make the outcome unknown.
func (p *pool) get(ctx context.Context, fresh bool) (*upstreamConn, error) {
	p.mu.Lock()
	if p.closed || p.suspended {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	now := time.Now()
	for !fresh && len(p.idle) > 0 {
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

// put returns a connection on which nothing is outstanding.
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

// discard closes a connection in any state.
func (p *pool) discard(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeExpiredIdle closes connections that have been idle for too long.
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

// closeAllIdle closes idle connections. It's called after a failure of one connection: connections may fall silent together,
// and a request on a silent one would occupy its slot until the run limit.
func (p *pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.closeLocked(p.popIdle())
	}
}

// setSuspended stops or allows the use of connections.
func (p *pool) setSuspended(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = suspended
}

// close closes idle connections now and the others when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeLocked(p.popIdle())
	}
}
