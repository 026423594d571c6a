// Package clock supplies the time to decision code, so that tests and replay can use virtual time.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the current time. Readings of one clock carry a monotonic part or never go back.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when it is told to. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time at which the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward; a negative duration leaves it as it is.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.now = m.now.Add(d)
	}
}

// SinceBoot returns the time since the host started, with the time in which it was suspended. The monotonic readings of package
// time leave that out, so that a lease that ended meanwhile would still look valid by them.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without this clock only the monotonic one bounds leases.
		return 0
	}
	return time.Duration(t.Nano())
}
