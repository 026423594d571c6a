package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// shortRun is the time since its start below which the end of a run of a long-running task counts as early.
	shortRun = 2 * time.Second
	// freeEarlyEnds is how many early ends in a row cause no pause before the next start.
	freeEarlyEnds = 3
	// minRestartPause and maxRestartPause limit the pause, which doubles with each further early end. Otherwise a task that ends at once
	// would keep the owner and the store busy.
	minRestartPause = 250 * time.Millisecond
	maxRestartPause = time.Second
)

// handleLongRunningEnd processes the end of a run of a long-running task, which runs until its job is cancelled: the task waits for its next
// run, however this one has ended. Ends of other runs than the present one change nothing.
func (e *Engine) handleLongRunningEnd(n *node, incarnation string, t *task, end *workflow.RunEnd, now time.Time) {
	if !t.isRun(incarnation, end.Run) {
		return
	}
	if end.Saved != "" {
		t.setSaved(end.Saved, now)
	}
	switch end.How {
	case workflow.EndFailed:
		// It does not indicate a fault of the executor, so that it doesn't count for the quarantine.
		t.countFailure()
		t.failedHosts = append(t.failedHosts, n.name)
		t.pauseAfterEarlyEnd(now)
	case workflow.EndDone:
		t.pauseAfterEarlyEnd(now)
		e.stopFinishedGang(t)
	}
	e.releaseRun(t, listedEnd(end.How), now)
}

// stopFinishedGang requests stops of the other members of the gang of a task whose run is done: it is done for all of them, and they may
// not list ends of their own.
func (e *Engine) stopFinishedGang(t *task) {
	if !t.step.Gang {
		return
	}
	for _, member := range t.group.tasks {
		if member != t && member.phase == workflow.TaskAssigned && member.run == t.run {
			e.requestStop(member, "its gang is done")
		}
	}
}

// pauseAfterEarlyEnd delays the next start of a task whose runs end early time and again.
func (t *task) pauseAfterEarlyEnd(now time.Time) {
	if t.startedAt.IsZero() || now.Sub(t.startedAt) >= shortRun {
		t.earlyEnds = 0
		return
	}
	t.earlyEnds++
	if excess := t.earlyEnds - freeEarlyEnds; excess > 0 {
		t.notBefore = now.Add(min(minRestartPause<<min(excess-1, maxPauseDoublings), maxRestartPause))
	}
}
