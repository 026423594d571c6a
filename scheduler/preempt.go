package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// preempt holds capacity for a task that may preempt: on a worker where evictions in progress release enough, or else
// on the worker where evicting batch tasks costs least. A later plan places the task, once the evictions have ended.
func (c *Cycle) preempt(task *PendingTask) {
	key := equivalenceKeyOf(task)
	if c.preemptionFailed[key] {
		return
	}
	if index := c.bestReleasingWorker(task); index >= 0 {
		c.holdForPreemptor(task, index)
		return
	}
	best, cost := -1, victimCost{}
	var victims []int
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.schedulable {
			continue
		}
		if list, ok := c.selectVictims(task, w); ok {
			if candidateCost := c.victimCostOf(task, w, list); best < 0 || candidateCost.less(cost) {
				best, cost, victims = i, candidateCost, list
			}
		}
	}
	if best < 0 || len(c.plan.Evict)+len(victims) > c.Rules.MaxEvictions {
		// The set of tasks that may be evicted only shrinks during a cycle, so equivalent tasks need not try again.
		c.preemptionFailed[key] = true
		return
	}
	w := &c.workers[best]
	for _, k := range victims {
		c.evict(w, &w.Running[k], EvictPreempted, task.ID())
	}
	c.holdForPreemptor(task, best)
}

// holdForPreemptor holds capacity on a worker for a task, and counts the task in the worker's failure domain, so that
// further replicas of its service spread.
func (c *Cycle) holdForPreemptor(task *PendingTask, index int) {
	c.holdCapacity(task.Resources, index)
	task.state.addTask(task.Index, c.workers[index].FailureDomain)
}

// bestReleasingWorker returns the best worker that takes the task once the evictions in progress have ended, or -1. It
// keeps a waiting task from causing more evictions in each plan.
func (c *Cycle) bestReleasingWorker(task *PendingTask) int {
	found, top := -1, rejectedRating
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.schedulable || w.cycle.evictingCount == 0 || !task.Resources.Fits(w.cycle.free.Add(w.cycle.releasing)) {
			continue
		}
		if rating := c.rateWithout(task, w, nil); rating > top {
			found, top = i, rating
		}
	}
	return found
}

// rateWithout rates a worker as if the given tasks and those that are being evicted had ended.
func (c *Cycle) rateWithout(task *PendingTask, w *WorkerView, removed []int) float64 {
	saved := w.cycle
	defer func() { w.cycle = saved }()
	state := *saved
	w.cycle = &state
	w.cycle.free = w.cycle.free.Add(w.cycle.releasing)
	w.cycle.serviceLoads, w.cycle.serviceLoadsValid, w.cycle.batchLoads, w.cycle.batchLoadsValid = nil, true, nil, true
	for k := range w.Running {
		t := &w.Running[k]
		switch {
		case slices.Contains(removed, k):
			w.cycle.free = w.cycle.free.Add(t.Resources)
		case !c.isEvicting(t):
			w.cycle.addLoad(t.Job, t.Resources)
		}
	}
	for _, t := range w.cycle.placed {
		w.cycle.addLoad(t.Job, t.Resources)
	}
	rating, _ := c.rate(task, w)
	return rating
}

// selectVictims returns batch tasks, as indices into Running, whose eviction lets the worker take the task.
func (c *Cycle) selectVictims(task *PendingTask, w *WorkerView) ([]int, bool) {
	candidates := c.preemptibleTasks(task, w)
	available := w.cycle.free.Add(w.cycle.releasing)
	for _, k := range candidates {
		available = available.Add(w.Running[k].Resources)
	}
	if len(candidates) == 0 || !task.Resources.Fits(available) || c.rateWithout(task, w, candidates) == rejectedRating {
		return nil, false
	}
	// Evicting all candidates suffices. Keep only those that are needed, trying to spare the most valuable first.
	for i := len(candidates) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(candidates), i, i+1)
		if c.rateWithout(task, w, fewer) != rejectedRating {
			candidates = fewer
		}
	}
	return candidates, len(candidates) > 0
}

// preemptibleTasks returns the batch tasks that the task may evict, the least valuable first.
func (c *Cycle) preemptibleTasks(task *PendingTask, w *WorkerView) []int {
	var list []int
	for k := range w.Running {
		t := &w.Running[k]
		if t.Job.Kind == structs.KindBatch && !t.Job.Urgent && !c.isEvicting(t) && t.Job.ID != task.Job.ID {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		x, y := &w.Running[a], &w.Running[b]
		return cmp.Or(cmp.Compare(x.Job.Priority, y.Job.Priority), cmp.Compare(x.WorkDone, y.WorkDone),
			cmp.Compare(x.AllocationID, y.AllocationID))
	})
	return list
}

// victimCost is the cost of evicting a set of tasks. Costs compare by the highest priority of the victims, then by the
// replicas of the service in the failure domain, the number of victims, and the work that they have done.
type victimCost struct {
	priority, replicas, count int
	work                      float64
}

func (c *Cycle) victimCostOf(task *PendingTask, w *WorkerView, victims []int) victimCost {
	cost := victimCost{count: len(victims)}
	if task.Job.Kind == structs.KindService {
		cost.replicas, _ = c.DomainTasks(task, w)
	}
	for _, k := range victims {
		cost.priority = max(cost.priority, w.Running[k].Job.Priority)
		cost.work += w.Running[k].WorkDone.Seconds()
	}
	return cost
}

func (a victimCost) less(b victimCost) bool {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.replicas, b.replicas), cmp.Compare(a.count, b.count), cmp.Compare(a.work, b.work)) < 0
}
