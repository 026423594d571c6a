package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// A job is given up after suddenSuspicions crashes with a task as suspect if the last one left no other job in question and
	// followed from the start, and after loneCrashes if it left no other job in question. In any case it is given up after
	// repeatedCrashes if the task was a suspect more than once, and after maxCrashes.
	suddenSuspicions = 2
	loneCrashes      = 3
	repeatedCrashes  = 4
	maxCrashes       = 5
)

// isConvicted reports whether the crashes are enough to give the job of a task up. alone is set if the last one left no other job in
// question; isExplained is set if it is explained by a job that is given up already.
func (r *crashedRun) isConvicted(alone, isExplained bool) bool {
	c := &r.task.crashes
	switch {
	case isExplained:
	case alone && r.isSudden() && c.suspicions >= suddenSuspicions, alone && c.total >= loneCrashes:
		return true
	case c.total >= repeatedCrashes && c.suspicions > 1:
		return true
	}
	return c.total >= maxCrashes
}

// isOfConvictedJob reports whether the run belongs to a job that is given up because a task of it crashes executors.
func (r crashedRun) isOfConvictedJob() bool { return r.task.job.convicted && r.task.isSuspect() }

// giveUpCrashing fails the jobs of the convicted tasks, apart from those that an earlier run has finished in the meantime.
func (e *Engine) giveUpCrashing(now, wall time.Time) {
	for _, t := range e.crashes.convicted {
		switch {
		case t.job.phase.Final():
		case t.phase == workflow.TaskDone:
			t.job.convicted = false
		default:
			e.crashes.givenUp = append(e.crashes.givenUp, t.crashing())
			e.finish(t.job, workflow.Failed, now, wall)
		}
	}
	e.crashes.convicted = nil
}
