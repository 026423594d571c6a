package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// announceForeign announces an executor at a host that doesn't run there, and that seems to be newer than the host's.
func (h *host) announceForeign(sequence int64) {
	h.node.Announce(workflow.Executor{
		ID: "i-foreign", Pool: "foreign", FailureDomain: "domain", StartedUnixMillis: time.Now().Add(time.Hour).UnixMilli(),
		Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}, sequence, 0)
}

// Guards against runs that lapse or run twice because another executor is announced at their host while theirs goes on, also
// while theirs is silent for a moment.
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
