package scheduler

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Planner makes the same plans as the function Plan and reuses memory between them. The zero value is ready to use. It
// is not safe for concurrent use.
type Planner struct{ cycle Cycle }

// Plan returns the same decisions as the function Plan.
func (p *Planner) Plan(snapshot Snapshot, now time.Time) Decisions {
	c := &p.cycle
	c.reset(&snapshot, now)
	c.finishReplacements()
	first, rest := c.pendingLevels()
	c.placeLevels(first)
	c.evacuateBatch()
	c.placeStarving(rest)
	c.placeLevels(rest)
	c.rebalance()
	return c.plan
}

// Plan decides which tasks to place and which allocations to evict, and finds jobs that can never run. It doesn't
// modify the snapshot.
//
// The order is: replacements of service replicas on evacuated workers, and urgent work; then batch tasks on evacuated
// workers, those with the most work done first; then the rest by priority, services before batch at equal priority,
// with fair sharing between teams. A job that can't be placed doesn't block others, except that one worker is kept
// free for one starving batch task at a time.
func Plan(snapshot Snapshot, now time.Time) Decisions {
	return new(Planner).Plan(snapshot, now)
}

// placeLevels places the tasks of the levels, one level after the other.
func (c *Cycle) placeLevels(levels []priorityLevel) {
	for i := range levels {
		for len(c.plan.Place) < c.Rules.MaxPlacements {
			task := levels[i].popNext()
			if task == nil {
				break
			}
			c.schedule(task)
		}
	}
}

// schedule places one task, or preempts batch tasks for it if allowed.
func (c *Cycle) schedule(task *PendingTask) {
	job := task.state
	// A replacement runs beside the replaced replica for a short time. If it counted, a team at its quota could never
	// leave a failure domain.
	if task.Replaces == "" && !job.account.Allows(task.Resources) {
		c.addWaiting(WaitingJob{JobID: job.job.ID, Reason: ReasonQuota})
		return
	}
	index := c.bestWorker(task)
	if index < 0 && !task.MayPreempt() {
		return
	}
	if c.countJobTasks(job); task.Replaces == "" && job.runningIndices[task.Index] {
		return
	}
	if index >= 0 && c.place(task, index) || !task.MayPreempt() {
		return
	}
	c.preempt(task)
}

func (c *Cycle) addWaiting(w WaitingJob) {
	n := len(c.plan.Waiting)
	if n < MaxWaitingJobs && (n == 0 || c.plan.Waiting[n-1].JobID != w.JobID) {
		c.plan.Waiting = append(c.plan.Waiting, w)
	}
}

// evict adds an eviction to the plan and counts the resources that it will free.
func (c *Cycle) evict(w *WorkerView, t *RunningTask, reason EvictReason, preemptor structs.TaskID) {
	c.evicted[t.AllocationID] = true
	w.cycle.evictingCount++
	if w.cycle.schedulable {
		w.cycle.releasing = w.cycle.releasing.Add(t.Resources)
	}
	c.plan.Evict = append(c.plan.Evict, Eviction{
		AllocationID: t.AllocationID, Task: structs.TaskID{JobID: t.Job.ID, Index: t.Index}, Worker: w.Name,
		Reason: reason, Checkpoint: t.Job.Kind == structs.KindBatch, Preemptor: preemptor,
	})
}

// isEvicting reports whether an allocation is being evicted, by an earlier plan or by this one.
func (c *Cycle) isEvicting(t *RunningTask) bool { return t.Evicting() || c.evicted[t.AllocationID] }
