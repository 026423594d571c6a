// Package ingress limits what untrusted clients can use of the HTTP servers of a process: the memory of all bodies, the time that a
// body or a response takes, the lines of a header, and the open connections.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/limit"
)

// Limiter applies Limits to the HTTP servers of a process. A nil Limiter applies none.
type Limiter struct {
	limits Limits
	// budget is nil if the memory is not limited.
	budget *limit.MemoryBudget
	events events

	mu sync.Mutex
	// bodies holds the connections with an incomplete body.
	bodies connList
}

// NewLimiter returns a limiter that applies limits to all servers that Protect sets up.
func NewLimiter(limits Limits, log hclog.Logger, scope tally.Scope) *Limiter {
	lim := &Limiter{limits: limits, events: newEvents(log, scope.SubScope("ingress")), bodies: connList{kind: bodyList}}
	if limits.BodyBytes > 0 {
		// A MemoryBudget leaves half of its limit to responses, which this package doesn't limit.
		lim.budget = limit.NewMemoryBudget(2 * limits.BodyBytes)
	}
	return lim
}

// Protect applies the limits to a server and returns the listener to serve it with.
func (lim *Limiter) Protect(server *http.Server, l net.Listener, share Share) net.Listener {
	if lim == nil {
		return l
	}
	server.Handler = lim.Handler(server.Handler)
	server.MaxHeaderBytes = MaxHeaderBytes
	server.IdleTimeout = IdleTimeout
	server.ConnState = lim.trackState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	return newListener(lim, l, lim.limits.connections(share))
}

// Handler returns a handler that limits the bodies of the requests that next reads.
func (lim *Limiter) Handler(next http.Handler) http.Handler {
	if lim == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := newBody(lim, r)
		defer b.release()
		// Package http looks at the body of its own request when it closes a connection with unread bytes, and gives the client time to
		// read the response only if it finds its own type there.
		limited := new(http.Request)
		*limited = *r
		limited.Body = b
		next.ServeHTTP(w, limited)
	})
}

// BodyBytes returns the memory that is held for bodies.
func (lim *Limiter) BodyBytes() int64 {
	if lim == nil || lim.budget == nil {
		return 0
	}
	return lim.budget.Used()
}

// grow holds n more bytes for a body. If they don't fit, the bodies that have made no progress for longest are evicted,
// provided that this frees enough.
func (lim *Limiter) grow(b *body, n int64) error {
	if b.reservation == nil || n <= 0 {
		return nil
	}
	priority := b.priority(n)
	ok, shortfall := b.reservation.GrowBody(n, priority)
	if ok {
		return nil
	}
	if lim.evict(b.conn, shortfall, time.Now()) {
		if ok, _ = b.reservation.GrowBody(n, priority); ok {
			return nil
		}
	}
	lim.events.record(bodyRefused, "bytes", n, "held_bytes", lim.budget.Used())
	return ErrRefused
}
