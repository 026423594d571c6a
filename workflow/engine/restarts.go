package engine

import (
	"cmp"
	"slices"
	"time"
)

// A long-running task that was started before has to run again soon, while one that was not may wait for room. So tasks of the
// former kind get room before all others, and of these the ones that have waited longest: otherwise a task that fits many
// executors would wait for as long as jobs arrive that fit fewer.

// restart is a ready long-running task that was started before.
type restart struct {
	candidate
	task *task
}

// readyRestarts returns the long-running tasks that are to run again, in the order in which they get what is free.
func (e *Engine) readyRestarts(jobs []candidate, now, wall time.Time) []restart {
	var found []restart
	for _, c := range jobs {
		if !c.job.isLongRunning() {
			continue
		}
		for i := range c.job.groups {
			g := &c.job.groups[i]
			if step := &c.job.Steps[g.step]; !step.LongRunning || step.Gang || !e.groupReady(c.job, g, wall) {
				continue
			}
			for _, t := range g.tasks {
				if t.run == 0 || t.isSuspect() || !t.canStart(now) {
					continue
				}
				if t.waitingSince.IsZero() {
					t.waitingSince = now
				}
				found = append(found, restart{c, t})
			}
		}
	}
	// Tasks that have waited for equally long, to the second, keep the order of their jobs.
	slices.SortStableFunc(found, func(a, b restart) int {
		return cmp.Compare(now.Sub(b.task.waitingSince)/time.Second, now.Sub(a.task.waitingSince)/time.Second)
	})
	return found
}

// isOverdue reports whether a restart has waited for so long that it doesn't wait for spare CPU any longer. Best-effort tasks reserve
// none, and pacing protects the serving tasks beside them.
func (r *restart) isOverdue(now time.Time) bool {
	return r.task.step.BestEffort && now.Sub(r.task.waitingSince) >= maxIdleTime
}

// startRestarts starts those restarts for which an executor is found.
func (e *Engine) startRestarts(restarts []restart, now time.Time, unplaceable *unplaceableShapes) {
	for len(restarts) > 0 {
		first, isOverdue := restarts[0], restarts[0].isOverdue(now)
		var tasks []*task
		for len(restarts) > 0 && restarts[0].task.group == first.task.group && restarts[0].isOverdue(now) == isOverdue {
			tasks = append(tasks, restarts[0].task)
			restarts = restarts[1:]
		}
		s := shapeOf(first.queue, first.task.step)
		if isOverdue || !unplaceable.covers(s) {
			e.startTasks(tasks, &placementRequest{engine: e, queue: first.queue, task: first.task, now: now, relaxed: isOverdue}, s, unplaceable)
		}
	}
}
