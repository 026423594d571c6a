package requests

import (
	"context"
	"sync"
)

// activeRequests counts active requests. While draining, it rejects new ones.
type activeRequests struct {
	mu       sync.Mutex
	draining bool
	count    int
	idle     chan struct{}
}

// begin counts a request, or returns false if the entry is draining.
func (a *activeRequests) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.count++
	return true
}

func (a *activeRequests) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.draining && a.count == 0 {
		close(a.idle)
	}
}

// drain rejects new requests and waits until no request is active.
func (a *activeRequests) drain(ctx context.Context) error {
	a.mu.Lock()
	if !a.draining {
		a.draining = true
		a.idle = make(chan struct{})
		if a.count == 0 {
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
