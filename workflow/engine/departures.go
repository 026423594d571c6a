package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Departure describes an executor with runs that has left, or that neither takes connections nor announces itself.
type Departure struct {
	Node, Incarnation string
	// Held is set if the executor hadn't announced its end. Its runs keep their places until its lease has expired.
	Held bool
	// Tasks is the number of tasks whose runs have been released, or keep their places.
	Tasks int
}

// handleDeparture releases the runs of an executor that has left: they have ended, so their tasks don't wait until its lease has
// expired. A run whose start may still be carried out keeps its place until then, since the start may reach the next incarnation
// under the executor's ID.
func (e *Engine) handleDeparture(n *node, r *workflow.Report, now, wall time.Time) {
	e.applyLastLists(n, r, now, wall)
	e.releaseStartedRuns(n, r, now)
}

// handleRefusedConnections handles an executor that refuses connections without having announced its end. It gets no starts, and the
// crash is counted. The refusals don't prove the end of its runs: they may go on while the executor is cut off from its node. So they
// keep their places until its lease has expired, or until the next incarnation has responded. A draining executor has announced its
// end, and is handled as one that has left.
func (e *Engine) handleRefusedConnections(n *node, r *workflow.Report, now, wall time.Time) {
	if !n.known || r.LeaseBound == nil || r.LeaseBound.Epoch < e.settings.Epoch {
		// A report for a former owner may be older than the incarnation.
		return
	}
	e.applyLastLists(n, r, now, wall)
	runs := slices.DeleteFunc(e.crashedRuns(n, n.executorIncarnation), func(c crashedRun) bool {
		if !c.known {
			// A former owner may have counted the crash, unless it is known that the run had begun.
			return !c.task.started
		}
		return !n.brokenAt.IsZero() && c.task.startedAt.After(n.brokenAt)
	})
	// The executor has not crashed with its whole host if it has responded to the current process of the node.
	e.recordEnd(n, n.executorIncarnation, runs, !r.Listed, now)
	isNew := n.endReportedAt.IsZero()
	n.endReportedAt = now
	if n.executor.Draining {
		e.releaseStartedRuns(n, r, now)
		return
	}
	if held := len(e.tasksWithRun[n.executorIncarnation]); isNew && held > 0 {
		e.departures = append(e.departures, Departure{Node: n.name, Incarnation: n.executorIncarnation, Held: true, Tasks: held})
	}
}

// hasEnded reports whether the host of an executor has shown its end, and the executor has not listed its runs since.
func (n *node) hasEnded(listedAt time.Time) bool {
	return !n.endReportedAt.IsZero() && !listedAt.After(n.endReportedAt)
}

// releaseStartedRuns releases the runs of an executor that has left whose starts are confirmed.
func (e *Engine) releaseStartedRuns(n *node, r *workflow.Report, now time.Time) {
	ended := 0
	for _, t := range e.tasksOn(n.executorIncarnation) {
		if !t.started || t.startedAfter(r) {
			continue
		}
		e.releaseRun(t, ExecutorLeft, now)
		ended++
	}
	if ended == 0 {
		return
	}
	e.lapsedAt[n.executorIncarnation] = now
	e.departures = append(e.departures, Departure{Node: n.name, Incarnation: n.executorIncarnation, Tasks: ended})
}

// startedAfter reports whether a run was started after what a report says of the end of its executor.
func (t *task) startedAfter(r *workflow.Report) bool {
	return r.ExecutorEnd != nil && t.startedIncarnation == r.Incarnation && t.startedSequence > r.ExecutorEnd.CoveredSequence
}

func init() {
	registerStaticFilter("ended", func(_ *placementRequest, n *node) bool { return n.endReportedAt.IsZero() })
}

// applyLastLists updates the tasks of an executor that has ended from the last lists of its runs: no other report may have
// delivered them to this owner.
func (e *Engine) applyLastLists(n *node, r *workflow.Report, now, wall time.Time) {
	listedAt := now.Add(-time.Duration(r.ListAgeMillis) * time.Millisecond)
	n.contradictions.next()
	if r.Listed {
		n.lists = executorLists{n.executorIncarnation, listedAt}
	}
	for i := range r.Running {
		run := &r.Running[i]
		if t := e.taskByName(run.Task); t.isRun(n.executorIncarnation, run.Run) {
			t.updateProgress(run, listedAt)
		}
	}
	if r.ExecutorEnd != nil {
		for _, run := range r.ExecutorEnd.Started {
			if t := e.taskByName(run.Task); t.isRun(n.executorIncarnation, run.Run) {
				t.confirmStart()
			}
		}
	}
	for i := range r.Ended {
		e.handleRunEnd(n, n.executorIncarnation, &r.Ended[i], now, wall)
	}
}

// isRun reports whether the run that a task has is the given one on an executor incarnation.
func (t *task) isRun(incarnation string, run int) bool {
	return t != nil && t.hasRun() && t.executorIncarnation == incarnation && t.run == run
}

// TakeDepartures returns the executors that have ended with tasks since the last call.
func (e *Engine) TakeDepartures() []Departure {
	taken := e.departures
	e.departures = nil
	return taken
}
