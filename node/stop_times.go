package node

import (
	"maps"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// maxTimedStops limits the stops whose ends are awaited at a time. Further ones are not timed.
	maxTimedStops = 1024
	// stopTimingLimit is how long the end of a stopped run is awaited. A run that the executor doesn't have never ends.
	stopTimingLimit = time.Minute
)

// stopMetrics are the metrics of stops, and of runs that may run beside another one of their task.
type stopMetrics struct {
	beyondLease, beyondCount tally.Counter
	stopTime                 tally.Histogram
}

func newStopMetrics(scope tally.Scope) stopMetrics {
	return stopMetrics{
		beyondLease: scope.Counter("node_stops_beyond_lease"), beyondCount: scope.Counter("node_runs_beyond_count"),
		stopTime: scope.Histogram("node_stop_seconds", tally.MustMakeExponentialDurationBuckets(25*time.Millisecond, 1.5, 14)),
	}
}

// timedRun identifies a run of an incarnation.
type timedRun struct {
	incarnation, task string
	number            int
}

// timedStop is the stop of a run whose end is not listed yet.
type timedStop struct {
	// sentAt is when it was first sent.
	sentAt time.Time
	// logged is set once it has been logged as one beyond the granted lease, accepted and failed once such an answer to it has.
	logged, accepted, failed bool
}

// timedStops holds the stops whose ends are not listed yet, and for which incarnation runs beyond the count of an owner have been logged.
type timedStops struct {
	stops    map[timedRun]*timedStop
	loggedOf string
}

// sent records that a run is about to be stopped, and returns its stop; nil if there are too many. Later calls of the same stop don't
// change when it was first sent.
func (s *timedStops) sent(run timedRun, now time.Time) *timedStop {
	maps.DeleteFunc(s.stops, func(_ timedRun, stop *timedStop) bool { return now.Sub(stop.sentAt) > stopTimingLimit })
	if s.stops == nil {
		s.stops = map[timedRun]*timedStop{}
	}
	if s.stops[run] == nil && len(s.stops) < maxTimedStops {
		s.stops[run] = &timedStop{sentAt: now}
	}
	return s.stops[run]
}

// ended returns how long ago a run was told to stop, and forgets its stop; false if it was not.
func (s *timedStops) ended(run timedRun, now time.Time) (time.Duration, bool) {
	stop := s.stops[run]
	if stop == nil {
		return 0, false
	}
	delete(s.stops, run)
	return now.Sub(stop.sentAt), true
}

// isAnswerNew reports whether the answer to a stop is the first of its kind, so that a stop that is repeated until its end is listed has
// few lines.
func (s *timedStops) isAnswerNew(run timedRun, err error) bool {
	stop := s.stops[run]
	if stop == nil {
		return false
	}
	known := &stop.accepted
	if err != nil {
		known = &stop.failed
	}
	isNew := !*known
	*known = true
	return isNew
}

// noteStop records that a run is about to be stopped.
func (n *Node) noteStop(incarnation, task string, number int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timedStops.sent(timedRun{incarnation, task, number}, n.clock.Now())
}

// noteStopBeyondLease records that a run which goes on under a stale lease is about to be stopped, and logs and counts that once.
func (n *Node) noteStopBeyondLease(incarnation, task string, number int) {
	fields, isNew := n.recordStopBeyondLease(timedRun{incarnation, task, number})
	if !isNew {
		return
	}
	n.metrics.stopping.beyondLease.Inc(1)
	n.log.With(fields...).Warn("run stopped beyond the granted lease", "task", task, "run", number, "executor", incarnation)
}

// recordStopBeyondLease records such a stop. It returns the fields on the leases, and whether it is to be logged.
func (n *Node) recordStopBeyondLease(run timedRun) (fields []any, isNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	stop := n.timedStops.sent(run, now)
	if stop == nil || stop.logged {
		return nil, false
	}
	stop.logged = true
	return n.leaseFields(now), true
}

// logStopAnswer logs the first answers to the stop of a run that goes on under a stale lease.
func (n *Node) logStopAnswer(incarnation, task string, number int, sentAt time.Time, err error) {
	n.mu.Lock()
	now := n.clock.Now()
	fields, isNew := n.leaseFields(now), n.timedStops.isAnswerNew(timedRun{incarnation, task, number}, err)
	n.mu.Unlock()
	if !isNew {
		return
	}
	log := n.log.With(fields...).With("task", task, "run", number, "executor", incarnation, "call_ms", now.Sub(sentAt).Milliseconds())
	if err != nil {
		log.Warn("run not stopped", "error", err)
		return
	}
	log.Info("stop beyond the granted lease accepted")
}

// leaseFields returns the log fields on how long the granted lease and the stale one last, and until when an owner counts the granted one
// at least; negative if they have ended. stale_ms is 0 if there is no stale lease. An owner counts from when it handles the report, and so
// longer than this node knows. The caller holds mu.
func (n *Node) leaseFields(now time.Time) []any {
	stale := time.Duration(0)
	if !n.staleLease.end.IsZero() {
		stale = n.staleLease.end.Sub(now)
	}
	return []any{"granted_ms", n.grantedUntil.Sub(now).Milliseconds(), "stale_ms", stale.Milliseconds(), "counted_ms", n.countedUntil().Sub(now).Milliseconds()}
}

// countedUntil returns until when an owner counts the granted lease at least, and so starts no other run of a task. The caller holds mu.
func (n *Node) countedUntil() time.Time { return n.grantedUntil.Add(owner.LeaseExpiryMargin) }

// stopFields returns the log fields on the stop of a run of which the executor has listed the end; none if it was not told to stop. The
// caller holds mu.
func (n *Node) stopFields(incarnation string, end *workflow.RunEnd) []any {
	duration, stopped := n.timedStops.ended(timedRun{incarnation, end.Task, end.Run}, n.clock.Now())
	if !stopped {
		return nil
	}
	if end.How == workflow.EndStopped {
		n.metrics.stopping.stopTime.RecordDuration(duration)
	}
	return []any{"stop_ms", duration.Milliseconds()}
}

// logRunsBeyondCount logs and counts the runs that an incarnation lists although an owner may count its lease as ended, once for an
// incarnation. Their tasks may run elsewhere, too. The caller holds mu.
func (n *Node) logRunsBeyondCount(incarnation string, lists *RunLists) {
	now := n.clock.Now()
	if len(lists.Running) == 0 || n.timedStops.loggedOf == incarnation || now.Before(n.countedUntil()) {
		return
	}
	n.timedStops.loggedOf = incarnation
	n.metrics.stopping.beyondCount.Inc(int64(len(lists.Running)))
	n.log.With(n.leaseFields(now)...).Warn("runs may have outlasted the lease that an owner counts", "executor", incarnation,
		"running", len(lists.Running), "task", lists.Running[0].Task, "run", lists.Running[0].Run)
}
