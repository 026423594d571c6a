package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// handleRunEnd processes the end of a run.
func (e *Engine) handleRunEnd(n *node, incarnation string, end *workflow.RunEnd, now, wall time.Time) {
	t := e.taskByName(end.Task)
	if t == nil {
		return
	}
	t.job.begun = true
	if t.step.LongRunning {
		e.handleLongRunningEnd(n, incarnation, t, end, now)
		return
	}
	if end.How == workflow.EndDone {
		e.checkDone(n, incarnation, t, end.Run, now)
	}
	if t.phase == workflow.TaskDone {
		if t.isRun(incarnation, end.Run) {
			e.releaseRun(t, listedEnd(end.How), now)
		}
		return
	}
	if t.run != end.Run || t.phase == workflow.TaskAssigned && t.executorIncarnation != incarnation {
		if end.How == workflow.EndDone {
			// Whichever run has finished the task, it must not start again once this end is acknowledged.
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
		t.countFailure()
		t.failedHosts = append(t.failedHosts, n.name)
		e.quarantine.RecordFailure(t.job.ID, n.name, now)
	}
	if assigned {
		e.releaseRun(t, listedEnd(end.How), now)
	}
	if end.How == workflow.EndFailed && !t.job.phase.Final() && e.attemptsExhausted(t) {
		e.finish(t.job, workflow.Failed, now, wall)
	}
}

// countFailure counts the failure of the present run. All members of a gang have the same run, which counts once however many of them list
// it as failed.
func (t *task) countFailure() {
	if t.step.Gang {
		if t.group.failedRun == t.run {
			return
		}
		t.group.failedRun, t.failedRun = t.run, t.run
	}
	t.failures++
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

// completeTask marks a task, or all members of its gang, as done by a run on an executor incarnation. The other runs that this
// supersedes, and those of the other members, keep their places on their executors until their ends are proved.
func (e *Engine) completeTask(t *task, run int, incarnation string, now, wall time.Time) {
	members := []*task{t}
	if t.step.Gang {
		members = t.group.tasks
	}
	for _, m := range members {
		if m.phase == workflow.TaskDone {
			continue
		}
		switch {
		case m == t && m.isRun(incarnation, run):
			e.removeRun(m)
		case m.hasRun() && (m == t || m.run != run):
			e.supersede(m, run, incarnation, now)
		case m.hasRun():
			// A gang finishes only if all members of the run have begun.
			m.confirmStart()
		}
		m.phase = workflow.TaskDone
		m.group.done++
		m.doneRun = run
	}
	t.doneExecutor = incarnation
	j := t.job
	e.markDirty(j)
	e.needsPlanning = true
	if t.group.done == len(t.group.tasks) {
		e.observeDuration(t.group)
	}
	if j.isComplete() {
		e.completing[j] = struct{}{}
		e.completeJobs(now, wall)
	}
}

// completeJobs moves jobs whose tasks are all done to their final phase, unless a start of one of them may still be sent.
func (e *Engine) completeJobs(now, wall time.Time) {
	for j := range e.completing {
		if !j.phase.Final() && slices.ContainsFunc(j.tasks, (*task).mayBeSent) {
			continue
		}
		delete(e.completing, j)
		if !j.phase.Final() {
			e.finish(j, workflow.Completed, now, wall)
		}
	}
}

// isComplete reports whether all tasks of the job are done.
func (j *job) isComplete() bool {
	for i := range j.groups {
		if j.groups[i].done < len(j.groups[i].tasks) {
			return false
		}
	}
	return true
}

// finish moves a job to a final phase and requests stops of its remaining runs.
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
