package engine

import "github.com/quetzalshed/quetzalshed/workflow"

// Departure describes an executor that has left as planned while tasks were assigned to it.
type Departure struct {
	Node, Incarnation string
	// Tasks is the number of tasks that start again elsewhere.
	Tasks int
}

// endDeparted unassigns the tasks of an executor that has left: their runs have ended, so they don't wait until its lease has
// expired. A task whose start may still be carried out stays assigned until then, since the start may reach the next
// incarnation under the executor's ID.
func (e *Engine) endDeparted(n *node, r *workflow.Report) {
	e.noteListedStarts(r)
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

// noteListedStarts records which starts have been carried out, by the lists of an executor. An owner that has taken over
// doesn't know their results.
func (e *Engine) noteListedStarts(r *workflow.Report) {
	for i := range r.Running {
		run := &r.Running[i]
		t := e.taskByName(run.Task)
		if t != nil && t.run == run.Run && t.executorIncarnation == r.Executor.IncarnationID() {
			t.started = true
		}
	}
}

// TakeDepartures returns the executors that have left with tasks since the last call.
func (e *Engine) TakeDepartures() []Departure {
	taken := e.departures
	e.departures = nil
	return taken
}
