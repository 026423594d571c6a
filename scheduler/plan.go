package scheduler

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Planner makes plans and reuses its memory between them. Its plans are the same as those of Plan. The zero value is
// ready to use. It is not safe for concurrent use.
type Planner struct{ cycle Cycle }

// Plan decides as the function Plan does.
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

// Plan decides placements, evictions and verdicts for a snapshot at a time. It only reads the snapshot.
//
// The order is: replacements of service replicas that must leave and urgent work; then batch that must leave, by the
// value of the work already done; then the rest by priority, services before batch at the same priority, and fair
// share by team. A job that can't be placed blocks no other job, but for one starving batch task at a time, for which
// one worker is kept free.
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

// schedule places one task, or makes room for it if it may preempt.
func (c *Cycle) schedule(task *PendingTask) {
	job := task.state
	// A replacement runs beside the replica it replaces for a short time. Counting it would let a team at its quota
	// never leave a failure domain.
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

// evict adds an eviction to the plan and counts the room that it will free.
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

// isEvicting tells whether an allocation ends already, by an earlier decision or by one of this cycle.
func (c *Cycle) isEvicting(t *RunningTask) bool { return t.Evicting() || c.evicted[t.AllocationID] }
