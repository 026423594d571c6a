package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// rejectionBackoff delays starts of a task after a rejected start, until a report has updated the executor's state.
	rejectionBackoff = 150 * time.Millisecond
	// unreachableBackoff is how long no task is started on an executor that could not be reached while its node still
	// reports it.
	unreachableBackoff = 600 * time.Millisecond
	// maxStartPause limits how long no task is started on an executor that rejects one start after the other, which may be the only
	// one for a task. It is reached after maxPauseDoublings pauses at the latest.
	maxStartPause     = 600 * time.Millisecond
	maxPauseDoublings = 2
)

// HandleOrderResult processes the result of an order to a node. Undelivered orders have no sequence.
func (e *Engine) HandleOrderResult(node string, incarnation int64, r *workflow.OrderResult, now time.Time) {
	t := e.taskByName(r.Task)
	if t == nil || !t.hasRun() || t.run != r.Run || t.node == nil || t.node.name != node {
		return
	}
	// The run may have been moved to the next incarnation, of which the result shows nothing.
	ofFormer := r.Executor != "" && r.Executor != t.executorIncarnation
	if r.Stop {
		if r.Outcome == workflow.OutcomeDone && !ofFormer {
			t.stoppedSequence, t.stoppedIncarnation = r.Sequence, incarnation
		}
		return
	}
	if !t.startPending {
		return
	}
	t.startPending = false
	switch r.Outcome {
	case workflow.OutcomeDone:
		t.node.rejections = 0
		if !ofFormer {
			t.confirmStart()
		}
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
	case workflow.OutcomeRejected:
		t.notBefore = now.Add(rejectionBackoff)
		t.node.pauseStarts(pauseAfterRejection(r.Reason), now)
		e.releaseRun(t, StartRejected, now)
		e.stopRestOfGang(t)
	default:
		// The run may have begun or may still begin. It continues if the executor's next lists contain it, and is stopped
		// otherwise.
		t.startedSequence, t.startedIncarnation = r.Sequence, incarnation
		t.node.pauseStarts(rejectionBackoff, now)
	}
}

// stopRestOfGang requests stops of the other members of a gang of which one start was rejected: all of them start together.
func (e *Engine) stopRestOfGang(t *task) {
	if !t.step.Gang {
		return
	}
	for _, member := range t.group.tasks {
		if member.phase == workflow.TaskAssigned {
			e.requestStop(member, "a member of its gang was not started")
		}
	}
}

// pauseAfterRejection returns how long an executor gets no starts after it has rejected one; 0 if the reason concerns the task.
func pauseAfterRejection(reason string) time.Duration {
	switch reason {
	case workflow.ReasonRoom, workflow.ReasonUnhealthy:
		return rejectionBackoff
	case workflow.ReasonUnreachable:
		return unreachableBackoff
	}
	return 0
}

// pauseStarts starts no tasks on an executor for a time after it has rejected a start or left it unanswered. The pause doubles
// each time in a row: otherwise it would end together with the backoff of the task, and the task would return to this
// executor for as long as it looks best.
func (n *node) pauseStarts(pause time.Duration, now time.Time) {
	if pause == 0 || now.Before(n.noStartsUntil) {
		// A start that was ordered before the executor paused doesn't prolong the pause.
		return
	}
	n.noStartsUntil = now.Add(min(pause<<n.rejections, maxStartPause))
	n.rejections = min(n.rejections+1, maxPauseDoublings)
}
