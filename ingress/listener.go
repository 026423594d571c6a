package ingress

import (
	"net"
	"net/http"
	"runtime"
	"time"
)

type connKey struct{}

// listener bounds the open connections that it has accepted.
type listener struct {
	net.Listener
	limiter *Limiter
	// max is the bound, or 0.
	max int

	// The fields below are guarded by limiter.mu. Both lists start with the connection that has been in it longest.
	open             int
	idle, incomplete connList

	// crowded is set while new connections inherit crowdedReceiveBytes from the listening socket. Only Accept uses it.
	crowded bool
}

func newListener(lim *Limiter, inner net.Listener, bound int) *listener {
	return &listener{Listener: inner, limiter: lim, max: bound, idle: connList{kind: phaseList}, incomplete: connList{kind: phaseList}}
}

// Accept returns the next connection. At the bound, it closes the connection that has been idle longest, or the one whose request
// has been incomplete longest. If all have a complete request, the new connection is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close()
		l.limiter.events.record(connectionRefused, "address", l.Addr(), "open", l.max)
	}
}

func (l *listener) admit(c *conn) bool {
	l.limiter.mu.Lock()
	var victim *conn
	kind := idleClosed
	if l.max > 0 && l.open >= l.max {
		if victim = l.idle.first; victim == nil {
			victim, kind = l.incomplete.first, incompleteClosed
		}
		if victim == nil {
			l.limiter.mu.Unlock()
			return false
		}
		l.remove(victim)
	}
	l.open++
	c.counted = true
	l.incomplete.push(c)
	crowded := l.max > 0 && l.open > l.max/crowdedDivisor
	l.limiter.mu.Unlock()
	l.limitReceiveBuffers(crowded)
	if victim != nil {
		_ = victim.Conn.Close()
		l.limiter.events.record(kind, "address", l.Addr(), "remote", victim.RemoteAddr(), "open", l.max)
		// Requests that have already arrived are read before more connections are accepted, which would displace them.
		runtime.Gosched()
	}
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok && crowded {
		_ = socket.SetReadBuffer(crowdedReceiveBytes)
	}
	return true
}

// remove takes a connection that is about to be closed out of the count and of all lists. The caller holds limiter.mu.
func (l *listener) remove(c *conn) {
	if c.counted {
		c.counted = false
		l.open--
	}
	c.unlink(phaseList)
	c.unlink(bodyList)
}

// trackState implements the hook http.Server.ConnState.
func (lim *Limiter) trackState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headerLines.Store(inRequest)
	case http.StateIdle:
		c.headerLines.Store(0)
		c.writeUntil.CompareAndSwap(ownDeadline, 0)
		c.finish()
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if !c.counted {
		return
	}
	switch state {
	case http.StateActive:
		c.unlink(phaseList)
	case http.StateIdle:
		c.unlink(phaseList)
		c.listener.idle.push(c)
	case http.StateHijacked:
		c.listener.remove(c)
	}
}

func (lim *Limiter) addIncomplete(c *conn, b *body, now time.Time) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if !c.counted {
		return
	}
	c.body = b
	c.progressAt.Store(now.UnixNano())
	c.unlink(phaseList)
	c.listener.incomplete.push(c)
	if b.reservation != nil {
		lim.bodies.push(c)
	}
}

func (lim *Limiter) removeIncomplete(c *conn) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	c.unlink(phaseList)
	c.unlink(bodyList)
	c.body = nil
}
