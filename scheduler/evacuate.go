package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// replacement is a service replica that was started to replace another one.
type replacement struct {
	task   *RunningTask
	worker *WorkerView
}

// finishReplacements evicts service replicas whose replacement is ready; the old replica serves until then. A
// replacement whose own worker is evacuated before it is ready is evicted, so that another one is started.
func (c *Cycle) finishReplacements() {
	if !c.hasReplacements {
		return
	}
	byReplacedID := map[string]replacement{}
	for i := range c.workers {
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Replaces != "" && !t.Evicting() {
				byReplacedID[t.Replaces] = replacement{t, &c.workers[i]}
			}
		}
	}
	for i := range c.workers {
		for k := range c.workers[i].Running {
			t := &c.workers[i].Running[k]
			if r, ok := byReplacedID[t.AllocationID]; ok {
				c.finishReplacement(&c.workers[i], t, r)
			}
		}
	}
}

// finishReplacement decides on a running replica and its replacement. While both run, the replacement doesn't get a
// replacement of its own: the old replica would outlive its replacement and be replaced twice.
func (c *Cycle) finishReplacement(w *WorkerView, old *RunningTask, r replacement) {
	c.replacing = true
	c.noReplacementNeeded[r.task.AllocationID] = true
	unusable := !r.task.Ready && r.worker.cycle.evacuating
	c.noReplacementNeeded[old.AllocationID] = !unusable
	switch {
	case len(c.plan.Evict) >= c.Rules.MaxEvictions:
	case unusable:
		c.evict(r.worker, r.task, EvictUnreadyReplacement, structs.TaskID{})
	case r.task.Ready && !old.Evicting():
		c.evict(w, old, EvictReplaced, structs.TaskID{})
	}
}

// pendingReplacements returns a pending task for each service replica on an evacuated worker that has no replacement
// yet.
func (c *Cycle) pendingReplacements() []*PendingTask {
	var tasks []*PendingTask
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.evacuating {
			continue
		}
		for k := range w.Running {
			t := &w.Running[k]
			if t.Job.Kind != structs.KindService || c.isEvicting(t) || c.noReplacementNeeded[t.AllocationID] {
				continue
			}
			tasks = append(tasks, &PendingTask{
				Job: t.Job, Index: t.Index, Attempt: t.Attempt, Resources: t.Resources, Replaces: t.AllocationID,
				state: c.stateOf(t.Job),
			})
		}
	}
	return tasks
}

// evacuatingTask is a batch task on an evacuated worker.
type evacuatingTask struct {
	worker int
	task   *RunningTask
}

// evacuateBatch evicts batch tasks from evacuated workers, those with the most work done first. A task is evicted once
// capacity is held for it elsewhere, so that it resumes at once, or once the evacuation grace has expired.
func (c *Cycle) evacuateBatch() {
	for _, evacuating := range c.evacuatingBatch() {
		w, t := &c.workers[evacuating.worker], evacuating.task
		state := c.stateOf(t.Job)
		resumed := &PendingTask{Job: t.Job, Index: t.Index, Attempt: t.Attempt, Resources: t.Resources, state: state}
		index := c.bestWorker(resumed)
		if index >= 0 {
			c.holdCapacity(t.Resources, index)
		}
		if c.isEvicting(t) || index < 0 && !c.graceExpired(w) {
			continue
		}
		if w.cycle.evictingCount < c.Rules.EvictionsPerWorker && len(c.plan.Evict) < c.Rules.MaxEvictions {
			c.evict(w, t, EvictEvacuated, structs.TaskID{})
		}
	}
}

// evacuatingBatch returns the batch tasks on evacuated workers, those with the most work done first.
func (c *Cycle) evacuatingBatch() []evacuatingTask {
	var list []evacuatingTask
	for i := range c.workers {
		if !c.workers[i].cycle.evacuating {
			continue
		}
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Job.Kind == structs.KindBatch {
				list = append(list, evacuatingTask{i, t})
			}
		}
	}
	slices.SortFunc(list, func(a, b evacuatingTask) int {
		return cmp.Or(cmp.Compare(b.task.WorkDone, a.task.WorkDone), cmp.Compare(a.task.AllocationID, b.task.AllocationID))
	})
	return list
}

// graceExpired reports whether batch tasks on an evacuated worker stop waiting for capacity elsewhere.
func (c *Cycle) graceExpired(w *WorkerView) bool {
	since := w.DrainingSince
	if out, ok := c.Rules.Out[w.FailureDomain]; ok {
		since = out
	}
	return c.Now.Sub(since) >= c.Rules.EvacuationGrace
}
