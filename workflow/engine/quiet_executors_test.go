package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
)

// maxIdle is how long a job may have no run although one of its tasks is ready, with room on executors that are mostly free.
const maxIdle = 3 * time.Second

// startSmall starts one small task on each executor, and lets 100 ms pass.
func (f *crashFleet) startSmall() {
	small := step(len(f.names))
	small.Need, small.PerExecutor = structs.Resources{MilliCores: 10, MemoryMB: 1}, 1
	f.engine.Add(f.job(small), nil, f.now, f.now)
	for name, orders := range f.plan() {
		for _, run := range f.accept(name, orders) {
			f.starts[run.Task]++
			f.running[name] = append(f.running[name], run)
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportAll()
}

// Guards against a suspect that waits for as long as tasks of other jobs start on all executors every 100 ms (LOST).
func TestSuspectStartsWhileOthersStartEverywhere(t *testing.T) {
	f := newCrashFleet(t, "a", "b", "c")
	job := f.job(longStep(1))
	f.engine.Add(job, nil, f.now, f.now)
	crashed := ""
	f.round(func(_, name string) { crashed = name })
	for range 5 {
		f.startSmall()
	}
	f.crash(crashed)
	f.restore(crashed)
	f.reportAll()
	crashedAt := f.now
	for task := job.ID + ".0.0.0"; f.starts[task] < 2; f.startSmall() {
		f.Assert(f.now.Sub(crashedAt) < maxIdle, qt.IsTrue, qt.Commentf("not started %v after the crash", f.now.Sub(crashedAt)))
	}
}
