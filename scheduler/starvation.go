package scheduler

import (
	"cmp"
	"hash/fnv"
	"strings"
)

// placeStarving places the batch task that has waited longest beyond the limit, or keeps one worker free of new batch
// until the task fits there. One task at a time bounds the room that stays idle meanwhile. It does nothing while a
// service waits, which would be kept from that room as well.
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

// longestStarving returns the starving batch task that has waited longest; among equals the first by job and index.
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

// chooseWorkerToKeepFree chooses the worker to keep free. The choice is by a hash, so that following plans make the same one and the
// worker's tasks run out; the emptiest worker would be another one with each task that ends.
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

// rateWithoutBatch rates a worker as if its batch were gone.
func (c *Cycle) rateWithoutBatch(task *PendingTask, w *WorkerView) float64 {
	return c.rateWithout(task, w, c.preemptibleTasks(task, w))
}
