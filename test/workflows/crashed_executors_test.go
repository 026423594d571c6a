package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxCrashStandstill is how long a long-running task may have no run after a crash of its executor that its host shows at once.
const maxCrashStandstill = time.Second

// Guards against tasks that wait for the next incarnation or the end of the lease although the executor's host refuses connections,
// also if the node's process ends right after the executor (issue 22: LOST of owners-in-a-row).
func TestTasksOfCrashedExecutorRestartAtOnce(t *testing.T) {
	for _, nodeEnds := range []time.Duration{-1, 0, 50 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(fmt.Sprint(nodeEnds), func(t *testing.T) {
			runWithFleet(t, 8, func(f *fleet) {
				f.submitLongRunning(4)
				lost := f.busyHostBesideOwner()
				tasks := f.tasksOf(lost)
				lost.executor.Leave()
				lostAt := time.Now()
				if nodeEnds >= 0 {
					time.Sleep(nodeEnds)
					lost.kill()
					lost.start()
				}
				tasks.assertRestarted(lostAt)
				f.Assert(time.Since(lostAt) <= maxCrashStandstill, qt.IsTrue, qt.Commentf("restarted after %v", time.Since(lostAt)))
			})
		})
	}
}
