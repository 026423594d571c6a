// Package progress provides timeouts that restart whenever data arrives, so that a large response over a slow link is
// received in full while an unresponsive peer is still detected early.
package progress

import (
	"context"
	"io"
	"time"
)

// maxDuration limits a call even if it keeps making progress.
const maxDuration = 15 * time.Second

type contextKey struct{}

// idleTimer is the idle timeout of a context. Progress on the context also resets the timeouts of its parents.
type idleTimer struct {
	outer    *idleTimer
	timer    *time.Timer
	timeout  time.Duration
	deadline time.Time
}

// WithIdleTimeout returns a context that is cancelled after the given time without a call of Mark, and after 15 seconds
// in any case.
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

// Mark records progress. It restarts all idle timeouts that apply to the context.
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

// NewReader returns a reader that calls Mark whenever it has read data.
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
