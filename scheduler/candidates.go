package scheduler

import (
	"math"
	"slices"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Reasons that the package itself gives.
const (
	// ReasonUnreported rejects a worker that has not reported, which counts as full.
	ReasonUnreported Reason = "worker has not reported"
	// ReasonFull means that the task needs more than is free on any worker.
	ReasonFull Reason = "not enough free processors, memory or accelerators"
	// ReasonQuota means that the team would exceed its quota.
	ReasonQuota Reason = "team quota is used up"
)

// equivalenceKey identifies tasks that every plug-in rates alike. Unconstrained batch tasks of one class and size
// share a key across jobs. Tasks of services, of constrained jobs and of jobs that spread over failure domains share
// one only within their job.
type equivalenceKey struct {
	job       string
	class     int
	urgent    bool
	resources structs.Resources
}

// cachedRatings holds the ratings of all workers for one equivalenceKey.
type cachedRatings struct {
	byWorker []float64
	// applied is the number of entries of Cycle.changedWorkers that the ratings reflect.
	applied int
}

var rejectedRating = math.Inf(-1)

func equivalenceKeyOf(task *PendingTask) equivalenceKey {
	key := equivalenceKey{class: task.state.classID, urgent: task.Job.Urgent, resources: task.Resources}
	con := &task.Job.Constraints
	if task.Job.Kind == structs.KindService || task.Job.SpreadDomains || con.AcceleratorKind != "" ||
		len(con.FailureDomains) > 0 || len(con.Racks) > 0 {
		key.job = task.Job.ID
	}
	return key
}

// bestWorker returns the index of the best worker for the task, or -1 if no worker takes it.
func (c *Cycle) bestWorker(task *PendingTask) int {
	key := equivalenceKeyOf(task)
	if c.unschedulable[key] {
		return -1
	}
	if len(task.Avoid) > 0 {
		return c.bestWorkerAvoiding(task)
	}
	if !task.Resources.Fits(c.maxFree) {
		c.unschedulable[key] = true
		c.addWaiting(WaitingJob{JobID: task.Job.ID, Reason: ReasonFull, Workers: len(c.workers)})
		return -1
	}
	s := c.ratings[key]
	if s == nil {
		s = &cachedRatings{byWorker: make([]float64, len(c.workers)), applied: len(c.changedWorkers)}
		for i := range c.workers {
			s.byWorker[i], _ = c.rate(task, &c.workers[i])
		}
		c.ratings[key] = s
	}
	for ; s.applied < len(c.changedWorkers); s.applied++ {
		i := c.changedWorkers[s.applied]
		s.byWorker[i], _ = c.rate(task, &c.workers[i])
	}
	found := highestRating(s.byWorker)
	if found < 0 {
		c.markUnschedulable(key, task)
	}
	return found
}

// highestRating returns the index of the highest rating, the first one of equals, or -1 if all workers are rejected.
func highestRating(ratings []float64) int {
	found, top := -1, rejectedRating
	for i, rating := range ratings {
		if rating > top {
			found, top = i, rating
		}
	}
	return found
}

// markUnschedulable records that no worker takes equivalent tasks in this cycle. Free resources only shrink during a
// cycle, so this stays true.
func (c *Cycle) markUnschedulable(key equivalenceKey, task *PendingTask) {
	delete(c.ratings, key)
	c.unschedulable[key] = true
	if len(c.plan.Waiting) < MaxWaitingJobs {
		c.plan.Waiting = append(c.plan.Waiting, c.explainWaiting(task))
	}
}

// explainWaiting returns the reason that most workers give for rejecting the task.
func (c *Cycle) explainWaiting(task *PendingTask) WaitingJob {
	w := WaitingJob{JobID: task.Job.ID}
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

// bestWorkerAvoiding returns the best worker that the task doesn't avoid, or the best avoided one if no other takes
// it.
func (c *Cycle) bestWorkerAvoiding(task *PendingTask) int {
	found, top := -1, rejectedRating
	avoided, avoidedRating := -1, rejectedRating
	for i := range c.workers {
		rating, _ := c.rate(task, &c.workers[i])
		if slices.Contains(task.Avoid, c.workers[i].Name) {
			if rating > avoidedRating {
				avoided, avoidedRating = i, rating
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
		return rejectedRating, ReasonUnreported
	}
	for _, f := range filters {
		if reason := f.Filter(c, task, w); reason != "" {
			return rejectedRating, reason
		}
	}
	sum := 0.0
	for i := range c.scores {
		sum += c.scores[i].weight * c.scores[i].plugin.Score(c, task, w)
	}
	if math.IsNaN(sum) {
		return rejectedRating, "a score is not a number"
	}
	return sum, ""
}

// place assigns the task to a worker if it fits there, and reports whether it did.
func (c *Cycle) place(task *PendingTask, index int) bool {
	w := &c.workers[index]
	if !w.cycle.schedulable || !task.Resources.Fits(w.cycle.free) {
		return false
	}
	job := task.state
	w.cycle.free = w.cycle.free.Sub(task.Resources)
	w.cycle.placed = append(w.cycle.placed, task)
	w.cycle.addLoad(task.Job, task.Resources)
	job.account.Charge(task.Resources)
	c.countJobTasks(job)
	job.addTask(task.Index, w.FailureDomain)
	if task.Job.Kind == structs.KindService || task.Job.SpreadDomains {
		// The ratings of tasks that spread depend on where the other tasks of the job are.
		delete(c.ratings, equivalenceKeyOf(task))
	}
	c.changedWorkers = append(c.changedWorkers, index)
	c.updateColocated(task, w)
	c.plan.Place = append(c.plan.Place, Placement{
		Task: task.ID(), Attempt: task.Attempt, Worker: w.Name, Resources: task.Resources, Replaces: task.Replaces,
	})
	return true
}

// updateColocated updates the counts of ColocatedTasks and drops cached ratings that depend on a changed count.
func (c *Cycle) updateColocated(task *PendingTask, w *WorkerView) {
	if c.snapshot.Interference == nil {
		return
	}
	loads := c.ColocatedLoads(task, w)
	for i := range loads {
		load := &loads[i]
		e := c.Estimate(task, load)
		service, batch, tasks := c.loadClassID(load), task.state.classID, 1
		if task.Job.Kind == structs.KindService {
			service, batch, tasks = batch, service, load.Tasks
		}
		if counts := c.colocated[batch]; counts != nil {
			counts[service] += tasks
		}
		if e.Known {
			continue
		}
		for key := range c.ratings {
			if key.class == batch || key.class == service {
				delete(c.ratings, key)
			}
		}
	}
}

// holdCapacity holds resources on a worker for a task that waits for evictions there: first those that evictions will
// release, then those that are free now. Tasks that come later in the cycle can't use them.
func (c *Cycle) holdCapacity(r structs.Resources, index int) {
	s := c.workers[index].cycle
	claimed := structs.Resources{
		MilliCores:   min(max(s.releasing.MilliCores, 0), r.MilliCores),
		MemoryMB:     min(max(s.releasing.MemoryMB, 0), r.MemoryMB),
		Accelerators: min(max(s.releasing.Accelerators, 0), r.Accelerators),
	}
	s.releasing = s.releasing.Sub(claimed)
	s.free = s.free.Sub(r.Sub(claimed))
	c.changedWorkers = append(c.changedWorkers, index)
}
