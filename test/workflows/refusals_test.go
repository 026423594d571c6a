package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against tasks that are started elsewhere while they run, since their executor's server was away for a moment: it refuses
// connections, and the executor lists its runs again afterwards.
func TestMomentaryRefusalsDoNotEndRuns(t *testing.T) {
	for refused := 100 * time.Millisecond; refused <= 500*time.Millisecond; refused += 100 * time.Millisecond {
		t.Run(fmt.Sprint(refused), func(t *testing.T) {
			runWithFleet(t, 3, func(f *fleet) {
				for _, h := range f.hosts {
					h.executor.SetDuration(5 * time.Second)
				}
				job := f.newJob(9)
				job.Steps[0].EstimateMillis = 5000
				f.submitUntilAccepted(job)
				f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 9 })
				for _, h := range f.hosts {
					h.executor.SetRefusing(true)
					time.Sleep(refused)
					h.executor.SetRefusing(false)
					time.Sleep(time.Second)
				}
				f.waitCompleted(30*time.Second, job.ID)
				f.Assert(f.checker.startCount(), qt.Equals, 9)
			})
		})
	}
}

// Guards against tasks that are started elsewhere while they run: the announcement of a former executor's end arrives late, and the
// current one refuses a connection (found by TestRandomFaultsWithRefusedConnections, seed 4102).
func TestLateDepartureAndRefusalDoNotEndRuns(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetDuration(5 * time.Second)
		}
		job := f.newJob(9)
		job.Steps[0].EstimateMillis = 5000
		f.submitUntilAccepted(job)
		f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 9 })
		for _, h := range f.hosts {
			description, _ := h.executor.Describe()
			h.node.Leave(description.ID)
			h.executor.SetRefusing(true)
			time.Sleep(100 * time.Millisecond)
			h.executor.SetRefusing(false)
			time.Sleep(time.Second)
		}
		f.waitCompleted(30*time.Second, job.ID)
		f.Assert(f.checker.startCount(), qt.Equals, 9)
	})
}
