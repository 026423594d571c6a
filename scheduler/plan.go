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
	c.settleReplacements()
	first, rest := c.queues()
	c.run(first)
	c.evacuateBatch()
	c.feedStarving(rest)
	c.run(rest)
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

// run places the tasks of the levels, one level after the other.
func (c *Cycle) run(levels []level) {
	for i := range levels {
		for len(c.plan.Place) < c.Rules.MaxPlacements {
			task := levels[i].next()
			if task == nil {
				break
			}
			c.start(task)
		}
	}
}

// start places one task, or makes room for it if it may preempt.
func (c *Cycle) start(task *PendingTask) {
	job := task.state
	// A replacement runs beside the replica it replaces for a short time. Counting it would let a team at its quota
	// never leave a failure domain.
	if task.Replaces == "" && !job.account.Allows(task.Resources) {
		c.wait(Waiting{JobID: job.job.ID, Reason: ReasonQuota})
		return
	}
	index := c.best(task)
	if index < 0 && !task.Preempts() {
		return
	}
	if c.count(job); task.Replaces == "" && job.indices[task.Index] {
		return
	}
	if index >= 0 && c.place(task, index) || !task.Preempts() {
		return
	}
	c.makeRoom(task)
}

func (c *Cycle) wait(w Waiting) {
	n := len(c.plan.Waiting)
	if n < MaxWaiting && (n == 0 || c.plan.Waiting[n-1].JobID != w.JobID) {
		c.plan.Waiting = append(c.plan.Waiting, w)
	}
}

// evict adds an eviction to the plan and counts the room that it will free.
func (c *Cycle) evict(w *WorkerView, t *RunningTask, reason EvictReason, needed structs.TaskID) {
	c.evicted[t.AllocationID] = true
	w.cycle.evicting++
	if w.cycle.usable {
		w.cycle.future = w.cycle.future.Add(t.Resources)
	}
	c.plan.Evict = append(c.plan.Evict, Eviction{
		AllocationID: t.AllocationID, Task: structs.TaskID{JobID: t.Job.ID, Index: t.Index}, Worker: w.Name,
		Reason: reason, Checkpoint: t.Job.Kind == structs.KindBatch, For: needed,
	})
}

// leavingSoon tells whether an allocation ends already, by an earlier decision or by one of this cycle.
func (c *Cycle) leavingSoon(t *RunningTask) bool { return t.Evicting() || c.evicted[t.AllocationID] }
