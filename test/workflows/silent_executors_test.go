package workflows_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// changeOwner ends the term of the owner: by a planned hand-over, or by a loss of its process.
func (f *fleet) changeOwner(planned bool) {
	f.waitFor(5*time.Second, func() bool { return f.owner() != nil })
	if planned {
		f.handOver()
		return
	}
	f.owner().kill()
}

// changeOwners ends the term of the owner after each of the pauses.
func (f *fleet) changeOwners(planned bool, pauses ...time.Duration) {
	for _, pause := range pauses {
		time.Sleep(pause)
		f.changeOwner(planned)
	}
}

// assertRestartedWithin is called once tasks run again, and fails if that is later than the limit after since.
func (f *fleet) assertRestartedWithin(limit time.Duration, since time.Time) {
	f.Helper()
	stood := time.Since(since)
	f.Assert(stood <= limit, qt.IsTrue, qt.Commentf("restarted after %v", stood))
}

// lostTasks holds the tasks that ran on an executor when it was lost.
type lostTasks struct {
	fleet       *fleet
	incarnation string
	tasks       []string
}

// startLongRunning starts four long-running tasks and returns a host beside the owner that runs some of them, with these.
func (f *fleet) startLongRunning() (*host, lostTasks) {
	f.submitLongRunning(4)
	h := f.busyHostBesideOwner()
	return h, f.tasksOf(h)
}

func (f *fleet) tasksOf(h *host) lostTasks {
	description, _ := h.executor.Describe()
	tasks := f.checker.tasksOn(description.IncarnationID())
	f.Assert(len(tasks) > 0, qt.IsTrue)
	return lostTasks{f, description.IncarnationID(), tasks}
}

// assertRestarted waits until the tasks run elsewhere. It fails if that is later than maxStandstill after since, or if a task
// had two runs at once.
func (l lostTasks) assertRestarted(since time.Time) {
	f := l.fleet
	f.Helper()
	f.waitFor(30*time.Second, func() bool { return f.checker.runElsewhere(l.incarnation, l.tasks) })
	f.assertRestartedWithin(maxStandstill, since)
	f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
}

// assertRestartedOnceEnded waits until the tasks have ended where they ran, and then asserts that they restart, as assertRestarted does.
func (l lostTasks) assertRestartedOnceEnded() {
	l.fleet.Helper()
	l.fleet.waitFor(30*time.Second, func() bool { return l.fleet.checker.runningOn(l.incarnation) == 0 })
	l.assertRestarted(time.Now())
}

// Guards against long-running tasks that stand still for longer the later the owner changes after the loss of their executor,
// whose node still runs and knows its lease (incident inc1: LOST).
func TestTasksOfLostExecutorRestartDespiteNewOwners(t *testing.T) {
	for _, planned := range []bool{true, false} {
		for _, changes := range [][]time.Duration{
			{500 * time.Millisecond},
			{1500 * time.Millisecond},
			{3 * time.Second},
			{5 * time.Second},
			{time.Second, 3 * time.Second},
			{3 * time.Second, 2 * time.Second},
		} {
			t.Run(fmt.Sprintf("planned=%v/%v", planned, changes), func(t *testing.T) {
				runWithFleet(t, 8, func(f *fleet) {
					lost, tasks := f.startLongRunning()
					// The owner would be stopped by changeOwners.
					lost.stopCandidacy()
					lost.executor.Crash()
					lostAt := time.Now()
					f.changeOwners(planned, changes...)
					tasks.assertRestarted(lostAt)
				})
			})
		}
	}
}

// Guards against two runs of a task at once: its executor answers no calls, and works on until its lease has expired.
func TestTasksOfSilentExecutorRunOnceDespiteNewOwners(t *testing.T) {
	for _, planned := range []bool{true, false} {
		for pause := 200 * time.Millisecond; pause < 8*time.Second; pause += 700 * time.Millisecond {
			t.Run(fmt.Sprintf("planned=%v/%v", planned, pause), func(t *testing.T) {
				runWithFleet(t, 8, func(f *fleet) {
					silent, tasks := f.startLongRunning()
					silent.stopCandidacy()
					silent.executor.SetUnresponsive(true)
					f.changeOwners(planned, pause)
					tasks.assertRestartedOnceEnded()
				})
			})
		}
	}
}

// Guards against long-running tasks that stand still for longer the later the owner hands over after the loss of their host,
// whose lease only the former owner knows (incident inc1: LOST).
func TestTasksOfLostHostRestartDespiteHandOver(t *testing.T) {
	for _, changes := range [][]time.Duration{
		{200 * time.Millisecond},
		{1500 * time.Millisecond},
		{3 * time.Second},
		{6 * time.Second},
		{time.Second, 3 * time.Second},
		{200 * time.Millisecond, time.Second, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			runWithFleet(t, 8, func(f *fleet) {
				lost, tasks := f.startLongRunning()
				lost.kill()
				lost.executor.Crash()
				lostAt := time.Now()
				f.changeOwners(true, changes...)
				tasks.assertRestarted(lostAt)
			})
		})
	}
}

// Guards against two runs of a task at once after a hand-over: its host is cut off, and its executor works on until its lease
// has expired.
func TestTasksOfCutOffHostRunOnceDespiteHandOver(t *testing.T) {
	for pause := 200 * time.Millisecond; pause < 8*time.Second; pause += 700 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			runWithFleet(t, 8, func(f *fleet) {
				lost, tasks := f.startLongRunning()
				lost.kill()
				f.changeOwners(true, pause)
				tasks.assertRestartedOnceEnded()
			})
		})
	}
}

// Guards against long-running tasks that stand still for too long after the loss of the owner's host, alone or with another one.
func TestTasksOfOwnersHostRestart(t *testing.T) {
	for _, alone := range []bool{true, false} {
		for pause := time.Duration(0); pause < 400*time.Millisecond; pause += 70 * time.Millisecond {
			t.Run(fmt.Sprintf("alone=%v/%v", alone, pause), func(t *testing.T) {
				runWithFleet(t, 8, func(f *fleet) {
					lost := f.owner()
					// The tasks run on all executors but two; the owner's is not one of the two.
					spare := slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h == lost })[:2]
					for _, h := range spare {
						h.executor.SetDraining(true)
					}
					time.Sleep(2 * announceInterval)
					f.submitLongRunning(6)
					for _, h := range spare {
						h.executor.SetDraining(false)
						h.executor.Restart()
					}
					time.Sleep(2*announceInterval + pause)
					tasks := f.tasksOf(lost)
					if !alone {
						other := f.busyHostBesideOwner()
						other.kill()
						other.executor.Crash()
					}
					lost.kill()
					lost.executor.Crash()
					lostAt := time.Now()
					tasks.assertRestarted(lostAt)
				})
			})
		}
	}
}
