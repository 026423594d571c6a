package requests

import (
	"context"
	"sync"
)

// requestTracker counts active requests. While draining, it rejects new ones.
type requestTracker struct {
	mu       sync.Mutex
	draining bool
	active   int
	idle     chan struct{}
}

// begin counts a request, or returns false if the entry is draining.
func (a *requestTracker) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.active++
	return true
}

func (a *requestTracker) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	if a.draining && a.active == 0 {
		close(a.idle)
	}
}

// drain rejects new requests and waits until no request is active.
func (a *requestTracker) drain(ctx context.Context) error {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.idle = make(chan struct{})
		if a.active == 0 {
			close(a.idle)
		}
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
