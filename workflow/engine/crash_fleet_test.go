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
		r := &workflow.Report{
			Incarnation: f.nodeIncarnation, Executor: f.executors[name], Listed: true, EndsComplete: true,
			Running: f.running[name], Ended: f.ended[name], CoveredSequence: 1 << 40,
		}
		if at, broken := f.broken[name]; broken {
			r.ListAgeMillis = f.now.Sub(at).Milliseconds() + 100
			r.BrokenMillis = max(f.now.Sub(at).Milliseconds(), 1)
		}
		if at, silent := f.silent[name]; silent {
			r.ListAgeMillis = f.now.Sub(at).Milliseconds()
		}
		f.send(name, r)
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

// ignoreStart is a callback of round for tests in which starts have no effect.
func ignoreStart(string, string) {}

// crashOnStart returns a callback of round that crashes the executor that a task is started on, each time.
func (f *crashFleet) crashOnStart(task string) func(started, name string) {
	return func(started, name string) {
		if started == task {
			f.crash(name)
		}
	}
}

// firstTask returns the name of the first task of a job.
func firstTask(job workflow.Job) string { return job.ID + ".0.0.0" }

// longStep returns a step whose tasks run for long.
func longStep(count int) workflow.Step {
	s := step(count)
	s.Need = structs.Resources{MilliCores: 400, MemoryMB: 100}
	return s
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
		f.send(name, &workflow.Report{
			Incarnation: 1, Executor: f.executors[name], Listed: true, EndsComplete: true,
			Running: f.running[name], CoveredSequence: 1 << 40,
			Ended: []workflow.RunEnd{{Number: f.reports[name] + 1, Task: run.Task, Run: run.Run, How: workflow.EndDone}},
		})
		return
	}
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
		tasks = append(tasks, firstTask(job))
		f.engine.Add(job, nil, f.now, f.now)
	}
	f.round(ignoreStart)
	f.Assert(f.running["a"], qt.HasLen, jobs)
	f.crash("a")
	for _, name := range names[1:] {
		f.restore(name)
		f.executors[name].Draining = false
	}
	for len(f.broken) > 0 {
		f.round(ignoreStart)
	}
	return f, tasks
}
