// Package clock abstracts the current time, so that tests and replay can use virtual time.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. The times of a clock have a monotonic reading or never go backwards.
type Clock interface {
	Now() time.Time
}

// Host provides the clocks of a host.
type Host interface {
	// Clock is the monotonic clock, which stops while the host is suspended, as timers do.
	Clock
	// SinceBoot returns the time since the host booted, including time in which it was suspended, and false if it can't be read.
	SinceBoot() (time.Duration, bool)
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// SinceBoot implements Host.
func (System) SinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Manual is a clock that only moves when Advance is called. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a manual clock that is set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward. A negative duration is ignored.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d > 0 {
		m.now = m.now.Add(d)
	}
}
