package engine_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// maxStandstill is how long a job may have nothing running while a task is ready and there is room for it.
	maxStandstill = 3 * time.Second
	// standstillStep is the time between two planning cycles.
	standstillStep = 100 * time.Millisecond
)

// advance plans, carries the starts out, lets standstillStep pass and reports. The tasks of jobs for which isShort returns true
// end after 200 ms.
func (f *crashFleet) advance(isShort func(job string) bool) {
	for name, orders := range f.plan() {
		for _, run := range f.accept(name, orders) {
			f.starts[run.Task]++
			f.running[name] = append(f.running[name], run)
			if id, _ := workflow.ParseTaskID(run.Task); isShort(id.Job) {
				f.ends[run.Task] = f.now.Add(200 * time.Millisecond)
			}
		}
	}
	f.now = f.now.Add(standstillStep)
	for _, name := range f.names {
		f.running[name] = slices.DeleteFunc(f.running[name], func(run workflow.RunState) bool {
			at, short := f.ends[run.Task]
			if !short || f.now.Before(at) {
				return false
			}
			f.ended[name] = append(f.ended[name], workflow.RunEnd{
				Number: int64(len(f.ended[name]) + 1), Task: run.Task, Run: run.Run, How: workflow.EndDone,
			})
			return true
		})
	}
	for name, at := range f.broken {
		if f.now.Sub(at) >= 3*time.Second {
			f.restore(name)
		}
	}
	f.reportAll()
	f.engine.ExpireLeases(f.now)
}

// startsWithin reports whether each task is started once more within a limit.
func (f *crashFleet) startsWithin(limit time.Duration, tasks []string, isShort func(job string) bool, each func()) bool {
	before := map[string]int{}
	for _, task := range tasks {
		before[task] = f.starts[task]
	}
	for end := f.now.Add(limit); f.now.Before(end); {
		each()
		f.advance(isShort)
		if !slices.ContainsFunc(tasks, func(task string) bool { return f.starts[task] == before[task] }) {
			return true
		}
	}
	return false
}

func none(string) bool { return false }

// addSuspects adds jobs with one task each that waits after crashes under it, as an owner restores them, and returns the tasks.
func (f *crashFleet) addSuspects(jobs, crashes int) (tasks []string) {
	for range jobs {
		job := f.job(longStep(1))
		f.engine.Add(job, &workflow.JobRecord{Phase: workflow.Running, Tasks: []workflow.TaskRecord{
			{Phase: workflow.TaskWaiting, Run: crashes, Crashes: crashes, Suspicions: crashes},
		}}, f.now, f.now)
		tasks = append(tasks, job.ID+".0.0.0")
	}
	return tasks
}

// Guards against a task without fault that waits after a crash for as long as tasks of other jobs start on all executors
// (issue 25: LOST).
func TestSuspectStartsWhileAllExecutorsAreBusy(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	short := map[string]bool{}
	isShort := func(job string) bool { return short[job] }
	submit := func() {
		s := longStep(16)
		s.Need.MilliCores = 50
		job := f.job(s)
		short[job.ID] = true
		f.engine.Add(job, nil, f.now, f.now)
	}
	for range 5 {
		submit()
		f.advance(isShort)
	}
	f.Assert(f.startsWithin(maxStandstill, f.addSuspects(1, 2), isShort, submit), qt.IsTrue)
}

// Guards against tasks without fault that wait one after the other for executors of their own after two crashes
// (issue 25: LOST).
func TestManySuspectsStartInTime(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	tasks := f.addSuspects(20, 2)
	f.Assert(f.startsWithin(maxStandstill, tasks, none, func() {}), qt.IsTrue)
}

// Guards against a job that waits for the lease of a lost executor because another of its tasks was to show there whether it
// crashes executors (issue 25: LOST).
func TestSuspectsDoNotWaitForLostProbe(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c", "d")
	for _, name := range f.names[1:] {
		f.executors[name].Draining = true
	}
	f.reportAll()
	job := f.job(longStep(2))
	f.engine.Add(job, nil, f.now, f.now)
	tasks := []string{job.ID + ".0.0.0", job.ID + ".0.0.1"}
	f.Assert(f.startsWithin(time.Second, tasks, none, func() {}), qt.IsTrue)
	f.crash("a")
	for f.broken["a"] != (time.Time{}) {
		f.advance(none)
	}
	// There is room for a single task until the executor with it is lost together with its host.
	f.executors["a"].Capacity.MilliCores = 500
	f.reportAll()
	f.Assert(f.startsWithin(maxStandstill, tasks[:1], none, func() {}), qt.IsTrue)
	f.names = f.names[1:]
	for _, name := range f.names {
		f.restore(name)
		f.executors[name].Draining = false
	}
	f.Assert(f.startsWithin(maxStandstill, tasks[1:], none, func() {}), qt.IsTrue)
}

// Guards against a task that goes back again and again to an executor that rejects all starts, while others have room
// (issue 25: LOST).
func TestRejectedTaskStartsElsewhere(t *testing.T) {
	f := newCrashFleet(t, "a", "b")
	job := f.job(longStep(1))
	f.engine.Add(job, nil, f.now, f.now)
	for end := f.now.Add(maxStandstill); f.now.Before(end); f.now = f.now.Add(standstillStep) {
		f.reportAll()
		for name, orders := range f.plan() {
			if name == "b" {
				return
			}
			for _, s := range orders.Starts {
				f.engine.HandleOrderResult(name, 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: "unhealthy"}, f.now)
			}
		}
	}
	f.Fatal("the task was ordered to the executor that rejects it only")
}

// Guards against a job of which nothing runs because a start without an answer keeps its other tasks back (issue 25: LOST).
func TestUnansweredStartDoesNotHoldIdleJobBack(t *testing.T) {
	f, service, serving := newBestEffortJobBesideBusyService(t, 2)
	started := map[string]bool{}
	for end := f.now.Add(maxStandstill + time.Second); f.now.Before(end); f.now = f.now.Add(standstillStep) {
		f.report("a", service, serving, nil)
		for _, s := range f.plan()["a"].Starts {
			started[s.Task] = true
			f.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeUnknown, Sequence: 1 << 41}, f.now)
		}
	}
	f.Assert(len(started) > 1, qt.IsTrue)
}

// Guards against a task that waits for the end of ever longer pauses of the only executor for it, which has rejected some starts
// and would accept the next (issue 25: LOST).
func TestPausesOfOnlyExecutorAreShort(t *testing.T) {
	for _, rejections := range []int{4, 5, 6} {
		f := newCrashFleet(t, "a")
		f.engine.Add(f.job(longStep(1)), nil, f.now, f.now)
		began, rejected := f.now, 0
		for f.now.Sub(began) < 20*time.Second {
			f.reportAll()
			starts := f.plan()["a"].Starts
			if len(starts) > 0 && rejected == rejections {
				break
			}
			for _, s := range starts {
				rejected++
				f.engine.HandleOrderResult("a", 1, &workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: workflow.ReasonUnhealthy}, f.now)
			}
			f.now = f.now.Add(50 * time.Millisecond)
		}
		f.Check(f.now.Sub(began) <= maxStandstill, qt.IsTrue, qt.Commentf("%d rejections: starts after %v", rejections, f.now.Sub(began)))
	}
}

// Guards against a job of which nothing runs although a task of one step could, because the first ready task of another step has no
// place (issue 25: LOST).
func TestIdleJobStartsTaskOfAnyStep(t *testing.T) {
	h, x, running := newBestEffortJobBesideBusyService(t, 1)
	large := step(1)
	large.Need.MilliCores = 9000
	job := h.job(large, bestEffortStep(1))
	job.Steps[1].After = nil
	h.engine.Add(job, nil, h.now, h.now)
	for end := h.now.Add(maxStandstill); h.now.Before(end); h.now = h.now.Add(standstillStep) {
		h.report("a", x, running, nil)
		for _, s := range h.plan()["a"].Starts {
			if jobOf(s.Task) == job.ID {
				return
			}
		}
	}
	h.Fatal("no task of the job starts")
}

// Guards against a job of which nothing runs, in a pool that is mostly free, because the executors of another pool are full
// (issue 25: LOST).
func TestIdleJobStartsBesideFullPool(t *testing.T) {
	h, service, serving := newBestEffortJobBesideBusyService(t, 2)
	other := queue
	other.Name, other.Pool = "other", "other"
	h.engine.Configure(&workflow.Config{Version: 2, Queues: []workflow.Queue{queue, other}, Pools: []workflow.Pool{{Name: "pool"}, {Name: "other"}}})
	full := step(1)
	full.Need.MilliCores, full.EstimateMillis = 4000, 100_000
	nodes := []string{"b", "c", "d", "e"}
	for range nodes {
		job := h.job(full)
		job.Queue = other
		h.engine.Add(job, nil, h.now, h.now)
	}
	running := map[string][]workflow.RunState{}
	for end := h.now.Add(maxStandstill); h.now.Before(end); h.now = h.now.Add(standstillStep) {
		h.report("a", service, serving, nil)
		for _, name := range nodes {
			x := executor(name, 1)
			x.Pool = other.Pool
			h.report(name, x, running[name], nil)
		}
		orders := h.plan()
		if len(orders["a"].Starts) > 0 {
			return
		}
		for _, name := range nodes {
			running[name] = append(running[name], h.accept(name, orders[name])...)
		}
	}
	h.Fatal("no task starts")
}
