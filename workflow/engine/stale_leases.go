package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// An executor that starts again under its ID may carry out calls that were meant for its former incarnation, and hold the lease that they
// carry: a stale lease. It may last longer than the leases that this owner grants, by which it, and a next owner, tell when runs have
// ended. So nothing starts on the executor until the stale lease ends no later than the granted one.

// staleLease is what is known of the stale lease of a host's executor.
type staleLease struct {
	// bounded is set once it is known that the current incarnation has none, or can get no further one. That holds for good: it has seen
	// its own fencing token.
	bounded bool
	// expires is when it has ended; zero if there was none.
	expires time.Time
}

// applyStaleLease takes over what a report says of the stale lease of its executor, which is that of the node.
func (e *Engine) applyStaleLease(n *node, r *workflow.Report, now time.Time) {
	s := r.StaleLease
	if s != nil && s.OfFormerProcess && (n.staleLease.bounded || e.IsFirstProcess(n.name, r.Incarnation) || e.hasOrderedRun(n.executorIncarnation)) {
		s = nil
	}
	switch {
	case s != nil && s.LeftMillis > 0:
		left := time.Duration(s.LeftMillis) * time.Millisecond
		n.staleLease.expires = now.Add(left + e.settings.StopMargin)
	case r.Listed && r.StaleLease == nil:
		n.staleLease.expires = time.Time{}
	}
	if r.Listed && (s == nil || !s.Unbounded) {
		n.staleLease.bounded = true
	}
}

// IsFirstProcess reports whether no owner has granted a lease to a former process of a host's node. process is the start time of the
// present one.
func (e *Engine) IsFirstProcess(host string, process int64) bool {
	n := e.nodes[host]
	return n != nil && n.incarnation == process && e.settings.FirstOwner && !n.hadLeaseBefore
}

// hasReassigned reports whether a former owner has moved one of the tasks to the incarnation that has them, so that a stale call may have
// started it there.
func hasReassigned(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool { return t.reassignedBefore })
}

// hasOrderedRun reports whether a former owner has ordered a run on an incarnation. It did so only once its own lease outlasted a
// stale one.
func (e *Engine) hasOrderedRun(incarnation string) bool {
	return slices.ContainsFunc(e.tasksWithRun[incarnation], func(t *task) bool { return t.restored && !t.reassigned })
}

// outlastsStaleLease reports whether the lease that this owner has granted lasts as long as the stale lease.
func (n *node) outlastsStaleLease() bool {
	return n.staleLease.bounded && !n.staleLease.expires.After(n.leaseExpires)
}

// forgetStaleLease prepares for another incarnation of the host's executor. A stale lease of a former incarnation under its ID may have
// been given to it.
func (n *node) forgetStaleLease(id string) {
	n.staleLease.bounded = false
	if !n.known || !hasExecutorID(n.executorIncarnation, id) {
		n.staleLease.expires = time.Time{}
	}
}

func init() {
	registerStaticFilter("stale_lease", func(_ *placementRequest, n *node) bool { return n.outlastsStaleLease() })
}
