package engine

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// mayBeSent reports whether the start of the run that a task has may still be sent to its executor, to any effect: the run isn't known
// to have begun, and the result of its start is outstanding, or a former owner has ordered it on a node that has not reported to this
// owner, so that it may still follow the former one.
func (t *task) mayBeSent() bool {
	return t.hasRun() && !t.started && (t.startPending || t.restored && t.node == nil)
}

// holdsEnd reports whether the end of a run that has finished its task is not to be acknowledged yet: another start of the task may
// still be sent. The start may wait on its node behind others that get no answer.
func (e *Engine) holdsEnd(end *workflow.RunEnd) bool {
	t := e.taskByName(end.Task)
	if t == nil || end.How != workflow.EndDone || t.phase != workflow.TaskDone {
		return false
	}
	if t.step.Gang {
		return slices.ContainsFunc(t.group.tasks, (*task).mayBeSent)
	}
	return t.mayBeSent()
}
