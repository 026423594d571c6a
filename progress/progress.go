// Package progress bounds calls by the time in which nothing arrives, so that a large answer over a slow link is received
// in full while a peer that has gone silent is still noticed soon.
package progress

import (
	"context"
	"io"
	"time"
)

// maxDuration bounds a call that makes progress all the while.
const maxDuration = 15 * time.Second

type contextKey struct{}

// idleTimer is one bound of a context; those around it are extended with it.
type idleTimer struct {
	outer    *idleTimer
	timer    *time.Timer
	timeout  time.Duration
	deadline time.Time
}

// WithIdleTimeout returns a context that ends once a time has passed without a Note, and after 15 seconds in any case.
func WithIdleTimeout(ctx context.Context, quiet time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	outer, _ := ctx.Value(contextKey{}).(*idleTimer)
	l := &idleTimer{outer: outer, timeout: quiet, deadline: time.Now().Add(maxDuration)}
	l.timer = time.AfterFunc(quiet, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, contextKey{}, l), func() {
		l.timer.Stop()
		cancel(context.Canceled)
	}
}

// Mark tells that something has arrived. It extends all timeouts of WithTimeout that the context is under.
func Mark(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	l, _ := ctx.Value(contextKey{}).(*idleTimer)
	now := time.Now()
	for ; l != nil; l = l.outer {
		l.timer.Reset(min(l.timeout, l.deadline.Sub(now)))
	}
}

// NewReader returns a reader that notes what arrives.
func NewReader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Mark(r.ctx)
	}
	return n, err
}
