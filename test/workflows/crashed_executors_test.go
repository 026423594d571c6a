package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxDepartureStandstill is how long a task may have no run after its executor, which had announced that it drains, has ended.
const maxDepartureStandstill = maxIdle

// Guards against tasks that wait for longer than a lease after their executor has crashed, also if the node's process ends right
// after the executor (issue 22: LOST of owners-in-a-row).
func TestTasksOfCrashedExecutorRestartInTime(t *testing.T) {
	for _, nodeEnds := range []time.Duration{-1, 0, 50 * time.Millisecond, 150 * time.Millisecond} {
		t.Run(fmt.Sprint(nodeEnds), func(t *testing.T) {
			runWithFleet(t, 8, func(f *fleet) {
				lost, tasks := f.startLongRunning()
				lost.executor.Leave()
				lostAt := time.Now()
				if nodeEnds >= 0 {
					time.Sleep(nodeEnds)
					lost.kill()
					lost.start()
				}
				tasks.assertRestarted(lostAt)
			})
		})
	}
}

// Guards against a departure that is lost because the node's process ends between its announcement and the report.
func TestTasksOfDepartedExecutorRestartAfterNodeRestart(t *testing.T) {
	runWithFleet(t, 8, func(f *fleet) {
		leaving, tasks := f.startLongRunning()
		leaving.drain()
		leaving.depart()
		leftAt := time.Now()
		leaving.kill()
		leaving.start()
		tasks.assertRestarted(leftAt)
		f.assertRestartedWithin(maxDepartureStandstill, leftAt)
	})
}

// Guards against tasks that wait for longer than a lease if the owner changes at any moment around the report of the crash.
func TestTasksOfCrashedExecutorRestartDespiteNewOwners(t *testing.T) {
	for _, planned := range []bool{true, false} {
		for pause := time.Duration(0); pause < 800*time.Millisecond; pause += 90 * time.Millisecond {
			t.Run(fmt.Sprintf("planned=%v/%v", planned, pause), func(t *testing.T) {
				runWithFleet(t, 8, func(f *fleet) {
					lost, tasks := f.startLongRunning()
					lost.stopCandidacy()
					lost.executor.Leave()
					lostAt := time.Now()
					f.changeOwners(planned, pause)
					tasks.assertRestarted(lostAt)
				})
			})
		}
	}
}

// Guards against two runs of a task at once: its executor refuses some connections while it runs the task and carries out orders late,
// or its next incarnation has the same ID and comes back before, while or after the end is reported.
func TestTasksOfRefusingExecutorRunOnce(t *testing.T) {
	for _, ends := range []bool{true, false} {
		for pause := 30 * time.Millisecond; pause < time.Second; pause += 70 * time.Millisecond {
			t.Run(fmt.Sprintf("ends=%v/%v", ends, pause), func(t *testing.T) {
				runWithFleet(t, 4, func(f *fleet) {
					var ids []string
					for round := range 12 {
						ids = append(ids, f.submit(4, 3))
						executor := f.hosts[round%len(f.hosts)].executor
						if ends {
							executor.Leave()
							time.Sleep(pause)
							executor.Restart()
						} else {
							executor.SetDelayedShare(0.2)
							executor.SetRefusing(true)
							time.Sleep(pause)
							executor.SetRefusing(false)
						}
						time.Sleep(700 * time.Millisecond)
					}
					// Jobs may be given up if executors crash repeatedly under their tasks.
					for _, id := range ids {
						f.waitFor(3*time.Minute, func() bool { return f.phase(id).Final() })
					}
					f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
				})
			})
		}
	}
}
