package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// The job of a task is given up
	//   - after suddenSuspicions crashes with the task as a suspect, if the last crash followed from its start and has no suspects of
	//     other jobs,
	//   - after loneCrashes crashes, if the last one has no suspects of other jobs,
	//   - after repeatedCrashes crashes, if the task was a suspect more than once,
	//   - after maxCrashes crashes in any case.
	suddenSuspicions = 2
	loneCrashes      = 3
	repeatedCrashes  = 4
	maxCrashes       = 5
)

// exceedsCrashLimits reports whether the job of the run is to be given up after a crash. alone is set if its task is a
// suspect of the crash and no task of another job is, isExplained if a job that is already given up is taken for the cause.
func (r *crashedRun) exceedsCrashLimits(alone, isExplained bool) bool {
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

// isOfCrashingJob reports whether the run is of a suspect of a job that is already given up for crashing executors.
func (r crashedRun) isOfCrashingJob() bool { return r.task.job.crashing && r.task.isSuspect() }

// giveUpCrashing fails the jobs of the crashing tasks, apart from tasks that an earlier run has finished in the meantime.
func (e *Engine) giveUpCrashing(now, wall time.Time) {
	for _, t := range e.crashes.crashing {
		switch {
		case t.job.phase.Final():
		case t.phase == workflow.TaskDone:
			t.job.crashing = false
		default:
			e.crashes.givenUp = append(e.crashes.givenUp, t.crashing())
			e.finish(t.job, workflow.Failed, now, wall)
		}
	}
	e.crashes.crashing = nil
}
