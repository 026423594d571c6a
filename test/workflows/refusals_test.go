package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// submitRunning submits a job whose tasks run for the given time, and waits until all of them run. It returns the ID of the job.
func (f *fleet) submitRunning(count int, duration time.Duration) string {
	for _, h := range f.hosts {
		h.executor.SetDuration(duration)
	}
	job := f.newJob(count)
	job.Steps[0].EstimateMillis = duration.Milliseconds()
	f.submitUntilAccepted(job)
	f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == count })
	return job.ID
}

// Guards against two runs of a task at once because its executor refuses connections for a while: its server is down, it has reached its
// limit of connections, or it is cut off from its node, so that its announcements are lost as well.
func TestRefusingExecutorKeepsItsRuns(t *testing.T) {
	for _, announced := range []bool{true, false} {
		for _, refused := range []time.Duration{100, 300, 500, 1000, 2000, 3000, 4500} {
			refused *= time.Millisecond
			t.Run(fmt.Sprintf("announced=%v/%v", announced, refused), func(t *testing.T) {
				runWithFleet(t, 3, func(f *fleet) {
					f.assertRunsOutlast(func(h *host) {
						h.mute.Store(!announced)
						h.executor.SetRefusing(true)
						time.Sleep(refused)
						h.executor.SetRefusing(false)
						h.mute.Store(false)
					})
				})
			})
		}
	}
}

// assertRunsOutlast runs nine tasks, disturbs one host after the other, and fails if a task is started again.
func (f *fleet) assertRunsOutlast(disturb func(h *host)) {
	f.Helper()
	id := f.submitRunning(9, 25*time.Second)
	for _, h := range f.hosts {
		disturb(h)
		time.Sleep(time.Second)
	}
	f.waitCompleted(30*time.Second, id)
	f.Assert(f.checker.startCount(), qt.Equals, 9)
}

// Guards against tasks that are started elsewhere while they run: the announcement of a former executor's end arrives late, and the
// current one refuses a connection (found by TestRandomFaultsWithRefusedConnections, seed 4102).
func TestLateDepartureAndRefusalDoNotEndRuns(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		id := f.submitRunning(9, 5*time.Second)
		for _, h := range f.hosts {
			description, _ := h.executor.Describe()
			h.node.Leave(description.ID)
			h.executor.SetRefusing(true)
			time.Sleep(100 * time.Millisecond)
			h.executor.SetRefusing(false)
			time.Sleep(time.Second)
		}
		f.waitCompleted(30*time.Second, id)
		f.Assert(f.checker.startCount(), qt.Equals, 9)
	})
}
