package engine

import (
	"cmp"
	"maps"
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
	// LeaseOfFormerOwner means that the former owner has stored when the lease expires.
	LeaseOfFormerOwner LeaseSource = "former owner"
	// LeaseOfTakeover means that nothing is known but that a former owner may have renewed the lease until the takeover.
	LeaseOfTakeover LeaseSource = "takeover"
)

// admitsStarts reports whether the lease of an executor's current incarnation lasts long enough for a start.
func (e *Engine) admitsStarts(n *node, now time.Time) bool {
	return n.leaseReport > 0 && n.leaseExpires.Sub(now) >= e.settings.LeaseExpiry-e.settings.LeaseDuration+workflow.MinStartLease
}

func init() {
	registerStaticFilter("lease", func(p *placementRequest, n *node) bool { return p.engine.admitsStarts(n, p.now) })
}

// applyLeaseBound takes over what a node knows of the lease of its executor. Once this owner has renewed the lease, the node's
// reports may be older than the renewal.
func (e *Engine) applyLeaseBound(n *node, b *workflow.LeaseBound, now time.Time) {
	if b == nil || b.Epoch < e.settings.Epoch || n.leaseSource == LeaseOfOwner {
		return
	}
	left := time.Duration(b.LeftMillis) * time.Millisecond
	// LeaseExpiry exceeds LeaseDuration by the drift of the executor's clock and the time that it takes to end its runs.
	if expires := now.Add(left + e.settings.LeaseExpiry - e.settings.LeaseDuration); expires.Before(n.leaseExpires) {
		n.leaseExpires, n.leaseSource = expires, LeaseOfNode
	}
}

// InheritLeases takes over what the former owner has stored of the leases of executors, counted from when it was read.
func (e *Engine) InheritLeases(leases *workflow.OwnerLeases, readAt time.Time) {
	if leases.OthersMillis > 0 {
		e.unreportedExpiry, e.unreportedSource = readAt.Add(time.Duration(leases.OthersMillis)*time.Millisecond), LeaseOfFormerOwner
	}
	for _, l := range leases.Executors {
		e.inheritedLeases[l.Incarnation] = readAt.Add(time.Duration(l.LeftMillis) * time.Millisecond)
	}
}

// FinalLeases returns the leases of the executors with runs for the next owner. This owner must not renew any lease
// from then on.
func (e *Engine) FinalLeases(now time.Time) workflow.OwnerLeases {
	// A lease that this owner has renewed may belong to an executor that has runs only in the store.
	others := max(e.unreportedExpiry.Sub(now), e.settings.LeaseExpiry)
	leases := workflow.OwnerLeases{OthersMillis: others.Milliseconds() + 1}
	for incarnation, tasks := range e.tasksWithRun {
		expires := e.lastLeaseOf(incarnation, tasks)
		leases.Executors = append(leases.Executors, workflow.ExecutorLease{
			Incarnation: incarnation, LeftMillis: expires.Sub(now).Milliseconds() + 1,
		})
	}
	for incarnation, at := range e.lapsedAt {
		if e.tasksWithRun[incarnation] == nil && now.Sub(at) < lapseStoreTime {
			// It may still have runs in the store.
			leases.Executors = append(leases.Executors, workflow.ExecutorLease{Incarnation: incarnation, LeftMillis: 1})
		}
	}
	slices.SortFunc(leases.Executors, func(a, b workflow.ExecutorLease) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	leases.Executors = leases.Executors[:min(len(leases.Executors), workflow.MaxExecutorLeases)]
	return leases
}

// leaseOf returns when the lease of an incarnation with runs of the given tasks has expired.
func (e *Engine) leaseOf(incarnation string, tasks []*task) (time.Time, LeaseSource) {
	expires, source := e.grantedLeaseOf(incarnation, tasks)
	// A run that a stale call has started may have no other lease.
	if n := e.nodes[tasks[0].host]; n != nil {
		expires = latest(expires, n.staleLease.expires)
	}
	return expires, source
}

// grantedLeaseOf is leaseOf without the stale lease that the executor's node has reported to this owner.
func (e *Engine) grantedLeaseOf(incarnation string, tasks []*task) (time.Time, LeaseSource) {
	expires, source := e.unreportedExpiry, e.unreportedSource
	// The node of the host may have reported without knowing an executor.
	n := e.nodes[tasks[0].host]
	if n != nil && n.runsIncarnation(incarnation) && n.leaseSource == LeaseOfOwner {
		return n.leaseExpires, n.leaseSource
	}
	if inherited, found := e.inheritedLeases[incarnation]; found {
		// The former owner may have known of a stale lease, which lasts longer than granted ones.
		expires, source = inherited, LeaseOfFormerOwner
	} else if hasReassigned(tasks) {
		expires = latest(expires, e.loadedAt.Add(e.settings.StaleLeaseExpiry))
	}
	if n != nil && n.leaseSource == LeaseOfNode && n.leaseExpires.Before(expires) && !hasReassigned(tasks) {
		expires, source = n.leaseExpires, n.leaseSource
	}
	return expires, source
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Unreported returns the number of executors with runs whose leases this owner has not renewed, the number of these runs, and the
// longest time for which they are held.
func (e *Engine) Unreported(now time.Time) (executors, held int, longest time.Duration) {
	for incarnation, tasks := range e.tasksWithRun {
		if _, source := e.leaseOf(incarnation, tasks); source != LeaseOfOwner {
			executors++
			held += len(tasks)
			longest = max(longest, e.lastLeaseOf(incarnation, tasks).Sub(now))
		}
	}
	return executors, held, longest
}

// lapseStoreTime is how long it may take until the end of an executor's runs is stored. A hand-over lists the executor until then.
const lapseStoreTime = 10 * time.Second

// ExpireLeases releases the runs of executors whose leases have expired and returns these executors.
func (e *Engine) ExpireLeases(now time.Time) (lapsed []Lapse) {
	maps.DeleteFunc(e.lapsedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lapseStoreTime })
	for incarnation, tasks := range e.tasksWithRun {
		expires, source := e.leaseOf(incarnation, tasks)
		if now.Before(expires) {
			continue
		}
		ended := slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool {
			expires, _ := e.runLeaseOf(incarnation, tasks, t)
			return now.Before(expires)
		})
		if len(ended) > 0 {
			lapsed = append(lapsed, e.releaseLapsed(incarnation, ended, source, now))
		}
	}
	slices.SortFunc(lapsed, func(a, b Lapse) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return lapsed
}

// releaseLapsed releases the runs of the given tasks on an incarnation whose lease has expired.
func (e *Engine) releaseLapsed(incarnation string, tasks []*task, source LeaseSource, now time.Time) Lapse {
	l := e.describeLapse(incarnation, tasks, source, now)
	if n := e.nodes[tasks[0].host]; n != nil && n.runsIncarnation(incarnation) {
		if _, hasLapsed := e.lapsedAt[incarnation]; !hasLapsed {
			e.recordLapse(n, now)
		}
	}
	for _, t := range tasks {
		e.releaseRun(t, LeaseExpired, now)
		t.former.LeaseSource = source
	}
	e.lapsedAt[incarnation] = now
	return l
}
