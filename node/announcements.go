package node

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Announce stores an announcement of the executor. It returns false for an announcement that is older than the last one,
// comes from a former incarnation, or names another executor while the current one responds.
func (n *Node) Announce(e workflow.Executor, sequence, clockMillis int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.announce(e, sequence, clockMillis)
}

// announce is Announce for callers that hold mu.
func (n *Node) announce(e workflow.Executor, sequence, clockMillis int64) bool {
	if n.current != nil && n.current.IncarnationID() != e.IncarnationID() {
		if !n.isReplacedBy(&e, sequence, clockMillis) {
			return false
		}
		n.forgetIncarnation()
	} else if n.current != nil && sequence <= n.announceSequence {
		return false
	}
	if n.current == nil {
		n.end = executorEnd{}
		n.log.Info("executor found", "executor", e.IncarnationID(), "pool", e.Pool, "cpu", e.Capacity.MilliCores, "memory_mb", e.Capacity.MemoryMB, "failure_domain", e.FailureDomain, "labels", e.Labels)
	}
	if e.Draining && n.departure == nil {
		n.departure = newDeparture(true)
	}
	if n.departure.announced() {
		// An announcement that was sent before the end may arrive after it.
		n.departure.drained = n.departure.drained || e.Draining
		e.Draining, e.EndAnnounced, e.Left = n.departure.drained, true, n.current.Left
	}
	moved := n.current != nil && !isPlacedAlike(n.current, &e)
	if moved {
		n.log.Info("executor changed", "executor", e.IncarnationID(), "pool", e.Pool, "labels", e.Labels, "failure_domain", e.FailureDomain,
			"former_pool", n.current.Pool, "former_labels", n.current.Labels, "former_failure_domain", n.current.FailureDomain)
		n.changedReport = n.reportNumber
	}
	changed := n.current == nil || moved || n.current.Draining != e.Draining || n.current.Capacity != e.Capacity
	if n.current != nil && n.current.Capacity != e.Capacity {
		n.changeCapacity(&e)
	}
	if changed && e.Draining {
		n.log.Info("executor leaves", "executor", e.IncarnationID(), "remaining_ms", e.RemainingMillis)
	}
	n.end.noteOtherResult()
	n.current, n.announceSequence = &e, sequence
	if n.clockAt.IsZero() && clockMillis > 0 {
		n.clockMillis, n.clockAt = clockMillis, n.clock.Now()
	}
	if changed {
		signal(n.wakeHold)
		signal(n.wakeReport)
	}
	return true
}

// isPlacedAlike reports whether two announcements of an executor don't differ in what decides which tasks it may run.
func isPlacedAlike(a, b *workflow.Executor) bool {
	return a.Pool == b.Pool && a.FailureDomain == b.FailureDomain && slices.Equal(a.Labels, b.Labels)
}

// changeCapacity records that the capacity of the executor has changed.
func (n *Node) changeCapacity(e *workflow.Executor) {
	n.log.Info("capacity changed", "executor", e.IncarnationID(), "cpu", e.Capacity.MilliCores, "memory_mb", e.Capacity.MemoryMB,
		"former_cpu", n.current.Capacity.MilliCores, "former_memory_mb", n.current.Capacity.MemoryMB)
	if !n.current.Capacity.Fits(e.Capacity) {
		n.shrunkReport = n.reportNumber
	}
}

// formerIncarnation is an incarnation of the executor that another one has replaced.
type formerIncarnation struct {
	id         string
	replacedAt time.Time
}

// forgetIncarnation discards the state of the current incarnation.
func (n *Node) forgetIncarnation() {
	n.log.Info("executor replaced", "former", n.current.IncarnationID(), "unlisted_starts", len(n.unlistedStarts))
	n.passToken()
	n.former = formerIncarnation{n.current.ID, n.clock.Now()}
	n.current, n.successor, n.lists, n.ack, n.shrunkReport = nil, nil, nil, 0, 0
	n.changedReport = n.reportNumber
	n.endDeparture()
	n.end = executorEnd{}
	n.clockAt, n.brokenAt = time.Time{}, time.Time{}
	n.leaseEnd, n.renewedUntil = time.Time{}, time.Time{}
	n.staleLease, n.probe = staleLease{}, tokenProbe{}
	n.staleStops = map[staleRun]*staleStop{}
	n.pacer = sharing.NewController()
	clear(n.unlistedStarts)
	clear(n.paces)
	clear(n.nearTarget)
	clear(n.traits)
}
