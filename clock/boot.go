package clock

import "time"

// Boot is a clock that goes on while the host is suspended. Leases, permissions that end, and the ages of reports are judged by it:
// other hosts and executors go on, too. It is not affected by changes of the time of day.
//
// Its times have no monotonic reading and are to be compared only with times of the same clock. If the host can't tell the time
// since it booted, the clock goes on with the monotonic one.
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
