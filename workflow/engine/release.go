package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// releaseDelay is how long the tasks of a finished job are kept after its end. It exceeds the time after which a lease has expired, so that
// most late lists are still compared with them.
const releaseDelay = 20 * time.Second

// ReleaseEnded frees the tasks of jobs that have finished some time ago and have no run left. They stay known like jobs of which a new
// owner finds only the end. Otherwise the finished jobs, which are kept for two minutes, would take most of the tasks that an owner can
// hold.
func (e *Engine) ReleaseEnded(now time.Time) {
	// The buffer may refer to tasks of ended jobs, each of which keeps all tasks of its job.
	clear(e.listedRuns[:cap(e.listedRuns)])
	for _, j := range e.jobs {
		if len(j.tasks) > 0 && j.phase.Final() && j.storedPhase.Final() && now.Sub(j.endKnownAt) > releaseDelay && !j.hasRun() {
			e.releaseTasks(j)
		}
	}
}

func (e *Engine) releaseTasks(j *job) {
	if _, dirty := e.dirtyJobs[j]; dirty {
		return
	}
	e.heldTasks -= j.footprint
	j.Job = workflow.Job{ID: j.ID}
	j.tasks, j.groups = nil, nil
	j.footprint = admission.EndedFootprint
	e.heldTasks += j.footprint
}
