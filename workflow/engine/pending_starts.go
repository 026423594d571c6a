package engine

import (
	"slices"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// mayBeSent reports whether the start of a task's run may still be sent to the executor and take effect. That is so if the run isn't
// known to have begun, and either the result of its start is outstanding, or a former owner ordered it on a node that hasn't reported to
// this owner and so may still follow the former one.
func (t *task) mayBeSent() bool {
	return t.hasRun() && !t.started && (t.startPending || t.restored && t.node == nil)
}

// holdsEnd reports whether the end of a run that has finished its task must not be acknowledged yet because another start of the task
// may still be sent, for example one that is queued on its node behind others that get no answer.
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
