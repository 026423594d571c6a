package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// stopRetry is the time after which a stop without a result is ordered again.
const stopRetry = 400 * time.Millisecond

// Cancel ends a job at the request of its client. It returns false if the job is unknown; the cancellation then takes
// effect when the job is added, since a new owner reads both in any order.
func (e *Engine) Cancel(id string, wall time.Time) bool {
	j := e.jobs[id]
	if j == nil {
		e.pendingCancellations[id] = true
		return false
	}
	if !j.phase.Final() {
		e.finish(j, workflow.Cancelled, wall)
	}
	return true
}

// finish moves a job to a final phase and stops what still runs.
func (e *Engine) finish(j *job, phase workflow.Phase, wall time.Time) {
	j.phase = phase
	j.endedUnixMillis = wall.UnixMilli()
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
	// maxListAge is the age from which the lists of a report are no sign of life of the executor.
	maxListAge = 2500 * time.Millisecond
	// maxLeaseListAge is the age up to which lists earn a grant. Executors list their runs at least each second; a grant without
	// that only delays the moment from which the tasks of a lost executor run elsewhere.
	maxLeaseListAge = 1300 * time.Millisecond
)

// HandleReport takes over what a node says. It returns the number up to which ends may be acknowledged once the changed
// records are stored, and whether the node may keep the tasks running. It may not once the executor has stopped
// answering: its tasks would otherwise count as running for as long as its node lives.
func (e *Engine) HandleReport(r *workflow.Report, now, wall time.Time) (ack int64, granted bool) {
	n := e.nodes[r.Node]
	if n == nil {
		n = &node{name: r.Node, leaseExpires: e.unreportedExpiry}
		e.nodes[r.Node] = n
		i, _ := slices.BinarySearchFunc(e.sortedNodes, n, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
		e.sortedNodes = slices.Insert(e.sortedNodes, i, n)
	}
	if r.Incarnation < n.incarnation && !n.clockSetBack(r, now) || r.Incarnation == n.incarnation && r.Number <= n.number {
		return 0, false
	}
	n.address, n.incarnation, n.number = r.Address, r.Incarnation, r.Number
	n.reportedAt, n.leaseGranted = now, false
	if r.Executor == nil {
		n.listedAt = time.Time{}
		return 0, false
	}
	if !n.known || n.executorIncarnation != r.Executor.IncarnationID() {
		if n.known && r.Executor.StartedUnixMillis < n.executor.StartedUnixMillis {
			return 0, false
		}
		e.replaceExecutor(n, r.Executor, now)
	}
	// An executor that leaves doesn't stay after all: a node that has started again may hear an older announcement first.
	draining := r.Executor.Draining || n.executor.Draining
	if draining != n.executor.Draining {
		e.needsPlanning = true
	}
	n.executor = *r.Executor
	n.executor.Draining = draining
	if !r.Listed {
		return n.ackedEnd, true
	}
	n.listedAt = now.Add(-time.Duration(r.ListAgeMillis) * time.Millisecond)
	e.reconcile(n, r, now, wall)
	if now.Sub(n.listedAt) > maxLeaseListAge {
		return n.ackedEnd, false
	}
	n.leaseExpires, n.leaseGranted = now.Add(e.settings.LeaseExpiry), true
	return n.ackedEnd, true
}

// clockSetBack tells whether a report with a lower incarnation comes from a newer process of the node, whose host's time of day was
// set back between the two. The former process has fallen silent then, and the newer one has sent few reports.
func (n *node) clockSetBack(r *workflow.Report, now time.Time) bool {
	const fewReports = 32
	return now.Sub(n.reportedAt) > lateReportAge && r.Number <= fewReports
}

// replaceExecutor replaces the executor of a node by another incarnation. What ran on the former one has ended. If the new one has
// the same ID, it may have got starts that were meant for the former one: the tasks are assigned to it until its lists
// show what became of them.
func (e *Engine) replaceExecutor(n *node, executor *workflow.Executor, now time.Time) {
	if n.known {
		e.endIncarnation(n, n.executorIncarnation, executor, now)
		if e.nodeByIncarnation[n.executorIncarnation] == n {
			delete(e.nodeByIncarnation, n.executorIncarnation)
		}
	}
	n.executor, n.known, n.ackedEnd, n.orphanedRuns = *executor, true, 0, nil
	n.executorIncarnation = executor.IncarnationID()
	e.nodeByIncarnation[n.executorIncarnation] = n
	e.quarantine.ForgetWorker(n.name)
	delete(e.unreportedHosts, n.name)
	life := n.executorIncarnation
	for former, tasks := range e.assignedTasks {
		if former != life && (hasExecutorID(former, executor.ID) || onHost(tasks, n.name)) {
			e.endIncarnation(n, former, executor, now)
		}
	}
	for _, t := range e.assignedTasks[life] {
		if t.node == nil {
			n.addTask(t)
		}
	}
	e.needsPlanning = true
}

// onHost tells whether the tasks of an incarnation were assigned to a host. A host has one executor at a time.
func onHost(tasks []*task, host string) bool { return len(tasks) > 0 && tasks[0].host == host }

func hasExecutorID(life, id string) bool {
	return len(life) > len(id) && life[:len(id)] == id && life[len(id)] == '@'
}

// endIncarnation ends the runs of a former incarnation of an executor.
func (e *Engine) endIncarnation(n *node, former string, executor *workflow.Executor, now time.Time) {
	if former == executor.IncarnationID() {
		return
	}
	for _, t := range e.assignedTo(former) {
		if hasExecutorID(former, executor.ID) {
			e.reassign(t, n, executor.IncarnationID())
			continue
		}
		e.unassign(t)
	}
}

// reassign files an assigned task under another incarnation.
func (e *Engine) reassign(t *task, n *node, life string) {
	e.untrack(t)
	t.executorIncarnation, t.host = life, n.name
	t.listed, t.startedSequence = false, 0
	t.stoppedSequence, t.stopOrderedAt = 0, time.Time{}
	n.addTask(t)
	e.track(t)
	e.markDirty(t.job)
}

// assignedTo returns a copy of the tasks of an incarnation, for callers that release some of them.
func (e *Engine) assignedTo(life string) []*task { return slices.Clone(e.assignedTasks[life]) }

// requestStop asks for the end of a run.
func (e *Engine) requestStop(t *task, why string) {
	t.stopRequested = true
	if t.stopReason == "" {
		t.stopReason = why
	}
	e.stopping[t] = struct{}{}
}

// reconcile compares what an executor runs and has ended with what is assigned to it.
func (e *Engine) reconcile(n *node, r *workflow.Report, now, wall time.Time) {
	life := n.executorIncarnation
	n.headroomsAt = time.Time{}
	present := make(map[string]int, len(r.Running)+len(r.Ended))
	n.orphanedRuns = n.orphanedRuns[:0]
	for i := range r.Running {
		run := &r.Running[i]
		present[run.Task] = max(present[run.Task], run.Run)
		t := e.taskByName(run.Task)
		if t == nil || t.phase != workflow.TaskAssigned || t.executorIncarnation != life || t.run != run.Run {
			n.orphanedRuns = append(n.orphanedRuns, *run)
			continue
		}
		t.updateProgress(run, n.listedAt)
	}
	for i := range r.Ended {
		end := &r.Ended[i]
		present[end.Task] = max(present[end.Task], end.Run)
		e.handleRunEnd(n, life, end, now, wall)
		n.ackedEnd = max(n.ackedEnd, end.Number)
	}
	for _, t := range e.assignedTo(life) {
		if present[t.name] >= t.run || t.startPending {
			continue
		}
		e.handleUnlistedRun(t, r)
	}
	e.stopOrphanedRuns(n, now)
	e.sampleLatencies(n, now)
}

// updateProgress takes over a row of a running task that its executor listed at a time.
func (t *task) updateProgress(run *workflow.RunState, at time.Time) {
	if !t.listed {
		t.listed, t.progressedAt = true, at
	}
	if run.Percent != t.percent || run.Saved != t.saved {
		t.progressedAt = at
	}
	t.percent, t.usage = run.Percent, run.Usage
	t.group.lowestAt = time.Time{}
	if run.Saved != "" {
		t.saved = run.Saved
	}
}

// handleUnlistedRun decides on a task that its executor neither runs nor lists as ended. Its start may still arrive, so it is
// stopped first: an executor never starts a run that it was told to stop.
func (e *Engine) handleUnlistedRun(t *task, r *workflow.Report) {
	if t.startedSequence > r.CoveredSequence && t.startedIncarnation == r.Incarnation {
		return
	}
	if t.stoppedSequence > 0 && t.stoppedIncarnation == r.Incarnation && r.CoveredSequence >= t.stoppedSequence {
		e.unassign(t)
		return
	}
	if t.stoppedIncarnation != r.Incarnation {
		// The sequences of another process of the node say nothing of this one's lists.
		t.stoppedSequence = 0
	}
	e.requestStop(t, "its executor doesn't list it")
	e.needsPlanning = true
}

// stopOrphanedRuns stops runs that no task is assigned to.
func (e *Engine) stopOrphanedRuns(n *node, now time.Time) {
	if len(n.orphanedRuns) == 0 || now.Sub(n.orphanStopsAt) < stopRetry {
		return
	}
	n.orphanStopsAt = now
	for _, run := range n.orphanedRuns {
		e.outboxFor(n.name).stops = append(e.outboxFor(n.name).stops, workflow.StopOrder{Task: run.Task, Run: run.Run, Reason: "no task is assigned to it"})
	}
}

func (e *Engine) outboxFor(node string) *outbox {
	b := e.outbox[node]
	if b == nil {
		b = &outbox{}
		e.outbox[node] = b
	}
	return b
}

// handleRunEnd takes over the handleRunEnd of a run.
func (e *Engine) handleRunEnd(n *node, life string, end *workflow.RunEnd, now, wall time.Time) {
	t := e.taskByName(end.Task)
	if t == nil || t.phase == workflow.TaskDone {
		return
	}
	if t.run != end.Run || t.phase == workflow.TaskAssigned && t.executorIncarnation != life {
		if end.How == workflow.EndDone && end.Run < t.run && !t.step.LongRunning {
			// An earlier run has finished after all; the later one is stopped as a run that no task is assigned to.
			e.completeTask(t, wall)
		}
		return
	}
	if t.phase == workflow.TaskWaiting && end.How != workflow.EndDone {
		return
	}
	if end.Saved != "" {
		t.saved = end.Saved
	}
	assigned := t.phase == workflow.TaskAssigned
	if end.How == workflow.EndDone {
		if assigned {
			n.recordDuration(t)
			e.quarantine.Succeeded(t.job.ID, n.name, now)
		}
		e.completeTask(t, wall)
		return
	}
	if end.How == workflow.EndFailed {
		t.failures++
		t.failedHosts = append(t.failedHosts, n.name)
		if !t.step.LongRunning {
			// Tasks that last fail at any time, without a fault of the executor.
			e.quarantine.Failed(t.job.ID, n.name, now)
		}
	}
	if assigned {
		e.unassign(t)
	}
	if end.How == workflow.EndFailed && !t.step.LongRunning && !t.job.phase.Final() && e.attemptsExhausted(t) {
		e.finish(t.job, workflow.Failed, wall)
	}
}

// attemptsExhausted tells whether a task, or its gang, has failed too often.
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

// completeTask marks a task, or all members of its gang, as finished.
func (e *Engine) completeTask(t *task, wall time.Time) {
	members := []*task{t}
	if t.step.Gang {
		members = t.group.tasks
	}
	for _, m := range members {
		if m.phase == workflow.TaskDone {
			continue
		}
		if m.phase == workflow.TaskAssigned {
			e.untrack(m)
			delete(e.stopping, m)
		}
		m.phase = workflow.TaskDone
		m.clearRun()
		m.group.done++
	}
	j := t.job
	e.markDirty(j)
	e.needsPlanning = true
	if t.group.done == len(t.group.tasks) {
		j.updateCriticalPaths()
	}
	if !j.phase.Final() && j.isComplete() {
		e.finish(j, workflow.Completed, wall)
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

// HandleOrderResult takes over the result of an order to a node. Undelivered orders have no sequence.
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
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
	case workflow.OutcomeRejected:
		t.notBefore = now.Add(rejectionBackoff)
		switch r.Reason {
		case "room", "unhealthy":
			t.node.noStartsUntil = now.Add(rejectionBackoff)
		case "unreachable":
			t.node.noStartsUntil = now.Add(unreachableBackoff)
		}
		e.unassign(t)
	default:
		// The run may have begun, or may begin late. The next lists of the executor tell: it goes on if it is listed, and is
		// stopped if it isn't.
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
	}
}

// unreachableBackoff keeps starts away from an executor that could not be reached, while its node still reports it.
const unreachableBackoff = 600 * time.Millisecond

// rejectionBackoff keeps a task and an executor apart for a moment after a rejected start, until a report corrects what is
// known of the executor.
const rejectionBackoff = 150 * time.Millisecond

// ExpireLeases ends the runs of executors whose grants have run out.
func (e *Engine) ExpireLeases(now time.Time) (lapsed []string) {
	for _, n := range e.sortedNodes {
		if !n.known || now.Before(n.leaseExpires) {
			continue
		}
		if tasks := e.assignedTo(n.executorIncarnation); len(tasks) > 0 {
			lapsed = append(lapsed, n.executorIncarnation)
			for _, t := range tasks {
				e.unassign(t)
			}
		}
	}
	if now.Before(e.unreportedExpiry) {
		return lapsed
	}
	for life := range e.assignedTasks {
		if e.nodeByIncarnation[life] == nil {
			lapsed = append(lapsed, life)
			for _, t := range e.assignedTo(life) {
				e.unassign(t)
			}
		}
	}
	slices.Sort(lapsed)
	return lapsed
}
