package engine

// Departure describes an executor that has left as planned while tasks were assigned to it.
type Departure struct {
	Node, Incarnation string
	// Tasks is the number of tasks that start again elsewhere.
	Tasks int
}

// endDeparted unassigns the tasks of an executor that has left: their runs have ended, so they don't wait until its lease has
// expired. A task whose start has no result yet stays assigned until it has one.
func (e *Engine) endDeparted(n *node) {
	ended := 0
	for _, t := range e.assignedTo(n.executorIncarnation) {
		if t.startPending {
			continue
		}
		e.unassign(t)
		ended++
	}
	if ended > 0 {
		e.departures = append(e.departures, Departure{Node: n.name, Incarnation: n.executorIncarnation, Tasks: ended})
	}
}

// TakeDepartures returns the executors that have left with tasks since the last call.
func (e *Engine) TakeDepartures() []Departure {
	taken := e.departures
	e.departures = nil
	return taken
}
