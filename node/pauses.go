package node

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

const (
	// pauseCheckInterval is the time between two checks of the clocks.
	pauseCheckInterval = 250 * time.Millisecond
	// minPause is the delay of a check from which the process counts as paused.
	minPause = 500 * time.Millisecond
	// minSuspension is how much the time since the host booted must exceed the monotonic time for the host to count as suspended.
	minSuspension = 100 * time.Millisecond
	// pauseLogInterval is the least time between two lines on suspensions, and between two on pauses.
	pauseLogInterval = 5 * time.Second
)

// clockReading is a reading of both clocks of a host. sinceBoot goes on while the host is suspended and is 0 if it can't be read.
type clockReading struct {
	monotonic time.Time
	sinceBoot time.Duration
}

func readClocks(host clock.Host) clockReading {
	r := clockReading{monotonic: host.Now()}
	if sinceBoot, ok := host.SinceBoot(); ok {
		r.sinceBoot = sinceBoot
	}
	return r
}

// suspendedSince returns for how long the host was suspended since an earlier reading; 0 if a clock could not be read.
func (r clockReading) suspendedSince(earlier clockReading) time.Duration {
	if r.sinceBoot == 0 || earlier.sinceBoot == 0 {
		return 0
	}
	return max(r.sinceBoot-earlier.sinceBoot-r.monotonic.Sub(earlier.monotonic), 0)
}

// pauseWatch finds out for how long the host was suspended or the process was not scheduled between two checks.
type pauseWatch struct {
	last              clockReading
	suspended, paused pauseLog
}

// pauseLog collects the pauses of one sort until they may be logged.
type pauseLog struct {
	loggedAt time.Time
	total    time.Duration
	count    int
}

func (l *pauseLog) add(pause time.Duration) {
	l.total += pause
	l.count++
}

// take returns the collected pauses and resets them, if there are any and a line may be logged.
func (l *pauseLog) take(now time.Time) (total time.Duration, count int) {
	if l.count == 0 || !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < pauseLogInterval {
		return 0, 0
	}
	total, count = l.total, l.count
	*l = pauseLog{loggedAt: now}
	return total, count
}

// check compares a reading with the one of the previous check, which was to be pauseCheckInterval ago.
func (w *pauseWatch) check(r clockReading) {
	if suspension := r.suspendedSince(w.last); suspension >= minSuspension {
		w.suspended.add(suspension)
	}
	if pause := r.monotonic.Sub(w.last.monotonic) - pauseCheckInterval; pause >= minPause {
		w.paused.add(pause)
	}
	w.last = r
}

// watchPauses logs and counts suspensions of the host and pauses of the process until ctx ends.
func (n *Node) watchPauses(ctx context.Context) {
	w := pauseWatch{last: readClocks(n.host)}
	for ctx.Err() == nil {
		n.sleep(ctx, nil, pauseCheckInterval)
		r := readClocks(n.host)
		w.check(r)
		n.logPauses(&w, r.monotonic)
	}
}

// logPauses logs and counts what the watch has collected.
func (n *Node) logPauses(w *pauseWatch, now time.Time) {
	if total, count := w.suspended.take(now); count > 0 {
		n.metrics.suspensions.Inc(int64(count))
		n.log.Warn("host was suspended", "duration_ms", total.Milliseconds(), "suspensions", count)
	}
	if total, count := w.paused.take(now); count > 0 {
		n.metrics.pauses.Inc(int64(count))
		n.log.Warn("process was paused", "duration_ms", total.Milliseconds(), "pauses", count)
	}
}
