package workflows_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxCrashingStarts is how often a task may be started that crashes each executor that starts it: three times, and twice more
// after three executors have crashed under it.
const maxCrashingStarts = 5

// crashingTasks counts the starts of the tasks that crash their executors.
type crashingTasks struct {
	mu     sync.Mutex
	starts map[string]int
}

// setCrashing makes the first task of each given job crash every executor that starts it.
func (f *fleet) setCrashing(jobs ...string) *crashingTasks {
	c := &crashingTasks{starts: map[string]int{}}
	for _, id := range jobs {
		c.starts[workflow.TaskID{Job: id}.String()] = 0
	}
	for _, h := range f.hosts {
		h.executor.SetCrashing(func(task string) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, crashes := c.starts[task]; crashes {
				c.starts[task]++
				return true
			}
			return false
		})
	}
	return c
}

// most returns the largest number of starts of one task, and the number of all starts.
func (c *crashingTasks) most() (most, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.starts {
		most, total = max(most, n), total+n
	}
	return most, total
}

// submitCrashing submits jobs of which one task crashes the executors that start it, between others, and returns the IDs of
// both.
func (f *fleet) submitCrashing(count int) (crashing, others []string, tasks *crashingTasks) {
	var jobs []workflow.Job
	for range count {
		job := f.newJob(4, 2)
		crashing, jobs = append(crashing, job.ID), append(jobs, job)
	}
	tasks = f.setCrashing(crashing...)
	for i := range jobs {
		f.Assert(f.gateway.Submit(f.ctx, &jobs[i]), qt.IsNil)
		others = append(others, f.submit(3, 2), f.submit(5))
		time.Sleep(300 * time.Millisecond)
	}
	return crashing, others, tasks
}

// waitGivenUp waits until all jobs have failed and checks how often their crashing tasks were started.
func (f *fleet) waitGivenUp(limit time.Duration, tasks *crashingTasks, ids ...string) {
	f.Helper()
	deadline := time.Now().Add(limit)
	for _, id := range ids {
		for f.phase(id) != workflow.Failed {
			if most, total := tasks.most(); most > maxCrashingStarts || time.Now().After(deadline) {
				f.Fatalf("job %s is %s after %d starts of one crashing task, %d of all", id, f.phase(id), most, total)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against a task that crashes one executor after the other (issue 22: BUDGET).
func TestCrashingTaskIsGivenUp(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		crashing, others, tasks := f.submitCrashing(2)
		f.waitGivenUp(40*time.Second, tasks, crashing...)
		_, total := tasks.most()
		f.waitCompleted(40*time.Second, others...)
		time.Sleep(20 * time.Second)
		_, later := tasks.most()
		f.Assert(later, qt.Equals, total, qt.Commentf("started after its job has failed"))
	})
}

// Guards against such a task if the executors return under the same IDs, where starts meant for former incarnations may arrive.
func TestCrashingTaskIsGivenUpIfExecutorsKeepTheirIDs(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetKeepsID()
		}
		crashing, others, tasks := f.submitCrashing(2)
		f.waitGivenUp(40*time.Second, tasks, crashing...)
		f.waitCompleted(40*time.Second, others...)
	})
}

// Guards against a new owner that doesn't count the executors that crashed under a task before it took over (issue 22: BUDGET).
func TestCrashingTaskIsGivenUpDespiteTakeovers(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		crashing, others, tasks := f.submitCrashing(2)
		for range 3 {
			time.Sleep(4 * time.Second)
			former := f.owner()
			former.kill()
			former.start()
		}
		f.waitGivenUp(60*time.Second, tasks, crashing...)
		f.waitCompleted(60*time.Second, others...)
	})
}

// Guards against a job that is given up because executors crash for other reasons while its tasks run.
func TestCrashesOfExecutorsFailNoJob(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		var ids []string
		for round := range 8 {
			ids = append(ids, f.submit(6, 4), f.submit(3))
			time.Sleep(400 * time.Millisecond)
			h := f.hosts[round%len(f.hosts)]
			h.executor.Crash()
			time.AfterFunc(3*time.Second, h.executor.Restart)
			time.Sleep(1100 * time.Millisecond)
		}
		f.waitCompleted(60*time.Second, ids...)
	})
}
