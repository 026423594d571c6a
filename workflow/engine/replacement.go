package engine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// provesEndOfFormer reports whether a report shows that no other executor than the one that it names runs on its host: that one
// has responded at the address of the host's executor. Refused connections show nothing of what runs, nor does an announcement: it
// may come from another writer, be late, or name an executor that is still to come.
func provesEndOfFormer(r *workflow.Report) bool { return r.Listed }

// mayStillRun reports whether the executor of a node may still run tasks although a report names another one. An executor with
// the same ID is the same one after a restart.
func (e *Engine) mayStillRun(n *node, r *workflow.Report) bool {
	return n.known && !provesEndOfFormer(r) && !hasExecutorID(n.executorIncarnation, r.Executor.ID) &&
		len(e.tasksWithRun[n.executorIncarnation]) > 0
}

// hasTasksElsewhere reports whether an executor that the node of a host reports has tasks on another host. An executor has one host,
// under whichever incarnation, so that the announcement comes from another writer, and says nothing of those tasks.
func (e *Engine) hasTasksElsewhere(n *node, x *workflow.Executor) bool {
	if incarnation := x.IncarnationID(); n.known && n.executorIncarnation == incarnation {
		return isElsewhere(e.tasksWithRun[incarnation], n.name)
	}
	for incarnation, tasks := range e.tasksWithRun {
		if hasExecutorID(incarnation, x.ID) && isElsewhere(tasks, n.name) {
			return true
		}
	}
	return false
}

// isElsewhere reports whether the tasks of an incarnation are on another host than the given one. Records of former versions don't
// name the host.
func isElsewhere(tasks []*task, host string) bool {
	return len(tasks) > 0 && tasks[0].host != "" && tasks[0].host != host
}

// isForeign reports whether a report shows that another executor runs on the host than the one that was announced last: that one has
// never listed its runs, and an earlier one with another ID lists them. An executor with the same ID that lists its runs has started
// after the time of day was set back.
func (n *node) isForeign(r *workflow.Report) bool {
	return r.Listed && (n.lists.incarnation != n.executorIncarnation || hasExecutorID(n.executorIncarnation, r.Executor.ID))
}

// takeFormerForEnded takes the former executors of a host for ended once a report shows that they have ended. Until then their runs
// keep their places, at most as long as their leases.
func (e *Engine) takeFormerForEnded(n *node, r *workflow.Report, now time.Time) {
	if !n.unproven || !provesEndOfFormer(r) {
		return
	}
	n.unproven = false
	for former, tasks := range e.tasksWithRun {
		if former != n.executorIncarnation && onHost(tasks, n.name) && !startedAfter(former, r.Executor) {
			e.takeForEnded(n, former, r.Executor, now)
		}
	}
	e.needsPlanning = true
}

// startedAfter reports whether an incarnation started after an executor that a report names. The report may be late, and doesn't show
// the end of a later executor.
func startedAfter(incarnation string, executor *workflow.Executor) bool {
	started := incarnation[strings.LastIndexByte(incarnation, '@')+1:]
	startedUnixMillis, err := strconv.ParseInt(started, 10, 64)
	return err == nil && startedUnixMillis > executor.StartedUnixMillis
}

// onHost reports whether the runs of an incarnation are on a host. A host has one executor at a time.
func onHost(tasks []*task, host string) bool { return len(tasks) > 0 && tasks[0].host == host }

// replaceExecutor replaces the executor of a node by another incarnation. If the new one has the same ID, it may have received
// starts meant for the former one, so the runs are moved to it until its lists show whether they exist. It gets no starts before.
func (e *Engine) replaceExecutor(n *node, r *workflow.Report, now time.Time) {
	executor := r.Executor
	if n.known {
		e.takeForEnded(n, n.executorIncarnation, executor, now)
	}
	n.replacedAt, n.replacedSameID = now, n.known && hasExecutorID(n.executorIncarnation, executor.ID)
	n.forgetStaleLease(executor.ID)
	n.executor, n.known, n.ackedEnd, n.orphanedRuns, n.rejections = *executor, true, 0, nil, 0
	n.endReportedAt, n.listedAt, n.leaseReport = time.Time{}, time.Time{}, 0
	n.executorIncarnation = executor.IncarnationID()
	e.quarantine.ForgetWorker(n.name)
	e.indexDomains()
	delete(e.unreportedHosts, n.name)
	n.unproven = true
	for former := range e.tasksWithRun {
		if hasExecutorID(former, executor.ID) {
			e.takeForEnded(n, former, executor, now)
		}
	}
	for _, t := range e.tasksWithRun[n.executorIncarnation] {
		if t.node == nil {
			t.host = n.name
			n.addTask(t)
		}
	}
	e.needsPlanning = true
}

// indexDomains numbers the executors within each failure domain.
func (e *Engine) indexDomains() {
	counts := map[string]int{}
	for _, n := range e.sortedNodes {
		if !n.known {
			continue
		}
		n.domainIndex = counts[n.executor.FailureDomain]
		counts[n.executor.FailureDomain]++
	}
}

// hasExecutorID reports whether an incarnation is one of the executor with the given ID.
func hasExecutorID(incarnation, id string) bool {
	return len(incarnation) > len(id) && incarnation[:len(id)] == id && incarnation[len(id)] == '@'
}

// takeForEnded takes a former incarnation of an executor for ended. Its runs are released, or moved to the next incarnation if that
// has the same ID. Of those that it moves, it stops the ones that the next incarnation may not run or that it has no room for, before the
// lists show whether the starts have reached it: an executor doesn't start a run that it was told to stop.
func (e *Engine) takeForEnded(n *node, former string, executor *workflow.Executor, now time.Time) {
	if former == executor.IncarnationID() {
		return
	}
	e.recordReplacement(n, former, executor, now)
	room := executor.Capacity
	for _, t := range e.tasksOn(former) {
		if !hasExecutorID(former, executor.ID) {
			e.releaseRun(t, ExecutorReplaced, now)
			continue
		}
		e.reassign(t, n, executor.IncarnationID())
		if need := t.step.Reserved(); e.suits(t, executor) && need.Fits(room) {
			room = room.Sub(need)
			continue
		}
		e.requestStop(t, "the next incarnation of its executor may not run it")
	}
}

// reassign moves the run of a task to another incarnation of its executor.
func (e *Engine) reassign(t *task, n *node, incarnation string) {
	e.untrack(t)
	t.executorIncarnation, t.host = incarnation, n.name
	t.listed, t.started, t.startedSequence = false, false, 0
	t.reassigned, t.reassignedBefore = true, false
	t.stoppedSequence, t.stopOrderedAt = 0, time.Time{}
	n.addTask(t)
	e.track(t)
	e.markDirty(t.job)
}

// suits reports whether an executor is of a kind that may run a task, whatever its size.
func (e *Engine) suits(t *task, executor *workflow.Executor) bool {
	return executor.Pool == e.queueOf(t.job).Pool && (t.step.Label == "" || executor.HasLabel(t.step.Label))
}

// tasksOn returns a copy of the tasks with a run on an incarnation, for callers that release some of these runs.
func (e *Engine) tasksOn(incarnation string) []*task {
	return slices.Clone(e.tasksWithRun[incarnation])
}
