package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// longRunning returns a step of long-running tasks that need a number of cores each.
func longRunning(count int, cores int64) workflow.Step {
	s := step(count)
	s.LongRunning, s.EstimateMillis, s.Need.MilliCores = true, 0, 1000*cores
	return s
}

// busyHarness drives an engine with one executor, on which runs of jobs end after a fixed time, except long-running ones.
type busyHarness struct {
	*harness
	node        string
	executor    *workflow.Executor
	runTime     time.Duration
	longRunning map[string]bool
	running     []workflow.RunState
	startedAt   map[string]time.Time
	ended       []workflow.RunEnd
}

func newBusyHarness(t *testing.T, runTime time.Duration) *busyHarness {
	b := &busyHarness{
		harness: newHarness(t), node: "a", executor: executor("a", 1), runTime: runTime,
		longRunning: map[string]bool{}, startedAt: map[string]time.Time{},
	}
	b.now = b.now.Add(2 * time.Second)
	return b
}

// submitShort submits a job with a task of one core.
func (b *busyHarness) submitShort() { b.engine.Add(b.job(step(1)), nil, b.now, b.now) }

// submitDisplaced submits a job of long-running tasks. They start on an executor that leaves at once.
func (b *busyHarness) submitDisplaced(s workflow.Step) workflow.Job {
	job := b.job(s)
	b.longRunning[job.ID] = true
	b.engine.Add(job, nil, b.now, b.now)
	former := executor("former", b.now.UnixMilli())
	b.report("former", former, nil, nil)
	b.Assert(b.accept("former", b.plan()["former"]), qt.HasLen, s.Count)
	left := *former
	left.Draining, left.Left = true, true
	b.report("former", &left, nil, nil)
	return job
}

// advance passes time, ends the runs whose time is over, and starts what a plan orders.
func (b *busyHarness) advance(d time.Duration) {
	b.now = b.now.Add(d)
	var running []workflow.RunState
	for _, run := range b.running {
		if b.longRunning[jobOf(run.Task)] || b.now.Sub(b.startedAt[run.Task]) < b.runTime {
			running = append(running, run)
			continue
		}
		b.ended = append(b.ended, workflow.RunEnd{Number: int64(len(b.ended) + 1), Task: run.Task, Run: run.Run, How: workflow.EndDone})
	}
	b.report(b.node, b.executor, running, b.ended)
	for _, run := range b.accept(b.node, b.plan()[b.node]) {
		b.startedAt[run.Task] = b.now
		running = append(running, run)
	}
	b.running = running
}

func (b *busyHarness) runs(job string) bool {
	for _, run := range b.running {
		if jobOf(run.Task) == job {
			return true
		}
	}
	return false
}

func jobOf(name string) string {
	id, _ := workflow.ParseTaskID(name)
	return id.Job
}

// Guards against a long-running task whose executor has left and that waits for as long as shorter tasks arrive, since they
// take each part of the room that it needs (LOST: tasks waited for 40 s).
func TestDisplacedTaskStartsBetweenShorterOnes(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		// lossLimit is the time since its last run after which a long-running task with room counts as lost.
		lossLimit = 6 * time.Second
	)
	b := newBusyHarness(t, 800*time.Millisecond)
	submit := func() {
		if b.now.UnixMilli()%200 == 0 {
			b.submitShort()
		}
	}
	for range 20 {
		submit()
		b.advance(interval)
	}
	b.Assert(b.running, qt.HasLen, 4)
	displaced := b.submitDisplaced(longRunning(1, 3))
	for began := b.now; !b.runs(displaced.ID); {
		b.Assert(b.now.Sub(began) < lossLimit, qt.IsTrue, qt.Commentf("it still waits, beside %d shorter tasks that run", len(b.running)))
		submit()
		b.advance(interval)
	}
	started := len(b.startedAt)
	b.advance(interval)
	b.advance(interval)
	b.Assert(len(b.startedAt) > started, qt.IsTrue, qt.Commentf("no shorter task starts any more"))
}

// Guards against a long-running task whose executor has left and that waits for as long as jobs arrive that fit fewer
// executors (LOST at 55.51 s in `fleetbench hunt`).
func TestDisplacedTaskStartsBeforeNewOnes(t *testing.T) {
	b := newBusyHarness(t, time.Hour)
	for range 4 {
		b.submitShort()
	}
	b.advance(0)
	b.Assert(b.running, qt.HasLen, 4)
	displaced := b.submitDisplaced(longRunning(1, 3))
	b.advance(5 * time.Second)
	constrained := longRunning(2, 4)
	constrained.PerExecutor = 1
	b.engine.Add(b.job(constrained), nil, b.now, b.now)
	b.report("b", executor("b", 1), nil, nil)
	starts := b.plan()["b"].Starts
	b.Assert(starts, qt.HasLen, 1)
	b.Assert(jobOf(starts[0].Task), qt.Equals, displaced.ID)
}

// Guards against a long-running task whose executor has left and that waits for as long as executors with larger ones leave.
func TestDisplacedTasksStartInOrderOfWaiting(t *testing.T) {
	b := newBusyHarness(t, time.Hour)
	first, second := b.job(longRunning(1, 3)), b.job(longRunning(1, 4))
	for i, node := range []string{"a", "b"} {
		b.report(node, executor(node, 1), nil, nil)
		b.engine.Add([]workflow.Job{first, second}[i], nil, b.now, b.now)
		b.Assert(b.accept(node, b.plan()[node]), qt.HasLen, 1)
	}
	for _, node := range []string{"a", "b"} {
		left := executor(node, 1)
		left.Draining, left.Left = true, true
		b.report(node, left, nil, nil)
		b.Assert(b.plan(), qt.HasLen, 0)
		b.now = b.now.Add(2 * time.Second)
	}
	b.report("c", executor("c", 1), nil, nil)
	starts := b.plan()["c"].Starts
	b.Assert(starts, qt.HasLen, 1)
	b.Assert(jobOf(starts[0].Task), qt.Equals, first.ID)
}
