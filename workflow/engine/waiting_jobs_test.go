package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// waitingJob is a job with one task, the start of which is ordered on executor "a".
type waitingJob struct {
	*harness
	job    workflow.Job
	start  workflow.StartOrder
	record workflow.JobRecord
}

func newWaitingJob(t *testing.T) *waitingJob {
	w := &waitingJob{harness: newHarness(t)}
	w.job = w.harness.job(step(1))
	w.engine.Add(w.job, nil, w.now, w.now)
	w.report("a", executor("a", 1), nil, nil)
	w.start, w.record = w.orderStart()
	return w
}

func (w *waitingJob) answerStart(outcome workflow.Outcome) {
	w.answer("a", w.start, outcome)
}

func (w *waitingJob) waiting() int { return w.engine.Waiting(queue.Name) }

func (w *waitingJob) running() []workflow.RunState {
	return []workflow.RunState{{Task: w.start.Task, Run: w.start.Run}}
}

func (w *waitingJob) ended(how workflow.EndReason) []workflow.RunEnd {
	return []workflow.RunEnd{{Number: 1, Task: w.start.Task, Run: w.start.Run, How: how}}
}

// Guards against jobs that aren't counted as waiting because starts of them were ordered, although no executor has begun them (MIXED).
func TestJobWaitsUntilStartIsConfirmed(t *testing.T) {
	w := newWaitingJob(t)
	w.Assert(w.waiting(), qt.Equals, 1, qt.Commentf("the result is outstanding"))
	w.answerStart(workflow.OutcomeUnknown)
	w.Assert(w.waiting(), qt.Equals, 1)
	w.report("a", executor("a", 1), w.running(), nil)
	w.Assert(w.waiting(), qt.Equals, 0)
	w.Assert(w.engine.Waiting("other"), qt.Equals, 0)
}

// Guards against jobs that are counted as waiting for ever although they have begun: any sign of a run is enough.
func TestJobHasBegunWithAnySignOfRun(t *testing.T) {
	signs := map[string]func(w *waitingJob){
		"start confirmed": func(w *waitingJob) { w.answerStart(workflow.OutcomeDone) },
		"end listed":      func(w *waitingJob) { w.report("a", executor("a", 1), nil, w.ended(workflow.EndFailed)) },
		"listed after its end": func(w *waitingJob) {
			w.now = w.now.Add(leaseExpiry + time.Millisecond)
			w.engine.ExpireLeases(w.now)
			w.Assert(w.waiting(), qt.Equals, 1, qt.Commentf("the lease has expired"))
			w.report("a", executor("a", 1), w.running(), nil)
		},
		"start accepted by an executor that has crashed": func(w *waitingJob) {
			w.engine.HandleReport(&workflow.Report{
				Node: "a", Address: "a", Incarnation: 1, Number: 2, Executor: executor("a", 1), LeaseBound: &workflow.LeaseBound{},
				ExecutorEnd: &workflow.ExecutorEnd{CoveredSequence: 1, Started: w.running()},
			}, w.now, w.now)
		},
	}
	for name, show := range signs {
		t.Run(name, func(t *testing.T) {
			w := newWaitingJob(t)
			show(w)
			w.Assert(w.waiting(), qt.Equals, 0)
			w.plan()
			w.Assert(w.waiting(), qt.Equals, 0, qt.Commentf("another run is ordered"))
		})
	}
}

// Guards against a new owner that takes a start ordered by its predecessor for a run, or counts a job that has begun as waiting.
func TestNewOwnerCountsWaitingJobs(t *testing.T) {
	w := newWaitingJob(t)
	w.epoch++
	w.takeOver(w.job, w.record)
	w.Assert(w.waiting(), qt.Equals, 1)
	w.report("a", executor("a", 1), w.running(), nil)
	w.Assert(w.waiting(), qt.Equals, 0)
	w.report("a", executor("a", 1), nil, w.ended(workflow.EndStopped))
	record := w.engine.TakeDirty()[0].Record
	w.epoch++
	w.takeOver(w.job, record)
	w.Assert(w.waiting(), qt.Equals, 0, qt.Commentf("the run has ended, and its task waits again"))
}

// Guards against counting jobs as waiting that have ended without having begun.
func TestCancelledJobDoesNotWait(t *testing.T) {
	w := newWaitingJob(t)
	w.engine.Cancel(w.job.ID, w.now, w.now)
	w.plan()
	w.Assert(w.waiting(), qt.Equals, 0)
}

// Guards against counting jobs as waiting that are not due yet.
func TestScheduledJobDoesNotWait(t *testing.T) {
	h := newHarness(t)
	job := h.job(step(1))
	job.Occurrences, job.FirstUnixMillis, job.IntervalMillis = 1, h.now.Add(time.Hour).UnixMilli(), 1000
	h.engine.Add(job, nil, h.now, h.now)
	h.Assert(h.engine.Waiting(queue.Name), qt.Equals, 0)
}
