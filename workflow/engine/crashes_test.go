package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against jobs that are given up, or long-running tasks that count as suspects, because other tasks crash executors
// beside them (issue 22: BUDGET).
func TestOnlyCrashingJobIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	serving := longStep(3)
	serving.LongRunning, serving.PerExecutor = true, 1
	steady := f.job(serving)
	f.engine.Add(steady, nil, f.now, f.now)
	for range 8 {
		f.round(ignoreStart)
	}
	bad := f.job(longStep(3))
	others := []workflow.Job{f.job(longStep(3)), f.job(longStep(3))}
	for _, job := range append(others, bad) {
		f.engine.Add(job, nil, f.now, f.now)
	}
	for range 60 {
		f.round(f.crashOnStart(firstTask(bad)))
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[firstTask(bad)], qt.Equals, 2)
	f.Assert(f.phase(steady.ID), qt.Equals, workflow.Running)
	for _, job := range others {
		f.Assert(f.phase(job.ID), qt.Equals, workflow.Running)
	}
	crashes, givenUp := f.engine.TakeCrashes()
	f.Assert(givenUp, qt.HasLen, 1)
	f.Assert(givenUp[0].Task, qt.Equals, firstTask(bad))
	for _, c := range crashes {
		for _, s := range c.Suspects {
			id, _ := workflow.ParseTaskID(s.Task)
			f.Assert(id.Job, qt.Not(qt.Equals), steady.ID)
		}
	}
}

// Guards against a task that is never given up because it crashes its executors long after its start, beside tasks that have just
// started.
func TestLateCrashingTaskIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	bad := f.job(longStep(1))
	f.engine.Add(bad, nil, f.now, f.now)
	host, begun := "", time.Time{}
	for range 240 {
		for range f.names {
			f.engine.Add(f.job(longStep(1)), nil, f.now, f.now)
		}
		f.round(func(task, name string) {
			if task == firstTask(bad) {
				host, begun = name, f.now
			}
		})
		if host != "" && f.now.Sub(begun) >= 3*time.Second {
			f.crash(host)
			host = ""
		}
		for _, name := range f.names {
			f.finishOldest(name, bad.ID)
			f.finishOldest(name, bad.ID)
		}
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[firstTask(bad)] <= 5, qt.IsTrue, qt.Commentf("%d starts", f.starts[firstTask(bad)]))
}

// Guards against a new owner that doesn't count the crashes under former owners.
func TestCrashesAreKnownToNextOwner(t *testing.T) {
	f := newCrashFleet(t, "a", "b")
	bad := f.job(longStep(1))
	f.engine.Add(bad, nil, f.now, f.now)
	f.round(func(_, name string) { f.crash(name) })
	for len(f.broken) > 0 {
		f.round(ignoreStart)
	}
	f.plan()
	record := f.records[bad.ID]
	f.Assert(record.Tasks, qt.HasLen, 1)
	f.Assert(record.Tasks[0].Crashes, qt.Equals, 1)
	f.Assert(record.Tasks[0].Suspicions, qt.Equals, 1)
	f.takeOver(bad, record)
	for range 24 {
		f.round(func(_, name string) { f.crash(name) })
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[firstTask(bad)] <= 3, qt.IsTrue, qt.Commentf("%d starts", f.starts[firstTask(bad)]))
}

// Guards against a task that crashes one executor after the other and is never given up because the processes of their nodes restart
// as well (six starts before the fix).
func TestCrashingTaskIsGivenUpDespiteNodeRestarts(t *testing.T) {
	f := newCrashFleet(t, "a")
	job := f.job(step(1))
	f.engine.Add(job, nil, f.now, f.now)
	task := firstTask(job)
	for f.phase(job.ID) != workflow.Failed {
		f.Assert(f.starts[task] <= 5, qt.IsTrue, qt.Commentf("%d starts", f.starts[task]))
		f.round(func(_, name string) { f.crash(name) })
		if len(f.broken) > 0 {
			f.restore("a")
			f.nodeIncarnation = f.executors["a"].StartedUnixMillis * 1_000_000
			f.reports["a"] = 0
			f.now = f.now.Add(2 * time.Second)
		}
		f.reportAll()
	}
}

// Guards against a long-running task that crashes one executor after the other without end: it has no limit of attempts.
func TestCrashingLongRunningTaskIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c")
	lasting := longStep(2)
	lasting.LongRunning = true
	bad := f.job(lasting)
	f.engine.Add(bad, nil, f.now, f.now)
	for range 60 {
		f.round(f.crashOnStart(firstTask(bad)))
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[firstTask(bad)], qt.Equals, 2)
}

// Guards against a gang that is never given up although one of its tasks crashes one executor after the other.
func TestCrashingGangIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d", "e")
	gang := longStep(3)
	gang.Gang, gang.PerExecutor = true, 1
	bad := f.job(gang)
	f.engine.Add(bad, nil, f.now, f.now)
	for range 80 {
		crashed := false
		f.round(func(task, name string) {
			if task == firstTask(bad) {
				f.crash(name)
				crashed = true
			}
		})
		for _, name := range f.names {
			if crashed {
				f.breakGang(name, bad.ID)
			}
		}
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[firstTask(bad)] <= 3, qt.IsTrue, qt.Commentf("%d starts", f.starts[firstTask(bad)]))
}

// Guards against long-running tasks that are given up because executors crash again and again for other reasons.
func TestLongRunningTaskOutlivesOtherCrashes(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c")
	lasting := longStep(1)
	lasting.LongRunning = true
	job := f.job(lasting)
	f.engine.Add(job, nil, f.now, f.now)
	ages := []time.Duration{9 * time.Second, 2 * time.Second, 7 * time.Second, 500 * time.Millisecond, 4 * time.Second}
	host, begun := "", time.Time{}
	for range 200 {
		f.round(func(_, name string) { host, begun = name, f.now })
		if host != "" && f.now.Sub(begun) >= ages[f.starts[firstTask(job)]%len(ages)] {
			f.crash(host)
			host = ""
		}
	}
	f.Assert(f.starts[firstTask(job)] > 8, qt.IsTrue)
	f.Assert(f.phase(job.ID), qt.Equals, workflow.Running)
}
