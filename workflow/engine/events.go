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

// finish moves a job to a final phase and requests stops of its remaining runs. The time carries a reading of the monotonic clock.
func (e *Engine) finish(j *job, phase workflow.Phase, now, wall time.Time) {
	j.phase = phase
	j.endedUnixMillis, j.endKnownAt = wall.UnixMilli(), now
	delete(e.activeJobs, j.ID)
	e.markDirty(j)
	e.needsPlanning = true
	for _, t := range j.tasks {
		if t.phase == workflow.TaskAssigned {
			e.requestStop(t, "its job has ended")
		}
	}
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
	n := e.nodes[r.Node]
	if n == nil {
		n = &node{name: r.Node, leaseExpires: e.unreportedExpiry, leaseSource: LeaseOfTakeover}
		e.nodes[r.Node] = n
		i, _ := slices.BinarySearchFunc(e.sortedNodes, n, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
		e.sortedNodes = slices.Insert(e.sortedNodes, i, n)
	}
	if r.Incarnation < n.incarnation && !n.clockSetBack(r, now) || r.Incarnation == n.incarnation && r.Number <= n.number {
		return 0, false
	}
	n.address, n.incarnation, n.number = r.Address, r.Incarnation, r.Number
	n.reportedAt, n.leaseGranted = now, false
	e.applyLeaseBound(n, r.LeaseBound, now)
	if r.Executor == nil {
		n.listedAt = time.Time{}
		if r.ExecutorEnd != nil {
			e.endCrashed(n, r, now, wall)
		}
		return 0, false
	}
	if !n.known || n.executorIncarnation != r.Executor.IncarnationID() {
		if n.known && r.Executor.StartedUnixMillis < n.executor.StartedUnixMillis {
			return 0, false
		}
		if e.mayStillRun(n, r) {
			n.listedAt = time.Time{}
			return 0, false
		}
		e.replaceExecutor(n, r, now)
	}
	e.endReplaced(n, r, now)
	// Draining is never undone within an incarnation: a restarted node may receive an outdated announcement first.
	draining := r.Executor.Draining || n.executor.Draining
	if draining != n.executor.Draining {
		e.needsPlanning = true
	}
	n.executor = *r.Executor
	n.executor.Draining = draining
	if r.Executor.Left {
		e.endDeparted(n, r, now, wall)
		return 0, false
	}
	n.brokenAt = brokenAt(r, now)
	if r.ExecutorEnd != nil {
		e.endCrashed(n, r, now, wall)
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
	n.leaseExpires, n.leaseSource, n.leaseGranted = now.Add(e.settings.LeaseExpiry), LeaseOfOwner, true
	delete(e.lapsedAt, n.executorIncarnation)
	return n.ackedEnd, true
}

// clockSetBack reports whether a report with a lower incarnation comes from a newer process of the node, because the
// host's wall clock was set back in between. In that case the former process has stopped reporting, and the newer one
// has sent only a few reports.
func (n *node) clockSetBack(r *workflow.Report, now time.Time) bool {
	const fewReports = 32
	return now.Sub(n.reportedAt) > lateReportAge && r.Number <= fewReports
}

// replaceExecutor replaces the executor of a node by another incarnation. If the new one has the same ID, it may have received
// starts meant for the former one, so the tasks are reassigned to it until its lists show whether they run.
func (e *Engine) replaceExecutor(n *node, r *workflow.Report, now time.Time) {
	executor := r.Executor
	if n.known {
		e.endIncarnation(n, n.executorIncarnation, executor, now)
		if e.nodeByIncarnation[n.executorIncarnation] == n {
			delete(e.nodeByIncarnation, n.executorIncarnation)
		}
	}
	n.executor, n.known, n.ackedEnd, n.orphanedRuns, n.rejections = *executor, true, 0, nil, 0
	n.endReportedAt = time.Time{}
	n.executorIncarnation = executor.IncarnationID()
	e.nodeByIncarnation[n.executorIncarnation] = n
	e.quarantine.ForgetWorker(n.name)
	e.indexDomains()
	delete(e.unreportedHosts, n.name)
	n.unproven = true
	for former := range e.assignedTasks {
		if hasExecutorID(former, executor.ID) {
			e.endIncarnation(n, former, executor, now)
		}
	}
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if t.node == nil {
			n.addTask(t)
		}
	}
	e.needsPlanning = true
}

// indexDomains numbers the executors within each failure domain.
func (e *Engine) indexDomains() {
	counts := map[string]int{}
	for _, n := range e.sortedNodes {
		if !n.known {
			continue
		}
		n.domainIndex = counts[n.executor.FailureDomain]
		counts[n.executor.FailureDomain]++
	}
}

func hasExecutorID(incarnation, id string) bool {
	return len(incarnation) > len(id) && incarnation[:len(id)] == id && incarnation[len(id)] == '@'
}

// endIncarnation unassigns or reassigns the tasks of a former incarnation of an executor.
func (e *Engine) endIncarnation(n *node, former string, executor *workflow.Executor, now time.Time) {
	if former == executor.IncarnationID() {
		return
	}
	e.recordReplacement(n, former, executor, now)
	for _, t := range e.assignedTo(former) {
		if hasExecutorID(former, executor.ID) {
			e.reassign(t, n, executor.IncarnationID())
			continue
		}
		e.unassign(t, ExecutorReplaced, now)
	}
}

// reassign moves an assigned task to another executor incarnation.
func (e *Engine) reassign(t *task, n *node, incarnation string) {
	e.untrack(t)
	t.executorIncarnation, t.host = incarnation, n.name
	t.listed, t.started, t.startedSequence = false, false, 0
	t.reassigned = true
	t.stoppedSequence, t.stopOrderedAt = 0, time.Time{}
	n.addTask(t)
	e.track(t)
	e.markDirty(t.job)
}

// assignedTo returns a copy of the tasks assigned to an incarnation, for callers that unassign some of them.
func (e *Engine) assignedTo(incarnation string) []*task {
	return slices.Clone(e.assignedTasks[incarnation])
}

// requestStop marks a run to be stopped by the next Plan. The first reason given is kept.
func (e *Engine) requestStop(t *task, reason string) {
	t.stopRequested = true
	if t.stopReason == "" {
		t.stopReason = reason
	}
	e.stopping[t] = struct{}{}
}

func (e *Engine) outboxFor(node string) *outbox {
	b := e.outbox[node]
	if b == nil {
		b = &outbox{}
		e.outbox[node] = b
	}
	return b
}

// handleRunEnd processes the end of a run.
func (e *Engine) handleRunEnd(n *node, incarnation string, end *workflow.RunEnd, now, wall time.Time) {
	t := e.taskByName(end.Task)
	if t == nil {
		return
	}
	if end.How == workflow.EndDone {
		e.checkDone(n, incarnation, t, end.Run, now)
	}
	if t.phase == workflow.TaskDone {
		return
	}
	if t.run != end.Run || t.phase == workflow.TaskAssigned && t.executorIncarnation != incarnation {
		if end.How == workflow.EndDone && !t.step.LongRunning {
			// Whichever run has finished the task, it must not start again once this end is acknowledged. The assigned run is then
			// stopped as an orphaned one.
			e.completeTask(t, end.Run, incarnation, now, wall)
		}
		return
	}
	if t.phase == workflow.TaskWaiting && end.How != workflow.EndDone {
		return
	}
	if end.Saved != "" {
		t.setSaved(end.Saved, now)
	}
	assigned := t.phase == workflow.TaskAssigned
	if end.How == workflow.EndDone {
		if assigned {
			n.recordDuration(t)
			e.quarantine.RecordSuccess(t.job.ID, n.name, now)
		}
		e.completeTask(t, end.Run, incarnation, now, wall)
		return
	}
	if end.How == workflow.EndFailed {
		t.failures++
		t.failedHosts = append(t.failedHosts, n.name)
		if !t.step.LongRunning {
			// A failure of a long-running task does not indicate a fault of the executor.
			e.quarantine.RecordFailure(t.job.ID, n.name, now)
		}
	}
	if assigned {
		e.unassign(t, listedEnd(end.How), now)
	}
	if end.How == workflow.EndFailed && !t.step.LongRunning && !t.job.phase.Final() && e.attemptsExhausted(t) {
		e.finish(t.job, workflow.Failed, now, wall)
	}
}

// attemptsExhausted reports whether the failures of a task, or of its whole gang, have reached the queue's limit.
func (e *Engine) attemptsExhausted(t *task) bool {
	failures := t.failures
	if t.step.Gang {
		failures = 0
		for _, member := range t.group.tasks {
			failures += member.failures
		}
	}
	return failures >= max(e.queueOf(t.job).MaxAttempts, 1)
}

// completeTask marks a task, or all members of its gang, as done by a run on an executor incarnation.
func (e *Engine) completeTask(t *task, run int, incarnation string, now, wall time.Time) {
	members := []*task{t}
	if t.step.Gang {
		members = t.group.tasks
	}
	for _, m := range members {
		if m.phase == workflow.TaskDone {
			continue
		}
		if m.phase == workflow.TaskAssigned {
			if m != t {
				m.keepFormerRun(GangDone, now)
			} else if m.run != run {
				m.keepFormerRun(OtherRunDone, now)
			}
			e.untrack(m)
			delete(e.stopping, m)
		}
		m.phase = workflow.TaskDone
		m.clearRun()
		m.group.done++
		m.doneRun = m.run
	}
	t.doneRun, t.doneExecutor = run, incarnation
	j := t.job
	e.markDirty(j)
	e.needsPlanning = true
	if t.group.done == len(t.group.tasks) {
		e.observeDuration(t.group)
	}
	if !j.phase.Final() && j.isComplete() {
		e.finish(j, workflow.Completed, now, wall)
	}
}

func (j *job) isComplete() bool {
	for i := range j.groups {
		if j.groups[i].done < len(j.groups[i].tasks) {
			return false
		}
	}
	return true
}

// HandleOrderResult processes the result of an order to a node. Undelivered orders have no sequence.
func (e *Engine) HandleOrderResult(node string, incarnation int64, r *workflow.OrderResult, now time.Time) {
	t := e.taskByName(r.Task)
	if t == nil || t.phase != workflow.TaskAssigned || t.run != r.Run || t.node == nil || t.node.name != node {
		return
	}
	if r.Stop {
		if r.Outcome == workflow.OutcomeDone {
			t.stoppedSequence, t.stoppedIncarnation = r.Sequence, incarnation
		}
		return
	}
	if !t.startPending {
		return
	}
	t.startPending = false
	switch r.Outcome {
	case workflow.OutcomeDone:
		t.node.rejections = 0
		t.started = true
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
	case workflow.OutcomeRejected:
		t.notBefore = now.Add(rejectionBackoff)
		t.node.pauseStarts(pauseAfterRejection(r.Reason), now)
		e.unassign(t, StartRejected, now)
		e.stopRestOfGang(t)
	default:
		// The run may have begun or may still begin. It continues if the executor's next lists contain it, and is stopped
		// otherwise.
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
		t.node.pauseStarts(rejectionBackoff, now)
	}
}

// stopRestOfGang requests stops of the other members of a gang of which one start was rejected: all of them start together.
func (e *Engine) stopRestOfGang(t *task) {
	if !t.step.Gang {
		return
	}
	for _, member := range t.group.tasks {
		if member.phase == workflow.TaskAssigned {
			e.requestStop(member, "a member of its gang was not started")
		}
	}
}

const (
	// rejectionBackoff delays starts of a task after a rejected start, until a report has updated the executor's state.
	rejectionBackoff = 150 * time.Millisecond
	// unreachableBackoff is how long no task is started on an executor that could not be reached while its node still
	// reports it.
	unreachableBackoff = 600 * time.Millisecond
	// maxStartPause limits how long no task is started on an executor that rejects one start after the other, which may be the only
	// one for a task. It is reached after maxPauseDoublings pauses at the latest.
	maxStartPause     = 600 * time.Millisecond
	maxPauseDoublings = 2
)

// pauseAfterRejection returns how long an executor gets no starts after it has rejected one; 0 if the reason concerns the task.
func pauseAfterRejection(reason string) time.Duration {
	switch reason {
	case workflow.ReasonRoom, workflow.ReasonUnhealthy:
		return rejectionBackoff
	case workflow.ReasonUnreachable:
		return unreachableBackoff
	}
	return 0
}

// pauseStarts starts no tasks on an executor for a time after it has rejected a start or left it unanswered. The pause doubles
// each time in a row: otherwise it would end together with the backoff of the task, and the task would return to this
// executor for as long as it looks best.
func (n *node) pauseStarts(pause time.Duration, now time.Time) {
	if pause == 0 || now.Before(n.noStartsUntil) {
		// A start that was ordered before the executor paused doesn't prolong the pause.
		return
	}
	n.noStartsUntil = now.Add(min(pause<<n.rejections, maxStartPause))
	n.rejections = min(n.rejections+1, maxPauseDoublings)
}
