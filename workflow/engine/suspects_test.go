package engine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against suspects of several jobs on one executor, whose crash would not show which job is the cause, and against other tasks
// that are started beside suspects and are lost with them.
func TestSuspectsOfOneJobStartApart(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	jobs := []workflow.Job{f.job(longStep(2)), f.job(longStep(2))}
	for _, name := range f.names[1:] {
		f.executors[name].Draining = true
	}
	f.reportAll()
	for _, job := range jobs {
		f.engine.Add(job, nil, f.now, f.now)
	}
	f.round(ignoreStart)
	f.Assert(f.running["a"], qt.HasLen, 4)
	for _, name := range f.names[1:] {
		f.restore(name)
		f.executors[name].Draining = false
	}
	f.crash("a")
	for range 7 {
		f.round(ignoreStart)
	}
	f.Assert(f.starts[firstTask(jobs[0])], qt.Equals, 2)
	f.Assert(f.starts[firstTask(jobs[1])], qt.Equals, 2)
	fresh := f.job(longStep(8))
	f.engine.Add(fresh, nil, f.now, f.now)
	f.round(ignoreStart)
	f.Assert(f.starts[firstTask(fresh)], qt.Equals, 1)
	for name, running := range f.running {
		owners := map[string]bool{}
		for _, run := range running {
			id, _ := workflow.ParseTaskID(run.Task)
			owners[id.Job] = true
		}
		f.Assert(len(owners) <= 1, qt.IsTrue, qt.Commentf("%s runs %v", name, running))
	}
	crashes, _ := f.engine.TakeCrashes()
	f.Assert(crashes, qt.HasLen, 1)
	f.Assert(crashes[0].Suspects, qt.HasLen, 4)
}

// Guards against suspects of a crash that wasn't one: the executor left as planned, or its host restarted or was cut off.
func TestEndsThatAreNoCrashes(t *testing.T) {
	for _, test := range []struct {
		name    string
		end     func(f *crashFleet)
		crashes int
	}{
		{"crash", func(f *crashFleet) { f.crash("a") }, 1},
		{"left as planned", func(f *crashFleet) {
			f.executors["a"].Draining = true
			f.reportAll()
			f.restore("a")
			f.executors["a"].Draining = false
		}, 0},
		{"host restarted", func(f *crashFleet) {
			f.restore("a")
			f.reports["a"] = 1
			f.engine.HandleReport(&workflow.Report{
				Node: "a", Address: "a", Incarnation: f.executors["a"].StartedUnixMillis * 1_000_000, Number: 1, Executor: f.executors["a"],
			}, f.now, f.now)
			f.names = nil
		}, 0},
		{"host cut off", func(f *crashFleet) { f.names = nil }, 0},
		{"host cut off and executor replaced", func(f *crashFleet) {
			names := f.names
			f.names = nil
			for range 20 {
				f.round(ignoreStart)
			}
			f.names = names
			f.restore("a")
		}, 1},
		{"silent beside a node that reports", func(f *crashFleet) { f.silent["a"] = f.now }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newCrashFleet(t, "a")
			f.engine.Add(f.job(longStep(1)), nil, f.now, f.now)
			f.round(ignoreStart)
			f.Assert(f.running["a"], qt.HasLen, 1)
			test.end(f)
			for range 20 {
				f.round(ignoreStart)
			}
			crashes, _ := f.engine.TakeCrashes()
			f.Assert(crashes, qt.HasLen, test.crashes)
		})
	}
}

// Guards against a task that stays a suspect although it has run for longer than before the crash.
func TestSurvivingSuspectIsCleared(t *testing.T) {
	f := newCrashFleet(t, "a", "b")
	job := f.job(longStep(1))
	f.engine.Add(job, nil, f.now, f.now)
	crashing := true
	f.round(func(_, name string) {
		if crashing {
			f.crash(name)
		}
		crashing = false
	})
	for len(f.broken) > 0 {
		f.round(ignoreStart)
	}
	f.round(ignoreStart)
	f.Assert(f.records[job.ID].Tasks[0].Crashes, qt.Equals, 1)
	for range 4 {
		f.round(ignoreStart)
	}
	f.Assert(f.records[job.ID].Tasks[0].Crashes, qt.Equals, 0)
	f.Assert(f.starts[firstTask(job)], qt.Equals, 2)
}

// Guards against long-running tasks that don't start while suspects of a crash occupy all executors that have room (LOST).
func TestLongRunningTasksStartBesideSuspects(t *testing.T) {
	f, suspects := crashWithJobs(t, 1, "a")
	restarted := f.accept("a", f.plan()["a"])
	f.Assert(restarted, qt.HasLen, 1)
	f.Assert(restarted[0].Task, qt.Equals, suspects[0])
	lasting := longStep(1)
	lasting.LongRunning = true
	long, short := f.job(lasting), f.job(longStep(1))
	f.engine.Add(long, nil, f.now, f.now)
	f.engine.Add(short, nil, f.now, f.now)
	starts := f.plan()["a"].Starts
	f.Assert(starts, qt.HasLen, 1)
	f.Assert(starts[0].Task, qt.Equals, firstTask(long))
}

// Guards against suspects that wait for ever because crashes add them faster than they start one job at a time.
func TestWaitingSuspectsShareExecutors(t *testing.T) {
	f, suspects := crashWithJobs(t, 9, "a", "b")
	for range 5 {
		f.round(ignoreStart)
	}
	for _, task := range suspects {
		f.Assert(f.starts[task], qt.Equals, 2)
	}
}
