package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// crashFleet drives executors that crash. The nodes' processes have run for long when an executor is replaced.
type crashFleet struct {
	*harness
	executors map[string]*workflow.Executor
	running   map[string][]workflow.RunState
	// broken holds the nodes whose executors are down, with the times of their crashes.
	broken map[string]time.Time
	// silent holds the nodes whose executors do not answer, since when.
	silent map[string]time.Time
	names  []string
	starts map[string]int
	// nodeIncarnation is the incarnation of the nodes' processes.
	nodeIncarnation int64
	// records holds the last stored record of each job.
	records map[string]workflow.JobRecord
	// ends holds when the runs of short tasks end, and ended the ends that each executor lists.
	ends  map[string]time.Time
	ended map[string][]workflow.RunEnd
}

func newCrashFleet(t *testing.T, names ...string) *crashFleet {
	f := &crashFleet{
		harness: newHarness(t), executors: map[string]*workflow.Executor{}, running: map[string][]workflow.RunState{},
		broken: map[string]time.Time{}, silent: map[string]time.Time{}, names: names, starts: map[string]int{},
		records: map[string]workflow.JobRecord{}, nodeIncarnation: 1, ends: map[string]time.Time{}, ended: map[string][]workflow.RunEnd{},
	}
	for _, name := range names {
		f.executors[name] = executor(name, 10_000)
	}
	f.reportAll()
	return f
}

// reportAll sends a report of each node.
func (f *crashFleet) reportAll() {
	for _, name := range f.names {
		f.reports[name]++
		r := &workflow.Report{
			Node: name, Address: name, Incarnation: f.nodeIncarnation, Number: f.reports[name], Executor: f.executors[name], Listed: true, EndsComplete: true,
			Running: f.running[name], Ended: f.ended[name], CoveredSequence: 1 << 40,
		}
		if at, broken := f.broken[name]; broken {
			r.ListAgeMillis = f.now.Sub(at).Milliseconds() + 100
			r.BrokenMillis = max(f.now.Sub(at).Milliseconds(), 1)
		}
		if at, silent := f.silent[name]; silent {
			r.ListAgeMillis = f.now.Sub(at).Milliseconds()
		}
		f.engine.HandleReport(r, f.now, f.now)
	}
}

// plan runs a planning cycle, stores the records and returns the orders by node.
func (f *crashFleet) plan() map[string]workflow.Orders {
	f.engine.Tick(f.now)
	f.engine.Plan(f.now, f.now)
	changes := f.engine.TakeDirty()
	for _, c := range changes {
		f.records[c.Job] = c.Record
	}
	f.engine.MarkStored(changes)
	return f.harness.plan()
}

// crash ends the runs of an executor. Its node reports that the connection is broken.
func (f *crashFleet) crash(name string) { f.broken[name] = f.now }

// restore starts the next incarnation of a crashed executor under another ID.
func (f *crashFleet) restore(name string) {
	next := *f.executors[name]
	next.ID += "x"
	next.StartedUnixMillis += 10_000
	f.executors[name] = &next
	delete(f.broken, name)
	delete(f.running, name)
	delete(f.ended, name)
}

// round plans and carries the starts out, calls started for each of them, and then lets 500 ms pass. Executors that have crashed
// come back after 3 s.
func (f *crashFleet) round(started func(task, name string)) {
	for name, orders := range f.plan() {
		for _, run := range f.accept(name, orders) {
			f.starts[run.Task]++
			f.running[name] = append(f.running[name], run)
			started(run.Task, name)
		}
	}
	f.now = f.now.Add(500 * time.Millisecond)
	for name, at := range f.broken {
		if f.now.Sub(at) >= 3*time.Second {
			f.restore(name)
		}
	}
	f.reportAll()
	f.engine.ExpireLeases(f.now)
}

func nothing(string, string) {}

// longStep returns a step whose tasks run for long.
func longStep(count int) workflow.Step {
	s := step(count)
	s.Need = structs.Resources{MilliCores: 400, MemoryMB: 100}
	return s
}

// Guards against suspects of several jobs on one executor, whose crash would not show the cause, and against other tasks that
// are started beside them and end with them.
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
	f.round(nothing)
	f.Assert(f.running["a"], qt.HasLen, 4)
	for _, name := range f.names[1:] {
		f.restore(name)
		f.executors[name].Draining = false
	}
	f.crash("a")
	for range 7 {
		f.round(nothing)
	}
	f.Assert(f.starts[jobs[0].ID+".0.0.0"], qt.Equals, 2)
	f.Assert(f.starts[jobs[1].ID+".0.0.0"], qt.Equals, 2)
	fresh := f.job(longStep(8))
	f.engine.Add(fresh, nil, f.now, f.now)
	f.round(nothing)
	f.Assert(f.starts[fresh.ID+".0.0.0"], qt.Equals, 1)
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

// Guards against jobs that are given up, or long-running tasks that count as suspects, because other tasks crash executors
// beside them (issue 22: BUDGET).
func TestOnlyCrashingJobIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	serving := longStep(3)
	serving.LongRunning, serving.PerExecutor = true, 1
	steady := f.job(serving)
	f.engine.Add(steady, nil, f.now, f.now)
	for range 8 {
		f.round(nothing)
	}
	bad := f.job(longStep(3))
	others := []workflow.Job{f.job(longStep(3)), f.job(longStep(3))}
	for _, job := range append(others, bad) {
		f.engine.Add(job, nil, f.now, f.now)
	}
	for range 60 {
		f.round(func(task, name string) {
			if task == bad.ID+".0.0.0" {
				f.crash(name)
			}
		})
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[bad.ID+".0.0.0"], qt.Equals, 2)
	f.Assert(f.phase(steady.ID), qt.Equals, workflow.Running)
	for _, job := range others {
		f.Assert(f.phase(job.ID), qt.Equals, workflow.Running)
	}
	crashes, givenUp := f.engine.TakeCrashes()
	f.Assert(givenUp, qt.HasLen, 1)
	f.Assert(givenUp[0].Task, qt.Equals, bad.ID+".0.0.0")
	for _, c := range crashes {
		for _, s := range c.Suspects {
			id, _ := workflow.ParseTaskID(s.Task)
			f.Assert(id.Job, qt.Not(qt.Equals), steady.ID)
		}
	}
}

// Guards against a task that crashes its executors long after its start, beside tasks that have just started, without end.
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
			if task == bad.ID+".0.0.0" {
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
	f.Assert(f.starts[bad.ID+".0.0.0"] <= 5, qt.IsTrue, qt.Commentf("%d starts", f.starts[bad.ID+".0.0.0"]))
}

// finishOldest finishes the oldest run on an executor that has more than three, except those of a job.
func (f *crashFleet) finishOldest(name, except string) {
	if _, broken := f.broken[name]; broken || len(f.running[name]) <= 3 {
		return
	}
	for i, run := range f.running[name] {
		id, _ := workflow.ParseTaskID(run.Task)
		if id.Job == except {
			continue
		}
		f.running[name] = append(append([]workflow.RunState{}, f.running[name][:i]...), f.running[name][i+1:]...)
		f.reports[name]++
		f.engine.HandleReport(&workflow.Report{
			Node: name, Address: name, Incarnation: 1, Number: f.reports[name], Executor: f.executors[name], Listed: true, EndsComplete: true,
			Running: f.running[name], CoveredSequence: 1 << 40,
			Ended: []workflow.RunEnd{{Number: f.reports[name], Task: run.Task, Run: run.Run, How: workflow.EndDone}},
		}, f.now, f.now)
		return
	}
}

// Guards against an owner that doesn't know the crashes under its predecessors.
func TestCrashesAreKnownToNextOwner(t *testing.T) {
	f := newCrashFleet(t, "a", "b")
	bad := f.job(longStep(1))
	f.engine.Add(bad, nil, f.now, f.now)
	f.round(func(_, name string) { f.crash(name) })
	for len(f.broken) > 0 {
		f.round(nothing)
	}
	f.plan()
	record := f.records[bad.ID]
	f.Assert(record.Tasks, qt.HasLen, 1)
	f.Assert(record.Tasks[0].Crashes, qt.Equals, 1)
	f.Assert(record.Tasks[0].Suspicions, qt.Equals, 1)
	f.engine = f.newEngine()
	f.engine.Add(bad, &record, f.now, f.now)
	for range 24 {
		f.round(func(_, name string) { f.crash(name) })
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[bad.ID+".0.0.0"] <= 3, qt.IsTrue, qt.Commentf("%d starts", f.starts[bad.ID+".0.0.0"]))
}

// Guards against suspects where no executor has crashed: it left as planned, its host restarted, or its host was cut off.
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
				f.round(nothing)
			}
			f.names = names
			f.restore("a")
		}, 1},
		{"silent beside a node that reports", func(f *crashFleet) { f.silent["a"] = f.now }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newCrashFleet(t, "a")
			f.engine.Add(f.job(longStep(1)), nil, f.now, f.now)
			f.round(nothing)
			f.Assert(f.running["a"], qt.HasLen, 1)
			test.end(f)
			for range 20 {
				f.round(nothing)
			}
			crashes, _ := f.engine.TakeCrashes()
			f.Assert(crashes, qt.HasLen, test.crashes)
		})
	}
}

// Guards against a task that crashes one executor after the other and is never given up because the node's process beside each of
// them restarts as well (found by TestCrashingTaskIsGivenUpDespiteTakeovers beside other tests: six starts).
func TestCrashingTaskIsGivenUpDespiteNodeRestarts(t *testing.T) {
	f := newCrashFleet(t, "a")
	job := f.job(step(1))
	f.engine.Add(job, nil, f.now, f.now)
	task := job.ID + ".0.0.0"
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
		f.round(nothing)
	}
	f.round(nothing)
	f.Assert(f.records[job.ID].Tasks[0].Crashes, qt.Equals, 1)
	for range 4 {
		f.round(nothing)
	}
	f.Assert(f.records[job.ID].Tasks[0].Crashes, qt.Equals, 0)
	f.Assert(f.starts[job.ID+".0.0.0"], qt.Equals, 2)
}

// Guards against a long-running task that crashes one executor after the other: it has no limit of attempts.
func TestCrashingLongRunningTaskIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c")
	lasting := longStep(2)
	lasting.LongRunning = true
	bad := f.job(lasting)
	f.engine.Add(bad, nil, f.now, f.now)
	for range 60 {
		f.round(func(task, name string) {
			if task == bad.ID+".0.0.0" {
				f.crash(name)
			}
		})
	}
	f.Assert(f.phase(bad.ID), qt.Equals, workflow.Failed)
	f.Assert(f.starts[bad.ID+".0.0.0"], qt.Equals, 2)
}

// Guards against a gang of which one task crashes the executors of the gang, one after the other.
func TestCrashingGangIsGivenUp(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d", "e")
	gang := longStep(3)
	gang.Gang, gang.PerExecutor = true, 1
	bad := f.job(gang)
	f.engine.Add(bad, nil, f.now, f.now)
	for range 80 {
		crashed := false
		f.round(func(task, name string) {
			if task == bad.ID+".0.0.0" {
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
	f.Assert(f.starts[bad.ID+".0.0.0"] <= 3, qt.IsTrue, qt.Commentf("%d starts", f.starts[bad.ID+".0.0.0"]))
}

// breakGang ends the runs of a gang on an executor that is up.
func (f *crashFleet) breakGang(name, job string) {
	if _, broken := f.broken[name]; broken {
		return
	}
	var ended []workflow.RunEnd
	for i, run := range f.running[name] {
		if id, _ := workflow.ParseTaskID(run.Task); id.Job == job {
			ended = append(ended, workflow.RunEnd{Number: int64(i + 1), Task: run.Task, Run: run.Run, How: workflow.EndBroken})
		}
	}
	delete(f.running, name)
	f.report(name, f.executors[name], nil, ended)
}

// crashWithJobs runs single tasks of several jobs on executor a, while the others drain, and crashes it. It returns when the
// crash has just been noticed and the suspects may start again.
func crashWithJobs(t *testing.T, jobs int, names ...string) (f *crashFleet, tasks []string) {
	f = newCrashFleet(t, names...)
	for _, name := range names[1:] {
		f.executors[name].Draining = true
	}
	f.reportAll()
	for range jobs {
		job := f.job(longStep(1))
		tasks = append(tasks, job.ID+".0.0.0")
		f.engine.Add(job, nil, f.now, f.now)
	}
	f.round(nothing)
	f.Assert(f.running["a"], qt.HasLen, jobs)
	f.crash("a")
	for _, name := range names[1:] {
		f.restore(name)
		f.executors[name].Draining = false
	}
	for len(f.broken) > 0 {
		f.round(nothing)
	}
	return f, tasks
}

// Guards against long-running tasks that stand still while suspects of a crash hold all executors that have room (seen in a play:
// LOST).
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
	f.Assert(starts[0].Task, qt.Equals, long.ID+".0.0.0")
}

// Guards against a queue of suspects that grows faster than they can be started one job at a time.
func TestWaitingSuspectsShareExecutors(t *testing.T) {
	f, suspects := crashWithJobs(t, 9, "a", "b")
	for range 5 {
		f.round(nothing)
	}
	for _, task := range suspects {
		f.Assert(f.starts[task], qt.Equals, 2)
	}
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
		if host != "" && f.now.Sub(begun) >= ages[f.starts[job.ID+".0.0.0"]%len(ages)] {
			f.crash(host)
			host = ""
		}
	}
	f.Assert(f.starts[job.ID+".0.0.0"] > 8, qt.IsTrue)
	f.Assert(f.phase(job.ID), qt.Equals, workflow.Running)
}
