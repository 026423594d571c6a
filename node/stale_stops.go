package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/owner"
)

// An owner that is cut off from the node counts the leases that it has granted, and then starts the tasks elsewhere. It may not know of a
// stale lease, under which their runs go on. So the node stops them early enough that they have ended by then: an order to stop a run may
// be held up or lost, and a run may take the whole stop time of the settings to end.

const (
	// staleStopAllowance is the time that a stop may take to be accepted. It covers two rounds of repeated calls, or one call that is held
	// up for as long as an owner waits for an order.
	staleStopAllowance = owner.OrdersTimeout
	// staleStopInterval is the time between two checks while a stale lease lasts on. Timers stand still while the host is suspended, so it
	// is also the longest delay after a suspension.
	staleStopInterval = 50 * time.Millisecond
	// staleReportTime is how long after the first answer of an incarnation its runs are left alone if that leaves the time for a stop: an
	// owner that is in touch renews the lease on the report of that answer.
	staleReportTime = 250 * time.Millisecond
)

// staleRun identifies a run of the current incarnation.
type staleRun struct {
	task   string
	number int
}

// staleStop is what is known of the stop of a run under a stale lease.
type staleStop struct {
	staleRun
	incarnation string
	// underWay is set while the call is made, and sentAt is when that last began.
	underWay bool
	sentAt   time.Time
	// acceptedAt is when the executor has accepted a stop; zero if it has not. A call without an answer may have had no effect.
	acceptedAt time.Time
}

// staleStopLoop stops the runs under a stale lease in time. It runs beside the hold calls, which wait for the ends of runs, and for
// executors that don't answer.
func (n *Node) staleStopLoop(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		if !n.hasStaleLease() {
			select {
			case <-ctx.Done():
			case <-n.wakeStops:
			}
			continue
		}
		for _, stop := range n.takeStaleStops() {
			calls.Go(func() { n.stopStaleRun(ctx, stop) })
		}
		n.sleep(ctx, n.wakeStops, staleStopInterval)
	}
}

// hasStaleLease reports whether the current incarnation may hold a stale lease.
func (n *Node) hasStaleLease() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current != nil && n.staleLease.end.After(n.clock.Now())
}

// areStaleStopsDue reports whether the runs of the current incarnation have to be stopped: they may outlast the granted lease, and the time
// that their stops may take has begun. The caller holds mu.
func (n *Node) areStaleStopsDue() bool {
	if n.current == nil {
		return false
	}
	end := n.staleLease.end.Add(max(n.maxStopTime, owner.MinStopMargin))
	return end.After(n.grantedUntil.Add(owner.LeaseExpiryMargin)) && !n.clock.Now().Before(n.staleStopsDueAt())
}

// staleStopsDueAt returns when the stops of the runs under the stale lease have to begin. The caller holds mu.
func (n *Node) staleStopsDueAt() time.Time {
	limit := n.staleRunLimit()
	due := limit.Add(-n.maxStopTime - staleStopAllowance)
	if n.staleLease.ofFormerProcess && n.outlivesStaleCalls() {
		// Nothing but the restart of the node's process speaks for a stale lease, and all other runs lapse with the granted one.
		due = latest(due, n.grantedUntil)
	}
	if reported := n.staleLease.boundedAt.Add(staleReportTime); !reported.Add(n.maxStopTime).After(limit) {
		due = latest(due, reported)
	}
	return due
}

// outlivesStaleCalls reports by the time of day whether the current incarnation started so long ago that the leases of all calls for former
// ones have ended. The caller holds mu.
func (n *Node) outlivesStaleCalls() bool {
	age := time.Duration(time.Now().UnixMilli()-n.current.StartedUnixMillis) * time.Millisecond
	return age > staleCallLimit+clock.LongestOnSlowClock(n.maxLease)
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// staleRunLimit returns when the runs under the stale lease must have ended. The rest of owner.LeaseExpiryMargin is left to the drift of the
// clocks. The caller holds mu.
func (n *Node) staleRunLimit() time.Time {
	limit := n.grantedUntil.Add(owner.MinStopMargin)
	if n.staleLease.counted {
		// The owner that has granted the lease waits for the end of the stale one, too. An owner that takes over without a hand-over doesn't
		// know of the stale one, and counts the granted one from its takeover and owner.TakeoverSlack.
		limit = limit.Add(owner.TakeoverSlack)
	}
	return limit
}

// takeStaleStops returns the stops that are to be sent now. Those that were tried longest ago come first, so that calls without an answer
// keep none waiting.
func (n *Node) takeStaleStops() []*staleStop {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.areStaleStopsDue() {
		return nil
	}
	var waiting []*staleStop
	free := maxParallelOrders
	for _, run := range n.currentRuns() {
		stop := n.staleStopOf(run)
		if stop.underWay {
			free--
		} else if n.isStopNeeded(stop) {
			waiting = append(waiting, stop)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *staleStop) int { return a.sentAt.Compare(b.sentAt) })
	waiting = waiting[:min(len(waiting), max(free, 0))]
	for _, stop := range waiting {
		stop.underWay, stop.sentAt = true, n.clock.Now()
	}
	return waiting
}

// currentRuns returns the runs that the current incarnation has listed, or accepted since. The caller holds mu.
func (n *Node) currentRuns() []staleRun {
	var runs []staleRun
	if n.lists != nil {
		for i := range n.lists.Running {
			runs = append(runs, staleRun{n.lists.Running[i].Task, n.lists.Running[i].Run})
		}
	}
	for _, start := range n.unlistedStarts {
		runs = append(runs, staleRun{start.Task, start.Run})
	}
	slices.SortFunc(runs, func(a, b staleRun) int { return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number)) })
	return slices.Compact(runs)
}

// staleStopOf returns the stop of a run of the current incarnation, and adds it if there is none. The caller holds mu.
func (n *Node) staleStopOf(run staleRun) *staleStop {
	stop := n.staleStops[run]
	if stop == nil {
		stop = &staleStop{staleRun: run, incarnation: n.current.IncarnationID()}
		n.staleStops[run] = stop
	}
	return stop
}

// isStopNeeded reports whether a stop that is not under way is to be sent: the last one was not accepted, or the executor lists the run for
// longer since than a stop takes. The caller holds mu.
func (n *Node) isStopNeeded(stop *staleStop) bool {
	if stop.acceptedAt.IsZero() {
		return n.clock.Now().Sub(stop.sentAt) >= staleStopInterval
	}
	return n.listedAt.After(stop.acceptedAt.Add(n.maxStopTime + staleStopInterval))
}

// stopStaleRun sends the stop of one run, and repeats it within orderTimeout.
func (n *Node) stopStaleRun(ctx context.Context, stop *staleStop) {
	n.noteStopBeyondLease(stop.incarnation, stop.task, stop.number)
	sentAt := n.clock.Now()
	err := n.repeatOrder(ctx, func(ctx context.Context) error { return n.sendStaleStop(ctx, stop) })
	if ctx.Err() == nil {
		n.logStopAnswer(stop.incarnation, stop.task, stop.number, sentAt, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	stop.underWay = false
	if err == nil {
		stop.acceptedAt = n.clock.Now()
		signal(n.wakeHold)
	}
	signal(n.wakeStops)
}

// sendStaleStop sends a copy of the stop of a run, unless the lease has been renewed or the incarnation has been replaced since the stop was
// chosen.
func (n *Node) sendStaleStop(ctx context.Context, stop *staleStop) error {
	n.mu.Lock()
	if !n.areStaleStopsDue() || n.current.IncarnationID() != stop.incarnation {
		n.mu.Unlock()
		return ErrNotDelivered
	}
	fence := n.fence(n.callEpoch())
	n.mu.Unlock()
	return n.executor.Stop(ctx, stop.incarnation, stop.task, stop.number, fence)
}
