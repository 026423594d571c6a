package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// startResultTimeout is the time after which the result of a start counts as lost. Orders are answered or given up within 2 s; a
// loaded owner may take longer to hear of it.
const startResultTimeout = 5 * time.Second

// reconcile compares the running and ended runs that an executor lists with the runs that tasks have on it.
func (e *Engine) reconcile(n *node, r *workflow.Report, now, wall time.Time) {
	incarnation := n.executorIncarnation
	n.headroomsAt = time.Time{}
	n.lists = executorLists{incarnation, n.listedAt}
	n.contradictions.next()
	present := make(map[string]int, len(r.Running)+len(r.Ended))
	n.orphanedRuns = n.orphanedRuns[:0]
	listed := e.listedRuns[:0]
	for i := range r.Running {
		run := &r.Running[i]
		present[run.Task] = max(present[run.Task], run.Run)
		t := e.taskByName(run.Task)
		if t != nil {
			t.job.begun = true
			listed = append(listed, listedRun{t, run.Run})
		}
		if !t.isRun(incarnation, run.Run) {
			n.orphanedRuns = append(n.orphanedRuns, *run)
			e.checkRunning(n, run, now)
			continue
		}
		t.updateProgress(run, n.listedAt)
		if t.phase == workflow.TaskDone {
			e.requestStop(t, stopOfDone)
		}
	}
	e.checkPlacement(n, listed, now)
	e.listedRuns = listed
	isHeld := false
	for i := range r.Ended {
		end := &r.Ended[i]
		present[end.Task] = max(present[end.Task], end.Run)
		e.handleRunEnd(n, incarnation, end, now, wall)
		if isHeld = isHeld || e.holdsEnd(end); !isHeld {
			n.ackedEnd = max(n.ackedEnd, end.Number)
		}
	}
	for _, t := range e.tasksOn(incarnation) {
		if t.startPending && now.Sub(t.startedAt) >= startResultTimeout {
			t.startPending = false
		}
		if present[t.name] >= t.run || t.startPending || !r.EndsComplete {
			// The end of a run may follow in later lists. Each acknowledgement makes the executor list further ends.
			continue
		}
		e.handleUnlistedRun(t, r, now)
	}
	e.recordAlive(n)
	e.stopOrphanedRuns(n, now)
	e.sampleLatencies(n, now)
}

// updateProgress updates a task from the state of its run that the executor listed at the given time.
func (t *task) updateProgress(run *workflow.RunState, at time.Time) {
	if !t.listed {
		t.confirmStart()
		t.listed, t.progressedAt = true, at
	}
	if run.Percent != t.percent || run.Saved != t.saved {
		t.progressedAt = at
	}
	t.percent, t.usage = run.Percent, run.Usage
	t.group.lowestAt = time.Time{}
	if run.Saved != "" {
		t.setSaved(run.Saved, at)
	}
}

// handleUnlistedRun handles a task that its executor lists neither as running nor as ended, in complete lists. Its start may still
// arrive, so a stop is ordered before the run is released: an executor never starts a run after an order to stop it.
func (e *Engine) handleUnlistedRun(t *task, r *workflow.Report, now time.Time) {
	if t.startedSequence > r.CoveredSequence && t.startedIncarnation == r.Incarnation {
		return
	}
	if t.stoppedSequence > 0 && t.stoppedIncarnation == r.Incarnation && r.CoveredSequence >= t.stoppedSequence {
		e.releaseRun(t, UnlistedAndStopped, now)
		return
	}
	if t.stoppedIncarnation != r.Incarnation {
		// Order sequences of another node process can't be compared with those of this one.
		t.stoppedSequence = 0
	}
	e.requestStop(t, "its executor doesn't list it")
	e.needsPlanning = true
}

// stopOrphanedRuns orders stops of the runs that no task has.
func (e *Engine) stopOrphanedRuns(n *node, now time.Time) {
	if len(n.orphanedRuns) == 0 || now.Sub(n.orphanStopsAt) < stopRetry {
		return
	}
	n.orphanStopsAt = now
	for _, run := range n.orphanedRuns {
		b := e.outboxFor(n.name)
		b.stops = append(b.stops, workflow.StopOrder{Task: run.Task, Run: run.Run, Reason: "no task is assigned to it"})
	}
}
