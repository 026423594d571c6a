package engine_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Outcomes of calls to an executor. Other numbers stand for calls that are carried out and answered.
const (
	callRejected = iota + 1
	callAnswerLost
	callLate
)

// deliver makes a node carry out orders.
func (w *placementWorld) deliver(i, outcome int) {
	o := w.orders[i]
	w.orders = slices.Delete(w.orders, i, i+1)
	h := w.host(o.Node)
	r := pendingResults{node: o.Node, executor: o.Orders.ExecutorIncarnation, process: h.process}
	for _, s := range o.Orders.Stops {
		r.results = append(r.results, h.executeStop(&o.Orders, s, outcome))
	}
	for j := range o.Orders.Starts {
		r.results = append(r.results, h.executeStart(&o.Orders, &o.Orders.Starts[j], outcome, w.now))
		if outcome > 0 {
			outcome = 1 + (outcome+j)%maxPick
		}
	}
	if !o.givenUp {
		w.results = append(w.results, r)
	}
}

// executeStart makes the executor carry out a start, or fails the call.
func (h *faultyHost) executeStart(o *workflow.Orders, s *workflow.StartOrder, outcome int, now time.Time) workflow.OrderResult {
	result := workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: "node"}
	start, admitted := h.startOf(o, s, now)
	if !admitted {
		return result
	}
	h.epoch = o.Epoch
	if o.LeaseMillis > 0 {
		h.renew(o.ReportNumber)
	}
	h.sequence++
	result.Sequence = h.sequence
	switch {
	case h.silent || outcome == callLate:
		h.late = append(h.late, start)
		result.Outcome = workflow.OutcomeUnknown
	case outcome == callRejected:
		result.Reason = workflow.ReasonUnhealthy
	default:
		if accepted := h.start(start, now); accepted {
			result.Outcome = workflow.OutcomeDone
		}
		if outcome == callAnswerLost {
			result.Outcome = workflow.OutcomeUnknown
		}
	}
	return result
}

// executeStop makes the executor carry out a stop, or fails the call. The run goes on until an action ends it.
func (h *faultyHost) executeStop(o *workflow.Orders, s workflow.StopOrder, outcome int) workflow.OrderResult {
	result := workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown}
	if o.Epoch < h.epoch || h.known.IncarnationID() != o.ExecutorIncarnation {
		return result
	}
	h.epoch = o.Epoch
	h.sequence++
	result.Sequence = h.sequence
	id, _, _ := strings.Cut(o.ExecutorIncarnation, "@")
	if h.silent || outcome == callLate || id != h.executor.ID {
		return result
	}
	if h.stop(s, o.Epoch) && outcome != callAnswerLost {
		result.Outcome = workflow.OutcomeDone
	}
	return result
}

// mayRun returns the runs that an executor incarnation has or may still get.
func (w *placementWorld) mayRun(incarnation string, h *faultyHost) map[workflow.RunState]bool {
	if h.executor.IncarnationID() != incarnation {
		return nil
	}
	runs := h.mayRun(w.now)
	for _, o := range w.orders {
		for i := range o.Orders.Starts {
			s := &o.Orders.Starts[i]
			if start, admitted := h.startOf(&o.Orders, s, w.now); o.Node == h.name && admitted && h.canStart(start, w.now) {
				runs[start.RunState] = true
			}
		}
	}
	return runs
}

// checkStarts checks the starts of orders against all runs that may exist on their executor.
func (w *placementWorld) checkStarts(o *workflow.Orders, node string) {
	runs := w.mayRun(o.ExecutorIncarnation, w.host(node))
	if runs == nil {
		// The executor has ended, so that what was known of it counts.
		runs = map[workflow.RunState]bool{}
	}
	for i := range o.Starts {
		w.starts++
		start := workflow.RunState{Task: o.Starts[i].Task, Run: o.Starts[i].Run}
		if why := w.violatedBy(start, w.executors[o.ExecutorIncarnation], runs); why != "" && w.violation == "" {
			w.violation = fmt.Sprintf("start of %s run %d on %s %s; it may have %v", start.Task, start.Run, o.ExecutorIncarnation, why, slices.Collect(maps.Keys(runs)))
		}
		runs[start] = true
	}
}

func (w *placementWorld) stepOf(task string) (workflow.TaskID, *workflow.Step) {
	id, _ := workflow.ParseTaskID(task)
	i := slices.IndexFunc(w.jobs, func(j workflow.Job) bool { return j.ID == id.Job })
	return id, &w.jobs[i].Steps[id.Step]
}

// violatedBy returns which constraint a start on an executor breaks beside other runs, or "".
func (w *placementWorld) violatedBy(start workflow.RunState, x workflow.Executor, runs map[workflow.RunState]bool) string {
	id, s := w.stepOf(start.Task)
	ofStep, reserved := 1, s.Reserved()
	for run := range runs {
		other, step := w.stepOf(run.Task)
		reserved = reserved.Add(step.Reserved())
		if other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
			ofStep++
		}
	}
	switch {
	case !w.pools[x.Pool]:
		return "is in pool " + x.Pool
	case s.Label != "" && !x.HasLabel(s.Label):
		return "lacks the label " + s.Label
	case s.PerExecutor > 0 && ofStep > s.PerExecutor:
		return fmt.Sprintf("is number %d of %d", ofStep, s.PerExecutor)
	case !reserved.Fits(x.Capacity):
		return fmt.Sprintf("exceeds the capacity: %+v of %+v", reserved, x.Capacity)
	}
	return ""
}
