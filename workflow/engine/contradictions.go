package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxReportContradictions limits the contradictions that are described for one report; further ones are only counted.
const maxReportContradictions = 8

// ContradictionKind tells how a run that an executor lists contradicts what this owner knew.
type ContradictionKind string

// Kinds of contradictions.
const (
	// RunsTwice means that the run is running while another run of the task is assigned.
	RunsTwice ContradictionKind = "runs twice"
	// RunsAfterEnd means that the run is running although it was taken for ended; no other run is assigned.
	RunsAfterEnd ContradictionKind = "runs after end"
	// RunsAfterDone means that the run is running although the task is done and has no such run any more.
	RunsAfterDone ContradictionKind = "runs after done"
	// DoneTwice means that the run has finished the task after another run had.
	DoneTwice ContradictionKind = "done twice"
	// DoneElsewhere means that the run has finished the task while another run is assigned.
	DoneElsewhere ContradictionKind = "done elsewhere"
	// DoneAfterEnd means that the run has finished the task although it was taken for ended; no other run is assigned.
	DoneAfterEnd ContradictionKind = "done after end"
	// RunUnknown means that neither this owner nor the record of the job knows of a run with so high a number.
	RunUnknown ContradictionKind = "run unknown"
	// JobEnded means that the run is running although the job had ended without runs.
	JobEnded ContradictionKind = "job ended"
	// JobUnknown means that the run is running although the job is not known, or no longer.
	JobUnknown ContradictionKind = "job unknown"
)

// Contradiction is a run that an executor lists as running or done although this owner had taken it for ended or did not know it.
type Contradiction struct {
	Kind ContradictionKind
	Task string
	// Run, Executor and Node are the listed run, the executor incarnation that lists it and its host.
	Run            int
	Executor, Node string
	ListAge        time.Duration
	// Taken is how the listed run was taken to have ended; nil if this is not known.
	Taken *FormerRun
	// SinceTaken is the time since then.
	SinceTaken time.Duration
	// Phase, CurrentRun and CurrentExecutor are the state of the task if TaskKnown is set; the executor is empty unless the task has
	// a run.
	TaskKnown       bool
	Phase           workflow.TaskPhase
	CurrentRun      int
	CurrentExecutor string
}

// contradictions collects contradictions until the owner takes them.
type contradictions struct {
	described []Contradiction
	counts    map[ContradictionKind]int
}

// contradictionKey identifies a contradiction in consecutive reports of a node.
type contradictionKey struct {
	task string
	run  int
	kind ContradictionKind
}

// reportedContradictions holds those of the present and the previous report of a node, so that each counts once while reports
// repeat it.
type reportedContradictions struct {
	present, previous map[contradictionKey]struct{}
	described         int
}

// next begins another report.
func (r *reportedContradictions) next() {
	r.previous, r.present, r.described = r.present, nil, 0
}

// add adds a contradiction and reports whether it is new.
func (r *reportedContradictions) add(key contradictionKey) bool {
	_, repeated := r.previous[key]
	_, present := r.present[key]
	if r.present == nil {
		r.present = map[contradictionKey]struct{}{}
	}
	r.present[key] = struct{}{}
	return !repeated && !present
}

// TakeContradictions returns the contradictions found since the last call, and their number by kind, which includes those that
// are not described.
func (e *Engine) TakeContradictions() ([]Contradiction, map[ContradictionKind]int) {
	taken := e.contradictions
	e.contradictions = contradictions{}
	return taken.described, taken.counts
}

// checkRunning looks for a contradiction in a run that an executor lists as running and that is not a current one.
func (e *Engine) checkRunning(n *node, run *workflow.RunState, now time.Time) {
	t := e.taskByName(run.Task)
	if t == nil {
		e.addContradiction(n, e.kindWithoutTask(run.Task), run.Task, run.Run, nil, now)
		return
	}
	former := t.formerRun(run.Run, n.executorIncarnation)
	if former != nil && !n.lists.at.After(former.takenForEndedAt) {
		// The lists are older than the end.
		return
	}
	e.addContradiction(n, t.kindOfRunning(run.Run), run.Task, run.Run, t, now)
}

func (e *Engine) kindWithoutTask(name string) ContradictionKind {
	if id, ok := workflow.ParseTaskID(name); ok && e.jobs[id.Job] != nil {
		return JobEnded
	}
	return JobUnknown
}

func (t *task) kindOfRunning(run int) ContradictionKind {
	switch {
	case t.phase == workflow.TaskDone:
		return RunsAfterDone
	case t.job.phase.Final() && t.phase == workflow.TaskWaiting:
		return JobEnded
	case run > t.run:
		return RunUnknown
	case t.phase == workflow.TaskAssigned:
		return RunsTwice
	}
	return RunsAfterEnd
}

// checkDone looks for a contradiction in the end of a run that has finished its task.
func (e *Engine) checkDone(n *node, incarnation string, t *task, run int, now time.Time) {
	if kind := t.kindOfDone(run, incarnation); kind != "" {
		e.addContradiction(n, kind, t.name, run, t, now)
	}
}

// kindOfDone returns how the end of a run that has finished the task contradicts this owner's state; empty if it does not.
func (t *task) kindOfDone(run int, incarnation string) ContradictionKind {
	switch {
	case t.run == 0 && t.job.phase.Final():
		// The record of a finished job lacks the runs that have ended.
		return ""
	case t.phase == workflow.TaskDone:
		if t.doneRun == 0 || run == t.doneRun && (t.doneExecutor == "" || t.doneExecutor == incarnation) {
			return ""
		}
		return DoneTwice
	case t.isRun(incarnation, run):
		return ""
	case run > t.run:
		return RunUnknown
	case t.phase == workflow.TaskAssigned:
		return DoneElsewhere
	}
	return DoneAfterEnd
}

// formerRun returns what is known of a former run of the task on an executor incarnation, or nil.
func (t *task) formerRun(run int, incarnation string) *endedRun {
	for _, f := range [...]*endedRun{t.former, t.rejected} {
		if f != nil && f.Run == run && (f.Executor == "" || f.Executor == incarnation) {
			return f
		}
	}
	return nil
}

// addContradiction counts and describes a contradiction unless the previous report had it. t is nil if the task is not known.
func (e *Engine) addContradiction(n *node, kind ContradictionKind, name string, run int, t *task, now time.Time) {
	if !n.contradictions.add(contradictionKey{name, run, kind}) {
		return
	}
	if e.contradictions.counts == nil {
		e.contradictions.counts = map[ContradictionKind]int{}
	}
	e.contradictions.counts[kind]++
	if n.contradictions.described == maxReportContradictions {
		return
	}
	n.contradictions.described++
	c := Contradiction{Kind: kind, Task: name, Run: run, Executor: n.executorIncarnation, Node: n.name, ListAge: UnknownAge}
	if n.lists.incarnation == n.executorIncarnation {
		c.ListAge = max(now.Sub(n.lists.at), 0)
	}
	if t != nil {
		c.TaskKnown, c.Phase, c.CurrentRun, c.CurrentExecutor = true, t.phase, t.run, t.executorIncarnation
		if former := t.formerRun(run, n.executorIncarnation); former != nil {
			c.Taken, c.SinceTaken = &former.FormerRun, now.Sub(former.takenForEndedAt)
		}
	}
	e.contradictions.described = append(e.contradictions.described, c)
}
