package workflows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// unansweredShare is the share of the calls to executors that get no answer and are carried out seconds later.
	unansweredShare = 0.5
	// maxIdleTime is how long an accepted job may have nothing running while there is room for it.
	maxIdleTime = 3 * time.Second
)

// loseAnswers makes all executors leave the given share of the calls without an answer.
func (f *fleet) loseAnswers(share float64) {
	for _, h := range f.hosts {
		h.executor.SetDelayedShare(share)
	}
}

// Guards against jobs that stand still because the owner waits for an unanswered start, and then for the unanswered stop of it, before
// it starts the task again (issue 25: LOST).
func TestStartsWithoutAnswerDoNotStopJobs(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		f.loseAnswers(unansweredShare)
		for range 12 {
			id := f.submit(1)
			task := workflow.TaskID{Job: id}.String()
			waited := f.waitFor(20*time.Second, func() bool { return f.checker.starts(task) > 0 })
			f.Check(waited <= maxIdleTime, qt.IsTrue, qt.Commentf("job %s starts after %v", id, waited))
		}
		f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against tasks that end with the lease of their executor because renewals without an answer are not repeated in time
// (issue 25: LOST).
func TestLeasesOutlastRenewalsWithoutAnswer(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetDuration(time.Hour)
		}
		const tasks = 12
		job := f.newJob(tasks)
		job.Steps[0].LongRunning = true
		f.Assert(f.gateway.Submit(f.ctx, &job), qt.IsNil)
		f.waitFor(3*time.Second, func() bool { return f.checker.runningCount() == tasks })
		f.loseAnswers(unansweredShare)
		time.Sleep(time.Minute)
		f.Check(f.checker.startCount(), qt.Equals, tasks)
		f.Assert(f.checker.runningCount(), qt.Equals, tasks)
	})
}

// Guards against tasks that wait for the lease of an executor that no longer fetches its orders, although an order that isn't fetched
// has no effect.
func TestTasksStartBesideSilentFetcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(callDrainTime)
		defer cancel()
		f := newFleetOf(t, ctx, 4, true)
		time.Sleep(startupTime)
		for i := range 8 {
			x := f.hosts[i%len(f.hosts)].executor
			x.SetUnresponsive(true)
			for range 6 {
				id := f.submit(1)
				task := workflow.TaskID{Job: id}.String()
				waited := f.waitFor(20*time.Second, func() bool { return f.checker.starts(task) > 0 })
				f.Check(waited <= maxIdleTime, qt.IsTrue, qt.Commentf("job %s starts after %v", id, waited))
			}
			x.SetUnresponsive(false)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against leases that lapse although some renewals are answered, because a call repeats the renewal only if it was urgent when
// the call began.
func TestLeasesOutlastManyRenewalsWithoutAnswer(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetDuration(100 * time.Hour)
		}
		const tasks = 12
		job := f.newJob(tasks)
		job.Steps[0].LongRunning = true
		f.Assert(f.gateway.Submit(f.ctx, &job), qt.IsNil)
		f.waitFor(3*time.Second, func() bool { return f.checker.runningCount() == tasks })
		f.loseAnswers(0.7)
		time.Sleep(10 * time.Minute)
		f.Check(f.checker.startCount(), qt.Equals, tasks)
	})
}
