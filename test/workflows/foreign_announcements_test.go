package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// announceForeign announces at a host an executor that doesn't run there and seems to be newer than the host's own.
func (h *host) announceForeign(sequence int64) {
	h.node.Announce(workflow.Executor{
		ID: "i-foreign", Pool: "foreign", FailureDomain: "domain", StartedUnixMillis: time.Now().Add(time.Hour).UnixMilli(),
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}, sequence, 0)
}

// Guards against tasks that lose their lease or run twice because another executor is announced at their host while theirs keeps
// running, also if theirs is silent for a moment.
func TestForeignAnnouncementDoesNotEndRuns(t *testing.T) {
	for name, silence := range map[string]time.Duration{"responding": 0, "silent for a moment": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 3, func(f *fleet) {
				for _, h := range f.hosts {
					h.executor.SetDuration(12 * time.Second)
				}
				id := f.submit(12)
				f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 12 })
				for round := range 3 {
					for _, h := range f.hosts {
						h.executor.SetUnresponsive(silence > 0)
					}
					time.Sleep(silence)
					for _, h := range f.hosts {
						h.announceForeign(int64(round + 1))
						h.executor.SetUnresponsive(false)
					}
					time.Sleep(3 * time.Second)
				}
				f.waitCompleted(30*time.Second, id)
				f.Assert(f.checker.startCount(), qt.Equals, 12)
			})
		})
	}
}

// Guards against tasks that are started elsewhere while they run: their executor refuses connections but announces itself, and the node
// has taken another executor, which was announced once, for the one at its host.
func TestForeignAnnouncementAndRefusalsDoNotEndRuns(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetDuration(20 * time.Second)
		}
		job := f.newJob(9)
		job.Steps[0].EstimateMillis = 20000
		f.submitUntilAccepted(job)
		f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 9 })
		for i, h := range f.hosts {
			h.executor.SetRefusing(true)
			time.Sleep(300 * time.Millisecond)
			h.announceForeign(int64(i + 1))
			time.Sleep(3700 * time.Millisecond)
			h.executor.SetRefusing(false)
			time.Sleep(2500 * time.Millisecond)
		}
		f.waitCompleted(40*time.Second, job.ID)
		f.Assert(f.checker.startCount(), qt.Equals, 9)
	})
}

// Guards against idle executors that are never used again because another one was announced at their hosts while they were silent for
// a moment.
func TestIdleExecutorsAreUsedAfterForeignAnnouncement(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		time.Sleep(3 * time.Second)
		for _, h := range f.hosts {
			h.executor.SetRefusing(true)
		}
		time.Sleep(300 * time.Millisecond)
		for _, h := range f.hosts {
			h.announceForeign(1)
			h.executor.SetRefusing(false)
		}
		time.Sleep(5 * time.Second)
		id := f.submit(12)
		f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 12 })
		f.waitCompleted(10*time.Second, id)
	})
}
