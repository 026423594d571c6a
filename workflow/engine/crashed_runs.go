package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// youngAge is the age of a run up to which a crash of its executor makes its task a suspect. An executor lists its runs at
	// least once a second, so the age is known to a second if the time of the crash isn't known.
	youngAge = 1500 * time.Millisecond
	// suddenCrashAge is the age of a run up to which a crash is taken to follow from its start, since executors rarely crash
	// for another reason within so short a time.
	suddenCrashAge = 400 * time.Millisecond
	// maxCrashAge is the age of a run from which a crash counts for its task as if the run had ended otherwise: most tasks that
	// have run for so long are not the cause.
	maxCrashAge = 5 * time.Second
)

// crashedRun is a run that an executor had when it crashed.
type crashedRun struct {
	task *task
	// age is the age of the run at the crash, or at the executor's last sign of life if the time of the crash is unknown. It is
	// unknown if the run began under a former owner and its executor never reported to this one.
	age   time.Duration
	known bool
	// timed is set if the time of the crash is known.
	timed bool
}

// crashedRuns returns the unfinished runs on an incarnation with their ages. It leaves out unconfirmed runs that were ordered after a
// connection to the incarnation had broken, by which time it had ended, and those of which the incarnation has accepted a stop: a run
// that it hadn't listed by then doesn't begin any more.
func (e *Engine) crashedRuns(n *node, incarnation string) []crashedRun {
	tasks := e.tasksWithRun[incarnation]
	alive, timed := time.Time{}, false
	if n.known && n.executorIncarnation == incarnation {
		alive, timed = n.aliveAt, !n.brokenAt.IsZero()
		if timed {
			alive = n.brokenAt
		}
	}
	for _, t := range tasks {
		if !t.startPending && t.startedAt.After(alive) {
			alive = t.startedAt
		}
	}
	runs := make([]crashedRun, 0, len(tasks))
	for _, t := range tasks {
		if !t.started && (timed && t.startedAt.After(n.brokenAt) || t.stoppedSequence > 0) {
			continue
		}
		begun := t.begunAt()
		if begun.IsZero() {
			runs = append(runs, crashedRun{task: t})
			continue
		}
		runs = append(runs, crashedRun{task: t, age: max(alive.Sub(begun), 0), known: true, timed: timed})
	}
	return runs
}

// begunAt returns when the current run of the task began, or the zero time if this owner doesn't know.
func (t *task) begunAt() time.Time {
	if !t.startedAt.IsZero() {
		return t.startedAt
	}
	return t.crashes.listedSince
}

// withoutEnded removes the runs of tasks that are done and of jobs that have ended.
func withoutEnded(runs []crashedRun) []crashedRun {
	return slices.DeleteFunc(runs, func(r crashedRun) bool { return r.task.phase == workflow.TaskDone || r.task.job.phase.Final() })
}

// isSudden reports whether the crash followed from the start of the run.
func (r *crashedRun) isSudden() bool { return r.known && r.timed && r.age < suddenCrashAge }

// isYoung reports whether a run had begun shortly before the crash. A long-running task of unknown age has most likely run for
// long.
func (r *crashedRun) isYoung() bool {
	if !r.known {
		return !r.task.step.LongRunning
	}
	return r.age < youngAge
}

// mayBeCause reports whether the task of a run counts as a possible cause of the crash.
func (r *crashedRun) mayBeCause() bool {
	if !r.known {
		return !r.task.step.LongRunning
	}
	return r.age < maxCrashAge
}

// hasCrashed reports whether an executor has crashed under the task before.
func (r crashedRun) hasCrashed() bool { return r.task.crashes.total > 0 }
