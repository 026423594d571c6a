package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// Add adds a job with its stored record, which is nil for a new job. It returns false if the job is already known.
func (e *Engine) Add(spec workflow.Job, record *workflow.JobRecord, now, wall time.Time) bool {
	if _, known := e.jobs[spec.ID]; known {
		return false
	}
	age := max(wall.Sub(time.UnixMilli(spec.AcceptedUnixMillis)), 0)
	j := &job{
		Job: spec, phase: workflow.Pending, storedPhase: workflow.Pending, acceptedAt: now.Add(-age), knownAt: now,
		recorded: record != nil, forgotten: e.WasForgotten(spec.ID),
	}
	j.buildTasks()
	e.hold(j)
	e.activeJobs[spec.ID] = j
	if record != nil {
		e.restore(j, record, now)
	}
	if j.phase.Final() {
		delete(e.activeJobs, j.ID)
	}
	e.observeWork(j)
	if e.pendingCancellations[j.ID] {
		delete(e.pendingCancellations, j.ID)
		e.Cancel(j.ID, now, wall)
	}
	e.needsPlanning = true
	return true
}

// hold adds a job to those that are held in memory.
func (e *Engine) hold(j *job) {
	j.footprint = admission.EndedFootprint
	if len(j.Steps) > 0 {
		j.footprint = admission.Footprint(&j.Job)
	}
	e.heldTasks += j.footprint
	e.jobs[j.ID] = j
}

// AddEnded adds a finished job that has no runs left, from its record alone.
func (e *Engine) AddEnded(id string, record *workflow.JobRecord) {
	if _, known := e.jobs[id]; known {
		return
	}
	e.hold(&job{
		Job: workflow.Job{ID: id}, phase: record.Phase, storedPhase: record.Phase, endedUnixMillis: record.EndedUnixMillis,
		endKnownAt: e.loadedAt, cancelled: record.Phase == workflow.Cancelled,
	})
	delete(e.pendingCancellations, id)
}

// AddHeld adds a job of which it isn't known what has run. Nothing of it is started, and clients see it as running until it is
// cancelled.
func (e *Engine) AddHeld(id string) {
	if _, known := e.jobs[id]; known {
		return
	}
	e.hold(&job{Job: workflow.Job{ID: id}, phase: workflow.Running, storedPhase: workflow.Running})
	if e.pendingCancellations[id] {
		delete(e.pendingCancellations, id)
		e.Cancel(id, e.loadedAt, e.loadedAt)
	}
}

// restore sets the state of a job from its record.
func (e *Engine) restore(j *job, record *workflow.JobRecord, now time.Time) {
	j.phase = record.Phase
	j.storedPhase = record.Phase
	j.endedUnixMillis, j.endKnownAt = record.EndedUnixMillis, e.loadedAt
	j.cancelled = record.Phase == workflow.Cancelled
	j.begun = record.Begun
	for _, r := range record.Tasks {
		t := j.findTask(workflow.TaskID{Job: j.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		if t == nil {
			continue
		}
		t.run, t.failures, t.failedRun, t.saved = r.Run, r.Failures, r.FailedRun, r.Saved
		t.group.failedRun = max(t.group.failedRun, r.FailedRun)
		t.crashes.total, t.crashes.suspicions = r.Crashes, r.Suspicions
		if t.isSuspect() {
			t.crashes.suspectSince = now
			e.crashes.suspects[t] = struct{}{}
		}
		t.phase, t.restored = t.restoredPhase(&r), true
		// Records of former versions don't tell whether the job has begun.
		j.begun = j.begun || r.Phase == workflow.TaskDone || r.Failures > 0 || r.Saved != ""
		switch t.phase {
		case workflow.TaskDone:
			t.group.done++
			t.doneRun = r.Run
			if r.Life != "" {
				// Which run has finished the task isn't recorded.
				t.doneRun = 0
				e.restoreRun(t, &r)
				e.requestStop(t, stopOfDone)
				t.supersededAt = now
			}
		case workflow.TaskWaiting:
			t.keepFormerRun(RestoredAsWaiting, now)
		case workflow.TaskAssigned:
			e.restoreRun(t, &r)
			if j.phase.Final() {
				e.requestStop(t, "its job has ended")
			}
		}
	}
	if j.isComplete() && !j.phase.Final() {
		e.completing[j] = struct{}{}
	}
}

// restoredPhase returns the phase of a task with a record. Former versions took long-running tasks for done, which run again.
func (t *task) restoredPhase(r *workflow.TaskRecord) workflow.TaskPhase {
	switch {
	case r.Phase != workflow.TaskDone || !t.step.LongRunning:
		return r.Phase
	case r.Life != "":
		return workflow.TaskAssigned
	}
	return workflow.TaskWaiting
}

// restoreRun takes the run of a task over from the record of its job. Its executor may have reported already.
func (e *Engine) restoreRun(t *task, r *workflow.TaskRecord) {
	t.executorIncarnation, t.host, t.reassigned, t.reassignedBefore = r.Life, r.Node, r.Reassigned, r.Reassigned
	e.awaitHost(r.Node)
	e.track(t)
	if n := e.nodes[r.Node]; n != nil && n.runsIncarnation(r.Life) {
		n.addTask(t)
	}
}

// awaitHost records that a host had a running task under the former owner.
func (e *Engine) awaitHost(host string) {
	e.hasRestoredRuns = true
	if n := e.nodes[host]; n == nil || !n.known {
		e.unreportedHosts[host] = true
	}
}

// executorsDiscovered reports whether the executors are known over which long-running tasks have to be spread: all hosts
// with running tasks have reported, or the discovery deadline has passed.
func (e *Engine) executorsDiscovered(now time.Time) bool {
	return e.hasRestoredRuns && len(e.unreportedHosts) == 0 || !now.Before(e.discoveryDeadline)
}
