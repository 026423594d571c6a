package scheduler

import (
	"cmp"
	"hash/fnv"
	"strings"
)

// placeStarving places the starving batch task that has waited longest, or keeps one worker free of new batch tasks
// until it fits there. Handling one task at a time limits the idle capacity. It does nothing while a service is
// waiting, since holding capacity would keep the service from it too.
func (c *Cycle) placeStarving(levels []priorityLevel) {
	for i := range levels {
		if levels[i].mayPreempt {
			return
		}
	}
	task := c.longestStarving(levels)
	if task == nil || len(c.plan.Place) >= c.Rules.MaxPlacements || !task.state.account.Allows(task.Resources) {
		return
	}
	if c.countJobTasks(task.state); task.state.runningIndices[task.Index] {
		return
	}
	if index := c.bestWorker(task); index >= 0 && c.place(task, index) {
		return
	}
	if index := c.chooseWorkerToKeepFree(task); index >= 0 {
		c.holdCapacity(task.Resources, index)
	}
}

// longestStarving returns the starving batch task that has waited longest. Ties are broken by job and index.
func (c *Cycle) longestStarving(levels []priorityLevel) *PendingTask {
	var found *PendingTask
	for i := range levels {
		for k := range levels[i].queues {
			for _, task := range levels[i].queues[k].tasks {
				if c.isStarving(task) && (found == nil || waitedLonger(task, found)) {
					found = task
				}
			}
		}
	}
	return found
}

func (c *Cycle) isStarving(task *PendingTask) bool {
	return c.Rules.StarveAfter > 0 && !task.Since.IsZero() && c.Now.Sub(task.Since) > c.Rules.StarveAfter
}

func waitedLonger(a, b *PendingTask) bool {
	return cmp.Or(a.Since.Compare(b.Since), strings.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index)) < 0
}

// chooseWorkerToKeepFree chooses a worker by a hash, so that later plans choose the same one and its tasks run out.
// The choice of the emptiest worker would change whenever a task ends.
func (c *Cycle) chooseWorkerToKeepFree(task *PendingTask) int {
	found, top := -1, uint64(0)
	for i := range c.workers {
		w := &c.workers[i]
		if !w.cycle.schedulable || c.unfitReason(task.Job, task.Resources, w) != "" || c.rateWithoutBatch(task, w) == rejectedRating {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(task.Job.ID + "\x00" + w.Name))
		if weight := h.Sum64(); found < 0 || weight > top {
			found, top = i, weight
		}
	}
	return found
}

// rateWithoutBatch rates a worker as if the batch tasks that the task may evict had ended.
func (c *Cycle) rateWithoutBatch(task *PendingTask, w *WorkerView) float64 {
	return c.rateWithout(task, w, c.preemptibleTasks(task, w))
}
