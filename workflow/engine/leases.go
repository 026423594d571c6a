package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// LeaseSource tells how it is known when the lease of an executor has expired.
type LeaseSource string

// Sources of the expiry of a lease.
const (
	// LeaseOfOwner means that this owner has renewed the lease.
	LeaseOfOwner LeaseSource = "owner"
	// LeaseOfNode means that the node on the executor's host knows the lease.
	LeaseOfNode LeaseSource = "node"
	// LeaseOfTakeover means that nothing is known but that a former owner may have renewed the lease until the takeover.
	LeaseOfTakeover LeaseSource = "takeover"
)

// Lapse is an executor incarnation whose lease has expired, with the number of its tasks.
type Lapse struct {
	Incarnation string
	Tasks       int
	Source      LeaseSource
}

// applyLeaseBound takes over what a node knows of the lease of its executor. Once this owner has renewed the lease, the node's
// reports may be older than the renewal.
func (e *Engine) applyLeaseBound(n *node, b *workflow.LeaseBound, now time.Time) {
	if b == nil || b.Epoch < e.settings.Epoch || n.leaseSource == LeaseOfOwner {
		return
	}
	left := time.Duration(b.LeftMillis) * time.Millisecond
	// LeaseExpiry exceeds LeaseDuration by the drift of the executor's clock and the time that it takes to stop.
	if expires := now.Add(left + e.settings.LeaseExpiry - e.settings.LeaseDuration); expires.Before(n.leaseExpires) {
		n.leaseExpires, n.leaseSource = expires, LeaseOfNode
	}
}

// unreportedLease returns when the lease of an incarnation that no node has reported has expired. Its host's node may have
// reported without knowing an executor.
func (e *Engine) unreportedLease(host string) (time.Time, LeaseSource) {
	if n := e.nodes[host]; n != nil && n.leaseSource != LeaseOfOwner && n.leaseExpires.Before(e.unreportedExpiry) {
		return n.leaseExpires, n.leaseSource
	}
	return e.unreportedExpiry, LeaseOfTakeover
}

// ExpireLeases unassigns the tasks of executors whose leases have expired and returns these executors.
func (e *Engine) ExpireLeases(now time.Time) (lapsed []Lapse) {
	expire := func(incarnation string, expires time.Time, source LeaseSource) {
		tasks := e.assignedTo(incarnation)
		if len(tasks) == 0 || now.Before(expires) {
			return
		}
		lapsed = append(lapsed, Lapse{incarnation, len(tasks), source})
		for _, t := range tasks {
			e.unassign(t)
		}
	}
	for _, n := range e.sortedNodes {
		if n.known {
			expire(n.executorIncarnation, n.leaseExpires, n.leaseSource)
		}
	}
	for incarnation, tasks := range e.assignedTasks {
		if e.nodeByIncarnation[incarnation] == nil {
			expires, source := e.unreportedLease(tasks[0].host)
			expire(incarnation, expires, source)
		}
	}
	slices.SortFunc(lapsed, func(a, b Lapse) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return lapsed
}
