package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// operationKind is the kind of an operation on the worker.
type operationKind string

const (
	opStart      operationKind = "start"
	opRenew      operationKind = "renew"
	opSuspend    operationKind = "suspend"
	opResume     operationKind = "resume"
	opStop       operationKind = "stop"
	opCheckpoint operationKind = "checkpoint"
	// opAbandon ends an allocation that certainly doesn't run any more, on a worker that doesn't respond.
	opAbandon operationKind = "abandon"
	// opRemove stops a task that the lease table doesn't hold.
	opRemove operationKind = "remove"
)

// operation is an operation on the worker that is due.
type operation struct {
	kind operationKind
	id   string
}

// dueOperations returns the operations that are due: suspensions and stops first, starts last.
func (l *LeaseTable) dueOperations(now time.Time) []operation {
	l.prune(now)
	var ending, others, starts []operation
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[id]
		switch kind := l.nextOperation(h, now); kind {
		case "":
		case opStart:
			starts = append(starts, operation{kind, id})
		case opSuspend, opStop:
			ending = append(ending, operation{kind, id})
		default:
			others = append(others, operation{kind, id})
		}
	}
	return slices.Concat(ending, others, starts)
}

func (l *LeaseTable) nextOperation(h *heldAllocation, now time.Time) operationKind {
	leaseOver := !now.Before(h.leaseEnd)
	if h.alloc.Kind == structs.KindBatch && h.started {
		leaseOver = !now.Before(h.leaseEnd.Add(-suspendLead))
	}
	// The worker stops a task whose lease isn't renewed, even if the worker can't be reached. A start whose result is
	// unknown may have taken effect at its last attempt, with a full lease from then on.
	if l.workerUnresponsive(now) {
		switch lastTry := h.acceptedAt.Add(startRetryWindow + l.workerLease(h) + clockDriftMargin); {
		case h.started && now.After(h.workerLeaseEnd.Add(clockDriftMargin)):
			return opAbandon
		case !h.started && now.After(lastTry):
			return opAbandon
		}
	}
	switch {
	case h.stop != nil:
		return opStop
	case !h.confirmed:
		return ""
	case !h.started:
		if leaseOver {
			return opStop
		}
		if now.Sub(h.acceptedAt) > startRetryWindow {
			if l.workerUnresponsive(now) {
				return ""
			}
			return opStop
		}
		return opStart
	case h.state == structs.TaskSuspended:
		if !leaseOver {
			return opResume
		}
		if now.Sub(h.suspendedAt) >= l.settings.MaxSuspension {
			return opStop
		}
	case leaseOver && h.alloc.Kind == structs.KindService:
		return opStop
	case leaseOver:
		return opSuspend
	}
	if h.workerLeaseEnd.Sub(now) < l.workerLease(h)/2 {
		return opRenew
	}
	if h.alloc.Kind == structs.KindBatch && h.state == structs.TaskRunning &&
		now.Sub(h.checkpointAt) >= l.settings.CheckpointInterval {
		return opCheckpoint
	}
	return ""
}

func (l *LeaseTable) workerLease(h *heldAllocation) time.Duration {
	if h.alloc.Kind == structs.KindService {
		return l.settings.ServiceWorkerLease
	}
	return l.settings.BatchWorkerLease
}

// renewalLease returns the lease to set on the worker now. Unless the task is suspended, it doesn't exceed the lease of
// the allocation.
func (l *LeaseTable) renewalLease(h *heldAllocation, now time.Time) time.Duration {
	lease := l.workerLease(h)
	if h.state == structs.TaskSuspended {
		return lease
	}
	return max(0, min(lease, h.leaseEnd.Sub(now)))
}

// applyStatuses updates the held allocations from the status of the worker, and returns the removal of tasks that are
// not held. A task that has ended is kept on the worker until the owner has acknowledged its result, so that a restart
// of the agent doesn't lose the result.
func (l *LeaseTable) applyStatuses(statuses []worker.TaskStatus, now time.Time) []operation {
	var remove []operation
	l.lastStatusAt = now
	seen := map[string]bool{}
	for _, status := range statuses {
		seen[status.ID] = true
		h := l.held[status.ID]
		if h == nil {
			if !l.awaitsAcknowledgement(status) {
				remove = append(remove, operation{opRemove, status.ID})
			}
			continue
		}
		l.applyTaskStatus(h, status, now)
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[id]
		// A missing task that is still starting is not lost: a start whose response was lost is repeated until its
		// lease ends.
		if !seen[id] && h.started && h.state != structs.TaskStarting {
			l.endAllocation(h, structs.TaskPending, "the worker lost the task", now)
		}
	}
	return remove
}

// applyTaskStatus updates a held allocation from the status of its task.
func (l *LeaseTable) applyTaskStatus(h *heldAllocation, status worker.TaskStatus, now time.Time) {
	h.started = true
	h.progress = max(h.progress, status.Progress)
	if status.CheckpointID != "" {
		h.checkpoint = status.CheckpointID
	}
	h.usage, h.usageAge, h.latency = status.Used, status.UsageAge, status.LatencyMillis
	l.applyPhase(h, status, now)
}

// awaitsAcknowledgement reports whether a task has ended on the worker and its result has not been acknowledged. A task
// that was abandoned while the worker didn't respond may have finished before its lease expired; its result is
// corrected then.
func (l *LeaseTable) awaitsAcknowledgement(status worker.TaskStatus) bool {
	result, waits := l.results[status.ID]
	if !waits || !status.Phase.Ended() {
		return false
	}
	if status.Phase == worker.PhaseFinished {
		result.State, result.Reason = structs.TaskFinished, ""
		l.results[status.ID] = result
	}
	return true
}

// applyPhase updates the state of an allocation from the phase of its task.
func (l *LeaseTable) applyPhase(h *heldAllocation, status worker.TaskStatus, now time.Time) {
	switch status.Phase {
	case worker.PhaseFinished:
		l.endAllocation(h, structs.TaskFinished, "", now)
	case worker.PhaseFailed:
		l.endAllocation(h, structs.TaskFailed, status.Reason, now)
	case worker.PhaseStopped:
		l.endAllocation(h, structs.TaskPending, "stopped by the worker: "+status.Reason, now)
	case worker.PhaseSuspended:
		if h.state != structs.TaskSuspended && h.state != structs.TaskEvicting {
			h.state, h.suspendedAt = structs.TaskSuspended, now
		}
	default:
		if h.state == structs.TaskStarting {
			h.state = structs.TaskRunning
		}
	}
}

// allocationAnnotation is the key of the task annotation that holds the allocation as JSON.
const allocationAnnotation = "allocation"

// recoverTasks takes over the tasks that a previous process of this agent started.
func (l *LeaseTable) recoverTasks(statuses []worker.TaskStatus, decode func(text string) (structs.Allocation, bool), now time.Time) {
	for _, status := range statuses {
		alloc, ok := decode(status.Annotations[allocationAnnotation])
		if !ok || alloc.ID != status.ID || l.held[alloc.ID] != nil {
			continue
		}
		l.epoch = max(l.epoch, alloc.Epoch)
		h := &heldAllocation{
			alloc: alloc, state: structs.TaskRunning, started: true, checkpoint: alloc.CheckpointID,
			leaseEnd: now,
		}
		h.workerLeaseEnd = now.Add(l.workerLease(h))
		l.held[alloc.ID] = h
	}
	l.applyStatuses(statuses, now)
}
