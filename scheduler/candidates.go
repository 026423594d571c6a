package scheduler

import (
	"math"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Reasons that the package itself gives.
const (
	// ReasonUnreported rejects a worker that has not reported and counts as full.
	ReasonUnreported Reason = "worker has not reported"
	// ReasonAvoided rejects a worker on which the task failed before.
	ReasonAvoided Reason = "task failed on this worker before"
	// ReasonFull means that the task is larger than what is free on any worker.
	ReasonFull Reason = "not enough free processors, memory or accelerators"
	// ReasonQuota means that the team would exceed its quota.
	ReasonQuota Reason = "team quota is used up"
)

// shapeKey identifies tasks that every plug-in rates alike. Unconstrained batch of one class and size shares a shape
// across jobs; tasks of services and of constrained jobs share one within their job.
type shapeKey struct {
	job       string
	class     int
	urgent    bool
	resources structs.Resources
}

// shape caches the ratings of all workers for one key.
type shape struct {
	ratings []float64
	// seen is how much of Cycle.touched the ratings reflect.
	seen int
}

var rejected = math.Inf(-1)

func keyOf(task *PendingTask) shapeKey {
	key := shapeKey{class: task.state.class, urgent: task.Job.Urgent, resources: task.Resources}
	con := &task.Job.Constraints
	if task.Job.Kind == structs.KindService || task.Job.SpreadDomains || con.AcceleratorKind != "" ||
		len(con.FailureDomains) > 0 || len(con.Racks) > 0 {
		key.job = task.Job.ID
	}
	return key
}

// best returns the index of the best worker for the task, or -1 when no worker takes it.
func (c *Cycle) best(task *PendingTask) int {
	key := keyOf(task)
	if c.blocked[key] {
		return -1
	}
	if len(task.Avoid) > 0 {
		return c.bestAvoiding(task)
	}
	if !task.Resources.Fits(c.maxFree) {
		c.blocked[key] = true
		c.wait(Waiting{JobID: task.Job.ID, Reason: ReasonFull, Workers: len(c.workers)})
		return -1
	}
	s := c.shapes[key]
	if s == nil {
		s = &shape{ratings: make([]float64, len(c.workers)), seen: len(c.touched)}
		for i := range c.workers {
			s.ratings[i], _ = c.rate(task, &c.workers[i])
		}
		c.shapes[key] = s
	}
	for ; s.seen < len(c.touched); s.seen++ {
		i := c.touched[s.seen]
		s.ratings[i], _ = c.rate(task, &c.workers[i])
	}
	found := highest(s.ratings)
	if found < 0 {
		c.block(key, task)
	}
	return found
}

// highest returns the index of the highest rating, the first among equals, or -1 if all are rejected.
func highest(ratings []float64) int {
	found, top := -1, rejected
	for i, rating := range ratings {
		if rating > top {
			found, top = i, rating
		}
	}
	return found
}

// block records that no worker takes tasks of the shape in this cycle. Free room only shrinks, so this stays true.
func (c *Cycle) block(key shapeKey, task *PendingTask) {
	delete(c.shapes, key)
	c.blocked[key] = true
	if len(c.plan.Waiting) < MaxWaiting {
		c.plan.Waiting = append(c.plan.Waiting, c.explain(task))
	}
}

// explain returns the reason that most workers give.
func (c *Cycle) explain(task *PendingTask) Waiting {
	w := Waiting{JobID: task.Job.ID}
	counts := map[Reason]int{}
	for i := range c.workers {
		_, reason := c.rate(task, &c.workers[i])
		if reason == "" {
			continue
		}
		counts[reason]++
		if n := counts[reason]; n > w.Workers || n == w.Workers && reason < w.Reason {
			w.Reason, w.Workers = reason, n
		}
	}
	return w
}

// bestAvoiding rates all workers but those that the task avoids. If no other worker takes it, it may use those.
func (c *Cycle) bestAvoiding(task *PendingTask) int {
	found, top := -1, rejected
	avoided, avoidedTop := -1, rejected
	for i := range c.workers {
		rating, _ := c.rate(task, &c.workers[i])
		if slices.Contains(task.Avoid, c.workers[i].Name) {
			if rating > avoidedTop {
				avoided, avoidedTop = i, rating
			}
		} else if rating > top {
			found, top = i, rating
		}
	}
	if found < 0 {
		return avoided
	}
	return found
}

// rate returns the weighted sum of the scores, or the reason of the first filter that rejects the worker.
func (c *Cycle) rate(task *PendingTask, w *WorkerView) (float64, Reason) {
	if !w.Reported {
		return rejected, ReasonUnreported
	}
	for _, f := range filters {
		if reason := f.Filter(c, task, w); reason != "" {
			return rejected, reason
		}
	}
	sum := 0.0
	for i := range c.scores {
		sum += c.scores[i].weight * c.scores[i].plugin.Score(c, task, w)
	}
	if math.IsNaN(sum) {
		return rejected, "a score is not a number"
	}
	return sum, ""
}

// place assigns the task to a worker if that keeps within its capacity, and tells whether it did.
func (c *Cycle) place(task *PendingTask, index int) bool {
	w := &c.workers[index]
	if !w.cycle.usable || !task.Resources.Fits(w.cycle.free) {
		return false
	}
	job := task.state
	w.cycle.free = w.cycle.free.Sub(task.Resources)
	w.cycle.added = append(w.cycle.added, task)
	w.cycle.count(task.Job, task.Resources)
	job.account.Charge(task.Resources)
	c.count(job)
	job.add(task.Index, w.FailureDomain)
	if task.Job.Kind == structs.KindService || task.Job.SpreadDomains {
		// Tasks that spread are rated by where the others are.
		delete(c.shapes, keyOf(task))
	}
	c.touched = append(c.touched, index)
	c.countPlaced(task, w)
	c.plan.Place = append(c.plan.Place, Placement{
		Task: task.ID(), Attempt: task.Attempt, Worker: w.Name, Resources: task.Resources, Replaces: task.Replaces,
	})
	return true
}

// countPlaced keeps the counts of Beside, and drops the ratings that depend on a count that has changed.
func (c *Cycle) countPlaced(task *PendingTask, w *WorkerView) {
	if c.snapshot.Interference == nil {
		return
	}
	loads := c.Neighbours(task, w)
	for i := range loads {
		load := &loads[i]
		e := c.Estimate(task, load)
		service, batch, tasks := c.loadID(load), task.state.class, 1
		if task.Job.Kind == structs.KindService {
			service, batch, tasks = batch, service, load.Tasks
		}
		if counts := c.beside[batch]; counts != nil {
			counts[service] += tasks
		}
		if e.Known {
			continue
		}
		for key := range c.shapes {
			if key.class == batch || key.class == service {
				delete(c.shapes, key)
			}
		}
	}
}

// hold keeps room on a worker for a task that waits for evictions there: first what the evictions will free, then what
// is free now. Tasks that come later in the order of the cycle don't get it.
func (c *Cycle) hold(r structs.Resources, index int) {
	s := c.workers[index].cycle
	claimed := structs.Resources{
		MilliCores:   min(max(s.future.MilliCores, 0), r.MilliCores),
		MemoryMB:     min(max(s.future.MemoryMB, 0), r.MemoryMB),
		Accelerators: min(max(s.future.Accelerators, 0), r.Accelerators),
	}
	s.future = s.future.Sub(claimed)
	s.free = s.free.Sub(r.Sub(claimed))
	c.touched = append(c.touched, index)
}
