package clock

import "time"

// Boot is a clock that keeps running while the host is suspended. It measures leases, other permissions that expire, and the ages of
// reports, since other hosts and executors keep running too. It is not affected by changes of the time of day.
//
// Its times have no monotonic reading and may be compared only with times of the same clock. If the time since boot can't be read, the
// clock follows the monotonic clock.
type Boot struct {
	host Host
	// origin is when the clock was created on the monotonic clock, and sinceBoot the time since boot at that moment.
	origin    time.Time
	sinceBoot time.Duration
	readable  bool
}

// NewBoot returns the clock of a host. It agrees with the time of day now.
func NewBoot(host Host) *Boot {
	b := &Boot{host: host, origin: host.Now()}
	b.sinceBoot, b.readable = host.SinceBoot()
	return b
}

// Now implements Clock.
func (b *Boot) Now() time.Time {
	elapsed := b.host.Now().Sub(b.origin)
	if sinceBoot, ok := b.host.SinceBoot(); ok && b.readable {
		elapsed = sinceBoot - b.sinceBoot
	}
	return b.origin.Round(0).Add(elapsed)
}

// CountsSuspensions reports whether the clock counts the time in which the host is suspended.
func (b *Boot) CountsSuspensions() bool { return b.readable }
