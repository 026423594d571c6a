package engine

import (
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Plan decides which waiting tasks start now. The decisions take effect in the engine immediately; the caller fetches
// the orders with TakeOrders once the records that TakeDirty returns are stored.
func (e *Engine) Plan(now, wall time.Time) {
	e.giveUpCrashing(now, wall)
	e.completeJobs(now, wall)
	e.orderStops(now)
	if !e.needsPlanning || !e.operatorStateLoaded {
		return
	}
	e.needsPlanning = false
	jobs := e.readyJobs(now, wall)
	e.indexProbes()
	e.startSuspects(jobs, now, wall)
	unplaceable := &unplaceableShapes{}
	e.startRestarts(e.readyRestarts(jobs, now, wall), now, unplaceable)
	for _, c := range jobs {
		e.startReadyTasks(c, now, wall, unplaceable)
	}
	e.startIdleJobs(jobs, now, wall)
	e.observePressure(jobs, now, wall)
	e.explainWaits(jobs, now, wall)
	e.explainIdle(now, wall)
}

const (
	// maxIdleTime is how long a ready job may have no task running while most capacity is unreserved.
	maxIdleTime = time.Second
	// failedGangDelay is the minimum time between two starts of an idle gang with members that have failed. The next start may be on
	// the same executors, which may fail runs for seconds, and each failure uses up an attempt of the whole gang.
	failedGangDelay = 2 * time.Second
	// lowReservation is the reserved fraction of the CPU of a pool below which most capacity counts as unreserved.
	lowReservation = 0.6
)

// startIdleJobs starts one task or gang of each job that has had no task running for maxIdleTime while most capacity of its pool is
// unreserved. Otherwise no best-effort task would start while serving tasks are near their latency targets on all
// executors; pacing of best-effort tasks protects the serving tasks.
func (e *Engine) startIdleJobs(jobs []candidate, now, wall time.Time) {
	free := map[string]bool{}
	for _, c := range jobs {
		j := c.job
		switch {
		case j.hasListedRun():
			j.idleSince = time.Time{}
			continue
		case j.idleSince.IsZero():
			j.idleSince = now
		}
		// A start that leads to no run does not reset idleSince, and delays other tasks only while its result can still arrive.
		if now.Sub(j.idleSince) < maxIdleTime || j.startedSince(now.Add(-maxIdleTime)) {
			continue
		}
		pool := c.queue.Pool
		if _, known := free[pool]; !known {
			free[pool] = e.reservedFraction(pool) < lowReservation
		}
		if free[pool] {
			e.startIdleJob(c, now, wall)
		}
	}
}

// startIdleJob starts the first ready task, or all members of the first ready gang, of a job for which executors have room.
func (e *Engine) startIdleJob(c candidate, now, wall time.Time) {
	for i := range c.job.groups {
		g := &c.job.groups[i]
		if !e.groupReady(c.job, g, wall) {
			continue
		}
		if c.job.Steps[g.step].Gang {
			if !g.failedSince(now.Add(-failedGangDelay)) && e.startGang(g, &placementRequest{engine: e, queue: c.queue, task: g.tasks[0], now: now, relaxed: true}) {
				return
			}
			continue
		}
		ready := slices.IndexFunc(g.tasks, func(t *task) bool { return t.canStart(now) })
		if ready < 0 {
			continue
		}
		t := g.tasks[ready]
		r := e.rankExecutors(&placementRequest{engine: e, queue: c.queue, task: t, now: now, relaxed: true})
		if n := r.best(t); n != nil {
			e.assign(t, n, t.run+1, now)
			return
		}
	}
}

// failedSince reports whether a task of the group has failed and was last started after the given time.
func (g *group) failedSince(since time.Time) bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool { return len(t.failedHosts) > 0 && t.startedAt.After(since) })
}

// startedSince reports whether a start of an assigned task has been ordered since the given time.
func (j *job) startedSince(since time.Time) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.phase == workflow.TaskAssigned && t.startedAt.After(since) })
}

// reservedFraction returns the fraction of the CPU of a pool that is reserved. Best-effort tasks reserve none.
func (e *Engine) reservedFraction(pool string) float64 {
	var used, capacity int64
	for _, n := range e.sortedNodes {
		if n.known && n.executor.Pool == pool {
			used += n.reserved.MilliCores
			capacity += n.executor.Capacity.MilliCores
		}
	}
	return float64(used) / float64(max(capacity, 1))
}

// readyJobs returns the jobs that have tasks to start, in the order in which they get free capacity.
func (e *Engine) readyJobs(now, wall time.Time) []candidate {
	var found []candidate
	for _, j := range e.activeJobs {
		if e.firstReady(j, now, wall) == nil {
			continue
		}
		found = append(found, e.rank(j, now))
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// firstReady returns the first task of a job that can start, or nil.
func (e *Engine) firstReady(j *job, now, wall time.Time) *task {
	for i := range j.groups {
		g := &j.groups[i]
		if !e.groupReady(j, g, wall) {
			continue
		}
		for _, t := range g.tasks {
			if t.canStart(now) {
				return t
			}
		}
	}
	return nil
}

// groupReady reports whether a group has unfinished tasks that are due and whose preceding steps have all finished.
func (e *Engine) groupReady(j *job, g *group, wall time.Time) bool {
	if g.done == len(g.tasks) {
		return false
	}
	if due := j.DueUnixMillis(g.occurrence); due > 0 && wall.UnixMilli() < due {
		return false
	}
	for _, after := range j.Steps[g.step].After {
		before := j.group(g.occurrence, after)
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

func (t *task) canStart(now time.Time) bool {
	return t.phase == workflow.TaskWaiting && !now.Before(t.notBefore)
}

// startReadyTasks starts those waiting tasks of a job for which an executor is found.
func (e *Engine) startReadyTasks(c candidate, now, wall time.Time, unplaceable *unplaceableShapes) {
	for i := range c.job.groups {
		g := &c.job.groups[i]
		if !e.groupReady(c.job, g, wall) {
			continue
		}
		s := shapeOf(c.queue, g.tasks[0].step)
		if unplaceable.covers(s) {
			continue
		}
		request := &placementRequest{engine: e, queue: c.queue, task: g.tasks[0], now: now}
		if c.job.Steps[g.step].Gang {
			e.startGang(g, request)
			continue
		}
		e.startTasks(g.tasks, request, s, unplaceable)
	}
}

// startTasks starts those waiting tasks of a group for which an executor is found.
func (e *Engine) startTasks(tasks []*task, request *placementRequest, s shape, unplaceable *unplaceableShapes) {
	var r *ranking
	for _, t := range tasks {
		if !t.canStart(request.now) {
			continue
		}
		if r == nil {
			r = e.rankExecutors(request)
		}
		n := r.best(t)
		if n == nil {
			// The shape is exhausted only if neither a per-executor limit nor hosts that this task avoids can be the cause.
			if t.step.PerExecutor == 0 && len(t.failedHosts) == 0 && t.avoidedHost == "" && !t.isSuspect() {
				unplaceable.add(s)
				return
			}
			continue
		}
		e.assign(t, n, t.run+1, request.now)
		r.update(n)
	}
}

// startGang starts all tasks of a gang with the same run number, or none of them. It reports whether they were started.
func (e *Engine) startGang(g *group, request *placementRequest) bool {
	run := 0
	for _, t := range g.tasks {
		if !t.canStart(request.now) {
			return false
		}
		run = max(run, t.run)
	}
	r := e.rankExecutors(request)
	chosen := make([]*node, 0, len(g.tasks))
	for _, t := range g.tasks {
		n := r.best(t)
		if n == nil {
			break
		}
		// Reserves the resources temporarily while the remaining members are placed.
		n.addTask(t)
		r.update(n)
		chosen = append(chosen, n)
	}
	for i, n := range chosen {
		n.removeTask(g.tasks[i])
	}
	if len(chosen) < len(g.tasks) {
		return false
	}
	saved := g.newestSaved()
	for i, t := range g.tasks {
		e.assign(t, chosen[i], run+1, request.now)
		t.saved = saved
	}
	return true
}

// assign assigns a new run of a task to an executor and queues its start order.
func (e *Engine) assign(t *task, n *node, run int, now time.Time) {
	t.clearRun()
	t.phase, t.run, t.executorIncarnation, t.host = workflow.TaskAssigned, run, n.executorIncarnation, n.name
	t.startPending, t.startedAt, t.progressedAt = true, now, now
	n.addTask(t)
	if t.isSuspect() {
		e.addProbe(t)
	}
	e.quarantine.RecordProbeStart(n.name, now)
	e.track(t)
	if t.job.phase == workflow.Pending {
		t.job.phase = workflow.Running
	}
	e.markDirty(t.job)
	b := e.outboxFor(n.name)
	b.starts = append(b.starts, plannedStart{t, e.startBasis(t)})
}

// orderStops orders the requested stops and repeats those that are not confirmed.
func (e *Engine) orderStops(now time.Time) {
	var due []*task
	for t := range e.stopping {
		if t.node == nil || t.startPending || t.stoppedSequence > 0 && !t.listed || now.Sub(t.stopOrderedAt) < stopRetry {
			continue
		}
		due = append(due, t)
	}
	slices.SortFunc(due, compareTasks)
	for _, t := range due {
		t.stopOrderedAt = now
		b := e.outboxFor(t.node.name)
		b.stops = append(b.stops, workflow.StopOrder{Task: t.name, Run: t.run, Reason: t.stopReason})
	}
}
