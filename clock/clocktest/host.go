// Package clocktest simulates the clocks of a host that is suspended.
package clocktest

import (
	"sync"
	"time"
)

// Host holds the clocks of a simulated host, driven by package time. It implements clock.Host.
type Host struct {
	booted time.Time

	mu sync.Mutex
	// suspendedAt is when the present suspension began; zero if there is none. suspended is the length of the former ones.
	suspendedAt time.Time
	suspended   time.Duration
}

// NewHost returns the clocks of a host that has just booted.
func NewHost() *Host { return &Host{booted: time.Now()} }

// Suspend stops the monotonic clock until Resume.
func (h *Host) Suspend() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.suspendedAt.IsZero() {
		h.suspendedAt = time.Now()
	}
}

// Resume ends the suspension, if any.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.suspendedAt.IsZero() {
		h.suspended += time.Since(h.suspendedAt)
		h.suspendedAt = time.Time{}
	}
}

// Now returns the time without all suspensions.
func (h *Host) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.suspendedAt.IsZero() {
		return h.suspendedAt.Add(-h.suspended)
	}
	return time.Now().Add(-h.suspended)
}

// SinceBoot returns the time since NewHost, including suspensions.
func (h *Host) SinceBoot() (time.Duration, bool) { return time.Since(h.booted), true }
