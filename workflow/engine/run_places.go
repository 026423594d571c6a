package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// track adds a task to the list of the executor incarnation that has its run.
func (e *Engine) track(t *task) {
	tasks := e.tasksWithRun[t.executorIncarnation]
	if i, found := slices.BinarySearchFunc(tasks, t, compareTasks); !found {
		e.tasksWithRun[t.executorIncarnation] = slices.Insert(tasks, i, t)
	}
}

func (e *Engine) untrack(t *task) {
	tasks := e.tasksWithRun[t.executorIncarnation]
	if i, found := slices.BinarySearchFunc(tasks, t, compareTasks); found {
		if tasks = slices.Delete(tasks, i, i+1); len(tasks) == 0 {
			delete(e.tasksWithRun, t.executorIncarnation)
		} else {
			e.tasksWithRun[t.executorIncarnation] = tasks
		}
	}
	if t.node != nil {
		t.node.removeTask(t)
	}
}

func compareTasks(a, b *task) int { return cmp.Compare(a.name, b.name) }

// releaseRun removes the run of a task from its executor, where its place becomes free. An assigned task waits again. The caller has
// made sure that the run has ended and can't begin any more, and gives the cause.
func (e *Engine) releaseRun(t *task, cause EndCause, now time.Time) {
	t.keepFormerRun(cause, now)
	e.recordSupersededEnd(t, cause, now)
	e.quarantine.RecordProbeAbort(t.host)
	e.removeRun(t)
	if t.phase == workflow.TaskAssigned {
		t.phase = workflow.TaskWaiting
	}
	e.markDirty(t.job)
	e.needsPlanning = true
}

// removeRun removes the run of a task from its executor.
func (e *Engine) removeRun(t *task) {
	e.untrack(t)
	delete(e.stopping, t)
	t.clearRun()
}

func (t *task) clearRun() {
	if t.started {
		t.waitingSince = time.Time{}
	}
	t.executorIncarnation, t.host, t.node = "", "", nil
	t.startPending, t.started, t.listed, t.stopRequested, t.stopReason = false, false, false, false, ""
	t.startedSequence, t.stoppedSequence = 0, 0
	t.restored, t.reassigned, t.reassignedBefore = false, false, false
	t.startedIncarnation, t.stoppedIncarnation = 0, 0
	t.stopOrderedAt, t.supersededAt = time.Time{}, time.Time{}
	t.percent, t.usage = 0, 0
	t.crashes.listedSince = time.Time{}
}
