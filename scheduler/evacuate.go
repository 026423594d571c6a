package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// stopReplaced evicts service replicas whose replacement is ready. The old replica serves until then.
func (c *Cycle) stopReplaced() {
	ready := map[string]bool{}
	for i := range c.workers {
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Replaces != "" && t.Ready && !t.Evicting() {
				ready[t.Replaces] = true
			}
		}
	}
	if len(ready) == 0 {
		return
	}
	for i := range c.workers {
		w := &c.workers[i]
		for k := range w.Running {
			t := &w.Running[k]
			if ready[t.AllocationID] && !t.Evicting() && len(c.plan.Evict) < c.Rules.MaxEvictions {
				c.evict(w, t, EvictReplaced, structs.TaskID{})
			}
		}
	}
}

// replacements returns a pending task for each service replica on a leaving worker that has no replacement yet.
func (c *Cycle) replacements() []*PendingTask {
	var tasks []*PendingTask
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.leaving {
			continue
		}
		for k := range w.Running {
			t := &w.Running[k]
			if t.Job.Kind != structs.KindService || c.leavingSoon(t) || c.replaced[t.AllocationID] {
				continue
			}
			tasks = append(tasks, &PendingTask{
				Job: t.Job, Index: t.Index, Attempt: t.Attempt, Resources: t.Resources, Replaces: t.AllocationID,
				state: c.job(t.Job),
			})
		}
	}
	return tasks
}

// leavingTask is a batch task on a leaving worker.
type leavingTask struct {
	worker int
	task   *RunningTask
}

// evacuateBatch evicts batch from leaving workers, the tasks with the most work done first. A task is evicted when room
// for it is held elsewhere, so that it resumes at once, or when the grace of its failure domain has passed.
func (c *Cycle) evacuateBatch() {
	for _, leaving := range c.leavingBatch() {
		w, t := &c.workers[leaving.worker], leaving.task
		state := c.job(t.Job)
		resume := &PendingTask{Job: t.Job, Index: t.Index, Attempt: t.Attempt, Resources: t.Resources, state: state}
		index := c.best(resume)
		if index >= 0 {
			c.hold(t.Resources, index)
		}
		if c.leavingSoon(t) || index < 0 && !c.gracePassed(w) {
			continue
		}
		if w.cycle.evicting < c.Rules.EvictionsPerWorker && len(c.plan.Evict) < c.Rules.MaxEvictions {
			c.evict(w, t, EvictEvacuated, structs.TaskID{})
		}
	}
}

// leavingBatch returns the batch tasks of leaving workers, the most valuable first.
func (c *Cycle) leavingBatch() []leavingTask {
	var list []leavingTask
	for i := range c.workers {
		if !c.workers[i].cycle.leaving {
			continue
		}
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Job.Kind == structs.KindBatch {
				list = append(list, leavingTask{i, t})
			}
		}
	}
	slices.SortFunc(list, func(a, b leavingTask) int {
		return cmp.Or(falseLast(a.task.Job.Urgent, b.task.Job.Urgent), cmp.Compare(b.task.WorkDone, a.task.WorkDone),
			cmp.Compare(a.task.AllocationID, b.task.AllocationID))
	})
	return list
}

// gracePassed tells whether batch on a leaving worker no longer waits for room elsewhere.
func (c *Cycle) gracePassed(w *WorkerView) bool {
	since := w.DrainingSince
	if out, ok := c.Rules.Out[w.FailureDomain]; ok {
		since = out
	}
	return c.Now.Sub(since) >= c.Rules.EvacuationGrace
}
