package engine

import "time"

// maxDescribedSuperseded limits the superseded runs that are described between two calls of TakeSuperseded, and their ends; further
// ones are only counted.
const maxDescribedSuperseded = 128

// SupersededRun is a run whose task another run has finished. It keeps its place on its executor until its end is proved.
type SupersededRun struct {
	Task           string
	Run            int
	Executor, Node string
	// DoneRun and DoneExecutor are the run that has finished the task and its executor incarnation.
	DoneRun      int
	DoneExecutor string
	// Listed is set if the executor had listed the superseded run to this owner.
	Listed bool
}

// SupersededEnd is the end of a superseded run, whose place on its executor has become free.
type SupersededEnd struct {
	Task           string
	Run            int
	Executor, Node string
	Cause          EndCause
	// Held is how long the run kept its place after it had been superseded or, if Restored is set, after this owner had read of it.
	Held time.Duration
	// Restored is set if this owner knows from the record of the job that the task is done and that its newest run may still run. That
	// run may also be one of a gang that another member has finished.
	Restored bool
}

// Superseded holds the superseded runs and the ends of such runs since the last call of TakeSuperseded.
type Superseded struct {
	Runs []SupersededRun
	Ends []SupersededEnd
	// RunCount and EndCounts include those that are not described.
	RunCount  int
	EndCounts map[EndCause]int
}

// TakeSuperseded returns the runs that were superseded since the last call, and the ends of such runs.
func (e *Engine) TakeSuperseded() Superseded {
	taken := e.superseded
	e.superseded = Superseded{}
	return taken
}

// supersede requests the stop of the run of a task that another run has finished.
func (e *Engine) supersede(t *task, doneRun int, doneExecutor string, now time.Time) {
	e.requestStop(t, stopOfDone)
	t.supersededAt = now
	s := &e.superseded
	s.RunCount++
	if len(s.Runs) == maxDescribedSuperseded {
		return
	}
	s.Runs = append(s.Runs, SupersededRun{
		Task: t.name, Run: t.run, Executor: t.executorIncarnation, Node: t.host, DoneRun: doneRun, DoneExecutor: doneExecutor, Listed: t.listed,
	})
}

// recordSupersededEnd records that the run of a task has ended, if it was superseded.
func (e *Engine) recordSupersededEnd(t *task, cause EndCause, now time.Time) {
	if t.supersededAt.IsZero() {
		return
	}
	s := &e.superseded
	if s.EndCounts == nil {
		s.EndCounts = map[EndCause]int{}
	}
	s.EndCounts[cause]++
	if len(s.Ends) == maxDescribedSuperseded {
		return
	}
	s.Ends = append(s.Ends, SupersededEnd{
		Task: t.name, Run: t.run, Executor: t.executorIncarnation, Node: t.host, Cause: cause, Held: now.Sub(t.supersededAt), Restored: t.doneRun == 0,
	})
}
