package scheduler

import (
	"cmp"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// makeRoom holds room for a task that may preempt: on a worker where evictions under way free enough, or else on the
// worker where evicting batch costs least. The task is placed by a later plan, once the evictions have ended.
func (c *Cycle) makeRoom(task *PendingTask) {
	key := keyOf(task)
	if c.noRoom[key] {
		return
	}
	if index := c.awaited(task); index >= 0 {
		c.holdFor(task, index)
		return
	}
	best, cost := -1, victimCost{}
	var victims []int
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.usable {
			continue
		}
		if list, ok := c.victims(task, w); ok {
			if price := c.costOf(task, w, list); best < 0 || price.less(cost) {
				best, cost, victims = i, price, list
			}
		}
	}
	if best < 0 || len(c.plan.Evict)+len(victims) > c.Rules.MaxEvictions {
		// What may be evicted only shrinks in a cycle, so equal tasks need not try again.
		c.noRoom[key] = true
		return
	}
	w := &c.workers[best]
	for _, k := range victims {
		c.evict(w, &w.Running[k], EvictPreempted, task.ID())
	}
	c.holdFor(task, best)
}

// holdFor holds room for a task and counts it on the worker, so that further replicas of its service spread.
func (c *Cycle) holdFor(task *PendingTask, index int) {
	c.hold(task.Resources, index)
	task.state.add(task.Index, c.workers[index].FailureDomain)
}

// awaited returns the best worker that takes the task once the evictions under way have ended, or -1. It keeps a
// waiting task from evicting more in each plan.
func (c *Cycle) awaited(task *PendingTask) int {
	found, top := -1, rejected
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.usable || w.cycle.evicting == 0 || !task.Resources.Fits(w.cycle.free.Add(w.cycle.future)) {
			continue
		}
		if rating := c.rateWithout(task, w, nil); rating > top {
			found, top = i, rating
		}
	}
	return found
}

// rateWithout rates a worker as if the given tasks and the evicting ones were gone.
func (c *Cycle) rateWithout(task *PendingTask, w *WorkerView, gone []int) float64 {
	saved := w.cycle
	defer func() { w.cycle = saved }()
	state := *saved
	w.cycle = &state
	w.cycle.free = w.cycle.free.Add(w.cycle.future)
	w.cycle.serviceLoads, w.cycle.servicesLoaded, w.cycle.batchLoads, w.cycle.batchLoaded = nil, true, nil, true
	for k := range w.Running {
		t := &w.Running[k]
		switch {
		case slices.Contains(gone, k):
			w.cycle.free = w.cycle.free.Add(t.Resources)
		case !c.leavingSoon(t):
			w.cycle.count(t.Job, t.Resources)
		}
	}
	for _, t := range w.cycle.added {
		w.cycle.count(t.Job, t.Resources)
	}
	rating, _ := c.rate(task, w)
	return rating
}

// victims returns batch tasks of the worker without which it takes the task, as positions in Running.
func (c *Cycle) victims(task *PendingTask, w *WorkerView) ([]int, bool) {
	candidates := c.preemptable(task, w)
	room := w.cycle.free.Add(w.cycle.future)
	for _, k := range candidates {
		room = room.Add(w.Running[k].Resources)
	}
	if len(candidates) == 0 || !task.Resources.Fits(room) || c.rateWithout(task, w, candidates) == rejected {
		return nil, false
	}
	// All of them are enough. Keep those that are needed, trying to spare the most valuable first.
	for i := len(candidates) - 1; i >= 0; i-- {
		fewer := slices.Delete(slices.Clone(candidates), i, i+1)
		if c.rateWithout(task, w, fewer) != rejected {
			candidates = fewer
		}
	}
	return candidates, len(candidates) > 0
}

// preemptable returns the batch tasks that the task may evict, the least valuable first.
func (c *Cycle) preemptable(task *PendingTask, w *WorkerView) []int {
	var list []int
	for k := range w.Running {
		t := &w.Running[k]
		if t.Job.Kind == structs.KindBatch && !t.Job.Urgent && !c.leavingSoon(t) && t.Job.ID != task.Job.ID {
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

// victimCost orders sets of victims: by their highest priority, the replicas of the service in the failure domain, the
// number of victims, and the work that they have done.
type victimCost struct {
	priority, replicas, count int
	work                      float64
}

func (c *Cycle) costOf(task *PendingTask, w *WorkerView, victims []int) victimCost {
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
