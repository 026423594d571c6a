package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// stopRetry is the time after which an unconfirmed stop is ordered again. The node repeats its call to the executor for 0.8 s.
const stopRetry = 900 * time.Millisecond

// Cancel cancels a job. It returns false if the job is unknown; the cancellation then takes effect when the job is
// added, since a new owner may read the two in either order.
func (e *Engine) Cancel(id string, now, wall time.Time) bool {
	j := e.jobs[id]
	if j == nil {
		e.pendingCancellations[id] = true
		return false
	}
	if !j.phase.Final() {
		e.finish(j, workflow.Cancelled, now, wall)
	}
	return true
}

const (
	// maxListAge is the age from which the run lists in a report no longer show that the executor is alive.
	maxListAge = 2500 * time.Millisecond
	// maxLeaseListAge is the age up to which run lists renew the lease. Executors list their runs at least once a second;
	// renewing on older lists would only delay the restart of a lost executor's tasks elsewhere.
	maxLeaseListAge = 1300 * time.Millisecond
)

// HandleReport processes a node's report. It returns the number up to which run ends may be acknowledged once the changed
// records are stored, and whether the lease is renewed. It is not renewed when the executor has stopped responding, or has
// not responded yet: otherwise its tasks would count as running for as long as its node is up.
func (e *Engine) HandleReport(r *workflow.Report, now, wall time.Time) (ack int64, granted bool) {
	n := e.nodeNamed(r.Node)
	if r.Incarnation < n.incarnation && !n.clockSetBack(r, now) || r.Incarnation == n.incarnation && r.Number <= n.number {
		return 0, false
	}
	if n.incarnation != r.Incarnation {
		n.leaseReport, n.hadLeaseBefore = 0, n.hadLease
	}
	n.address, n.incarnation, n.number = r.Address, r.Incarnation, r.Number
	n.reportedAt = now
	e.applyLeaseBound(n, r.LeaseBound, now)
	if r.Executor == nil {
		n.listedAt = time.Time{}
		if r.ExecutorEnd != nil {
			e.handleRefusedConnections(n, r, now, wall)
		}
		return 0, false
	}
	if !e.takeExecutor(n, r, now) {
		return 0, false
	}
	e.applyStaleLease(n, r, now)
	if r.Executor.Left {
		e.handleDeparture(n, r, now, wall)
		return 0, false
	}
	n.brokenAt = brokenAt(r, now)
	if r.ExecutorEnd != nil {
		e.handleRefusedConnections(n, r, now, wall)
		return 0, false
	}
	if !r.Listed {
		return n.ackedEnd, false
	}
	listedAt := now.Add(-time.Duration(r.ListAgeMillis) * time.Millisecond)
	if n.hasEnded(listedAt) {
		return 0, false
	}
	n.endReportedAt, n.recordedEnd = time.Time{}, ""
	n.listedAt = listedAt
	e.reconcile(n, r, now, wall)
	if now.Sub(n.listedAt) > maxLeaseListAge {
		return n.ackedEnd, false
	}
	n.leaseExpires, n.leaseSource, n.leaseReport, n.hadLease = now.Add(e.settings.LeaseExpiry), LeaseOfOwner, r.Number, true
	delete(e.lapsedAt, n.executorIncarnation)
	return n.ackedEnd, true
}

// nodeNamed returns the node with a name, and adds it if it is new.
func (e *Engine) nodeNamed(name string) *node {
	n := e.nodes[name]
	if n == nil {
		n = &node{name: name, leaseExpires: e.unreportedExpiry, leaseSource: LeaseOfTakeover}
		e.nodes[name] = n
		i, _ := slices.BinarySearchFunc(e.sortedNodes, n, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
		e.sortedNodes = slices.Insert(e.sortedNodes, i, n)
	}
	return n
}

// takeExecutor takes over the executor that a report names, in place of another one if that has ended. It returns false if the
// report is to be ignored: it names an older executor than the known one, or one of another host, or the known one may still run tasks.
func (e *Engine) takeExecutor(n *node, r *workflow.Report, now time.Time) bool {
	if e.hasTasksElsewhere(n, r.Executor) {
		n.listedAt = time.Time{}
		return false
	}
	if !n.known || n.executorIncarnation != r.Executor.IncarnationID() {
		if n.known && r.Executor.StartedUnixMillis < n.executor.StartedUnixMillis && !n.isForeign(r) {
			return false
		}
		if e.mayStillRun(n, r) {
			n.listedAt = time.Time{}
			return false
		}
		e.replaceExecutor(n, r, now)
	}
	e.takeFormerForEnded(n, r, now)
	// Draining is never undone within an incarnation: a restarted node may receive an outdated announcement first.
	draining, mayEnd := r.Executor.Draining || n.executor.Draining, n.executor.MayEnd()
	n.executor = *r.Executor
	n.executor.Draining = draining
	if n.executor.MayEnd() != mayEnd {
		e.needsPlanning = true
	}
	return true
}

// clockSetBack reports whether a report with a lower incarnation comes from a newer process of the node, because the
// host's wall clock was set back in between. In that case the former process has stopped reporting, and the newer one
// has sent only a few reports.
func (n *node) clockSetBack(r *workflow.Report, now time.Time) bool {
	const fewReports = 32
	return now.Sub(n.reportedAt) > lateReportAge && r.Number <= fewReports
}

// stopOfDone is the reason of the stop of a run whose task another run has finished, or another member of its gang.
const stopOfDone = "its task is done"

// requestStop marks a run to be stopped by the next Plan. The first reason given is kept.
func (e *Engine) requestStop(t *task, reason string) {
	t.stopRequested = true
	if t.stopReason == "" {
		t.stopReason = reason
	}
	e.stopping[t] = struct{}{}
}

// outboxFor returns the outbox of a node, and creates it if there is none.
func (e *Engine) outboxFor(node string) *outbox {
	b := e.outbox[node]
	if b == nil {
		b = &outbox{}
		e.outbox[node] = b
	}
	return b
}
