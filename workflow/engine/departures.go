package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Departure describes an executor that has left as planned while tasks were assigned to it.
type Departure struct {
	Node, Incarnation string
	// Tasks is the number of tasks that have been unassigned.
	Tasks int
}

// endDeparted unassigns the tasks of an executor that has left: their runs have ended, so they don't wait until its lease has
// expired. A task whose start may still be carried out stays assigned until then, since the start may reach the next
// incarnation under the executor's ID.
func (e *Engine) endDeparted(n *node, r *workflow.Report, now, wall time.Time) {
	e.applyLastLists(n, r, now, wall)
	ended := 0
	for _, t := range e.assignedTo(n.executorIncarnation) {
		if !t.started {
			continue
		}
		e.unassign(t)
		ended++
	}
	if ended > 0 {
		e.departures = append(e.departures, Departure{Node: n.name, Incarnation: n.executorIncarnation, Tasks: ended})
	}
}

// applyLastLists updates the tasks of an executor that has left from the last lists of its runs: no other report may have
// delivered them to this owner.
func (e *Engine) applyLastLists(n *node, r *workflow.Report, now, wall time.Time) {
	listedAt := now.Add(-time.Duration(r.ListAgeMillis) * time.Millisecond)
	for i := range r.Running {
		run := &r.Running[i]
		if t := e.taskByName(run.Task); t.isRun(n.executorIncarnation, run.Run) {
			t.updateProgress(run, listedAt)
		}
	}
	for i := range r.Ended {
		e.handleRunEnd(n, n.executorIncarnation, &r.Ended[i], now, wall)
	}
}

// isRun reports whether a task is assigned to an executor incarnation with the given run.
func (t *task) isRun(incarnation string, run int) bool {
	return t != nil && t.phase == workflow.TaskAssigned && t.executorIncarnation == incarnation && t.run == run
}

// TakeDepartures returns the executors that have left with tasks since the last call.
func (e *Engine) TakeDepartures() []Departure {
	taken := e.departures
	e.departures = nil
	return taken
}
