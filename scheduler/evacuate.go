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

// settleReplacements evicts service replicas whose replacement is ready; the old replica serves until then. A
// replacement that has to leave itself before it is ready is of no use and is evicted, so that another one is started.
func (c *Cycle) settleReplacements() {
	if !c.replacements {
		return
	}
	byOld := map[string]replacement{}
	for i := range c.workers {
		for k := range c.workers[i].Running {
			if t := &c.workers[i].Running[k]; t.Replaces != "" && !t.Evicting() {
				byOld[t.Replaces] = replacement{t, &c.workers[i]}
			}
		}
	}
	for i := range c.workers {
		for k := range c.workers[i].Running {
			t := &c.workers[i].Running[k]
			if r, ok := byOld[t.AllocationID]; ok {
				c.settle(&c.workers[i], t, r)
			}
		}
	}
}

// settle decides on a replica that runs and its replacement. While both run, the replacement needs none itself: if it
// got one, the old replica would outlive its own replacement and be replaced twice.
func (c *Cycle) settle(w *WorkerView, old *RunningTask, r replacement) {
	c.settling = true
	c.replaced[r.task.AllocationID] = true
	useless := !r.task.Ready && r.worker.cycle.leaving
	c.replaced[old.AllocationID] = !useless
	switch {
	case len(c.plan.Evict) >= c.Rules.MaxEvictions:
	case useless:
		c.evict(r.worker, r.task, EvictUseless, structs.TaskID{})
	case r.task.Ready && !old.Evicting():
		c.evict(w, old, EvictReplaced, structs.TaskID{})
	}
}

// pendingReplacements returns a pending task for each service replica on a leaving worker that has no replacement yet.
func (c *Cycle) pendingReplacements() []*PendingTask {
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
		return cmp.Or(cmp.Compare(b.task.WorkDone, a.task.WorkDone), cmp.Compare(a.task.AllocationID, b.task.AllocationID))
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
