package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// minExplainedAge is the age from which a job is explained, and waitExplainInterval the time between two searches for one
	// job.
	minExplainedAge     = 500 * time.Millisecond
	waitExplainInterval = time.Second
	// maxWaitsExplained bounds the jobs that are explained between two calls of Tick, since each explanation examines all
	// executors and may be logged.
	maxWaitsExplained = 2
	// noExecutorReason is the reason of a wait if no executor is known.
	noExecutorReason = "no executor"
	// gangReason is the reason of a gang of which single members find executors, but not all at the same time.
	gangReason = "gang"
)

// Wait says why a ready task of a job does not start.
type Wait struct {
	Job string
	// Task is the first ready task that waits.
	Task string
	// Reason is the name of the filter that rejects the most executors, of those that an executor's load or history can
	// change, or else of the others.
	Reason string
	// Rejections is the number of executors that each filter is the first to reject.
	Rejections map[string]int
	// Age is the time since the job was accepted.
	Age time.Duration
}

// TakeWaits returns the waits whose reasons have changed since the last call.
func (e *Engine) TakeWaits() []Wait {
	waits := e.waits
	e.waits = nil
	return waits
}

// explainWaits looks for the reasons of jobs that still have ready tasks after a plan.
func (e *Engine) explainWaits(jobs []candidate, now, wall time.Time) {
	for _, c := range jobs {
		j := c.job
		if e.waitsToExplain == 0 {
			return
		}
		if now.Sub(j.acceptedAt) < minExplainedAge || now.Sub(j.waitExplainedAt) < waitExplainInterval {
			continue
		}
		t := e.firstReady(j, now, wall)
		if t == nil {
			continue
		}
		e.waitsToExplain--
		j.waitExplainedAt = now
		w := e.explainWait(c.queue, t, now)
		if w.Reason == j.waitReason {
			continue
		}
		j.waitReason = w.Reason
		e.waits = append(e.waits, w)
	}
}

// explainWait counts the executors that each filter rejects for a task.
func (e *Engine) explainWait(q *workflow.Queue, t *task, now time.Time) Wait {
	p := &placementRequest{engine: e, queue: q, task: t, now: now}
	w := Wait{Job: t.job.ID, Task: t.name, Rejections: map[string]int{}, Age: now.Sub(t.job.acceptedAt)}
	for _, n := range e.sortedNodes {
		if !n.known {
			continue
		}
		if name := p.firstRejection(t, n); name != "" {
			w.Rejections[name]++
		}
	}
	w.Reason = w.mainReason(t.step.Gang)
	return w
}

// firstRejection returns the name of the first filter that rejects an executor, or "" if all filters admit it.
func (p *placementRequest) firstRejection(t *task, n *node) string {
	for i := range filters {
		if !filters[i].Admits(p, n) {
			return filters[i].Name
		}
	}
	for i := range taskFilters {
		if !taskFilters[i].Admits(p, t, n) {
			return taskFilters[i].Name
		}
	}
	return ""
}

func (w *Wait) mainReason(isGang bool) string {
	reason, most := "", 0
	for i := range filters {
		f := &filters[i]
		if count := w.Rejections[f.Name]; count > most && !f.Static {
			reason, most = f.Name, count
		}
	}
	for i := range taskFilters {
		if count := w.Rejections[taskFilters[i].Name]; count > most {
			reason, most = taskFilters[i].Name, count
		}
	}
	if reason != "" {
		return reason
	}
	for i := range filters {
		if count := w.Rejections[filters[i].Name]; count > most {
			reason, most = filters[i].Name, count
		}
	}
	switch {
	case reason != "":
		return reason
	case isGang:
		return gangReason
	}
	return noExecutorReason
}
