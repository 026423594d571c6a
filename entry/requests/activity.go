package requests

import (
	"context"
	"sync"
)

// activity counts requests under way and ends the intake of new ones.
type activity struct {
	mu       sync.Mutex
	draining bool
	count    int
	idle     chan struct{}
}

// begin counts a request, or returns false when the entry takes no more.
func (a *activity) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.count++
	return true
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.draining && a.count == 0 {
		close(a.idle)
	}
}

// drain ends the intake and waits until no request is under way.
func (a *activity) drain(ctx context.Context) error {
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
