package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// provesEndOfFormer reports whether a report shows that no other executor than the one that it names runs on its host: that one
// has responded at the address of the host's executor, or the address refuses connections. An announcement alone shows nothing: it
// may come from another writer, be late, or name an executor that is still to come.
func provesEndOfFormer(r *workflow.Report) bool { return r.Listed || r.ExecutorEnd != nil }

// mayStillRun reports whether the executor of a node may still run tasks although a report names another one. An executor with
// the same ID is the same one after a restart, and one whose host has shown its end before doesn't run.
func (e *Engine) mayStillRun(n *node, r *workflow.Report) bool {
	return n.known && n.endReportedAt.IsZero() && !provesEndOfFormer(r) && !hasExecutorID(n.executorIncarnation, r.Executor.ID) &&
		len(e.assignedTasks[n.executorIncarnation]) > 0
}

// endReplaced ends the former executors of a host once a report shows that they have ended. Until then their tasks stay assigned,
// at most as long as their leases.
func (e *Engine) endReplaced(n *node, r *workflow.Report, now time.Time) {
	if !n.unproven || !provesEndOfFormer(r) {
		return
	}
	n.unproven = false
	for former, tasks := range e.assignedTasks {
		if former != n.executorIncarnation && onHost(tasks, n.name) {
			e.endIncarnation(n, former, r.Executor, now)
		}
	}
	e.needsPlanning = true
}

// onHost reports whether the tasks of an incarnation are assigned to a host. A host has one executor at a time.
func onHost(tasks []*task, host string) bool { return len(tasks) > 0 && tasks[0].host == host }
