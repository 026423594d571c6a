package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Shorter tasks take each part of the room that a long-running task needs as soon as it comes free. So an executor that
// would have room for a restart without its shorter tasks is held for it: nothing but restarts starts there that would take this
// room. A restart that fits is never kept waiting by a hold for another one. A hold lasts for a bounded time, after which the
// executor takes any task again for as long, so that it loses little if its shorter tasks last longer than expected.

const (
	// maxHold is how long an executor is held at most, and minHoldInterval how long it is not held again after a hold that no
	// start has ended.
	maxHold         = 3 * time.Second
	minHoldInterval = 3 * time.Second
	// maxHeldShare is the fraction of the executors that are held at the same time; at least one may be.
	maxHeldShare = 0.125
)

// hold keeps room on an executor for a task of a group.
type hold struct {
	group *group
	need  structs.Resources
	until time.Time
}

// leavesHeldRoom reports whether the room that a node is held for remains if a task of a step starts there.
func (n *node) leavesHeldRoom(step *workflow.Step) bool {
	need := n.hold.need
	if step.BestEffort {
		need.MilliCores = 0
	}
	return n.reserved.Add(step.Reserved()).Add(need).Fits(n.executor.Capacity)
}

// updateHolds ends holds and holds executors for restarts that have found none.
func (e *Engine) updateHolds(restarts []restart, now time.Time) {
	waiting := map[*group]int{}
	for _, r := range restarts {
		if r.task.phase == workflow.TaskWaiting {
			waiting[r.task.group]++
		}
	}
	held, known := 0, 0
	for _, n := range e.sortedNodes {
		if !n.known {
			n.hold = nil
			continue
		}
		known++
		switch {
		case n.hold == nil:
		case !now.Before(n.hold.until) || waiting[n.hold.group] == 0 || n.executor.Draining || !e.willHaveRoom(n, n.hold.need, now):
			n.hold, n.noHoldUntil = nil, now.Add(minHoldInterval)
		default:
			waiting[n.hold.group]--
			held++
		}
	}
	limit := max(int(maxHeldShare*float64(known)), 1)
	unheld := map[*group]bool{}
	for _, r := range restarts {
		g := r.task.group
		if held >= limit {
			return
		}
		if r.task.phase != workflow.TaskWaiting || waiting[g] == 0 || unheld[g] {
			continue
		}
		n := e.nodeToHold(&placementRequest{engine: e, queue: r.queue, task: r.task, now: now})
		if n == nil {
			unheld[g] = true
			continue
		}
		n.hold = &hold{group: g, need: r.task.step.Reserved(), until: now.Add(maxHold)}
		waiting[g]--
		held++
	}
}

// nodeToHold returns the node whose executor lacks the least room for a task, of those that have it once tasks that are
// expected to end soon have ended; nil if there is none.
func (e *Engine) nodeToHold(p *placementRequest) *node {
	var best *node
	var least float64
	need := p.task.step.Reserved()
	for _, n := range e.sortedNodes {
		if !n.known || n.hold != nil || p.now.Before(n.noHoldUntil) || !p.admitsOnceFree(n) || !p.admitsTask(p.task, n) {
			continue
		}
		if !e.willHaveRoom(n, need, p.now) {
			continue
		}
		if missing := n.missingShare(need); best == nil || missing < least {
			best, least = n, missing
		}
	}
	return best
}

// willHaveRoom reports whether an executor has room for a need once the tasks have ended that are expected to end before a hold
// does.
func (e *Engine) willHaveRoom(n *node, need structs.Resources, now time.Time) bool {
	remaining := n.reserved
	for _, t := range e.assignedTasks[n.executorIncarnation] {
		if t.step.LongRunning {
			continue
		}
		if t.group.predictedDuration(e.durationsOf(t.job.Queue.Name))-now.Sub(t.startedAt) < maxHold {
			remaining = remaining.Sub(t.step.Reserved())
		}
	}
	return remaining.Add(need).Fits(n.executor.Capacity)
}

// admitsOnceFree reports whether an executor may run the group's tasks, apart from what a hold waits for.
func (p *placementRequest) admitsOnceFree(n *node) bool {
	for i := range filters {
		if !filters[i].Awaited && !filters[i].Admits(p, n) {
			return false
		}
	}
	return true
}

// missingShare returns how much of an executor's CPU and memory a task needs beyond what is free.
func (n *node) missingShare(need structs.Resources) float64 {
	missing := n.reserved.Add(need).Sub(n.executor.Capacity)
	share := func(missing, capacity int64) float64 { return max(float64(missing), 0) / float64(max(capacity, 1)) }
	return share(missing.MilliCores, n.executor.Capacity.MilliCores) + share(missing.MemoryMB, n.executor.Capacity.MemoryMB)
}
