// Package progress bounds calls by the time in which nothing arrives, so that a large answer over a slow link is received
// in full while a peer that has gone silent is still noticed soon.
package progress

import (
	"context"
	"io"
	"time"
)

// longest bounds a call that makes progress all the while.
const longest = 15 * time.Second

type key struct{}

// limit is one bound of a context; those around it are extended with it.
type limit struct {
	outer *limit
	timer *time.Timer
	quiet time.Duration
	end   time.Time
}

// WithTimeout returns a context that ends once a time has passed without a Note, and after 15 seconds in any case.
func WithTimeout(ctx context.Context, quiet time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	outer, _ := ctx.Value(key{}).(*limit)
	l := &limit{outer: outer, quiet: quiet, end: time.Now().Add(longest)}
	l.timer = time.AfterFunc(quiet, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, key{}, l), func() {
		l.timer.Stop()
		cancel(context.Canceled)
	}
}

// Note tells that something has arrived. It extends all timeouts of WithTimeout that the context is under.
func Note(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	l, _ := ctx.Value(key{}).(*limit)
	now := time.Now()
	for ; l != nil; l = l.outer {
		l.timer.Reset(min(l.quiet, l.end.Sub(now)))
	}
}

// Reader returns a reader that notes what arrives.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		Note(r.ctx)
	}
	return n, err
}
