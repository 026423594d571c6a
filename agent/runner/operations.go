package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// verb is a kind of call to the worker.
type verb string

const (
	verbStart      verb = "start"
	verbRenew      verb = "renew"
	verbSuspend    verb = "suspend"
	verbResume     verb = "resume"
	verbStop       verb = "stop"
	verbCheckpoint verb = "checkpoint"
	// verbAbandon ends an allocation that certainly doesn't run, on a worker that doesn't respond.
	verbAbandon verb = "abandon"
	// verbRemove stops a task that the ledger doesn't hold.
	verbRemove verb = "remove"
)

// operation is a call to the worker that is due.
type operation struct {
	verb verb
	id   string
}

// due returns the calls that are due: those that end a run first, starts last.
func (l *Ledger) due(now time.Time) []operation {
	l.prune(now)
	var first, then, last []operation
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[id]
		switch v := l.verbOf(h, now); v {
		case "":
		case verbStart:
			last = append(last, operation{v, id})
		case verbSuspend, verbStop:
			first = append(first, operation{v, id})
		default:
			then = append(then, operation{v, id})
		}
	}
	return slices.Concat(first, then, last)
}

func (l *Ledger) verbOf(h *held, now time.Time) verb {
	over := !now.Before(h.leaseEnd)
	if h.alloc.Kind == structs.KindBatch && h.started {
		over = !now.Before(h.leaseEnd.Add(-suspendEarly))
	}
	// The worker stops a task whose lease it has not renewed, whether it can be reached or not. A start whose result is
	// unknown may have taken effect until its last try, with a lease of its own.
	if l.unusable(now) {
		switch lastTry := h.admitted.Add(startTries + l.workerLease(h) + drift); {
		case h.started && now.After(h.workerLeaseEnd.Add(drift)):
			return verbAbandon
		case !h.started && now.After(lastTry):
			return verbAbandon
		}
	}
	switch {
	case h.stop != nil:
		return verbStop
	case !h.confirmed:
		return ""
	case !h.started:
		if over {
			return verbStop
		}
		if now.Sub(h.admitted) > startTries {
			if l.unusable(now) {
				return ""
			}
			return verbStop
		}
		return verbStart
	case h.state == structs.TaskSuspended:
		if !over {
			return verbResume
		}
		if now.Sub(h.suspendedAt) >= l.settings.SuspendLimit {
			return verbStop
		}
	case over && h.alloc.Kind == structs.KindService:
		return verbStop
	case over:
		return verbSuspend
	}
	if h.workerLeaseEnd.Sub(now) < l.workerLease(h)/2 {
		return verbRenew
	}
	if h.alloc.Kind == structs.KindBatch && h.state == structs.TaskRunning &&
		now.Sub(h.checkpointAt) >= l.settings.CheckpointEvery {
		return verbCheckpoint
	}
	return ""
}

func (l *Ledger) workerLease(h *held) time.Duration {
	if h.alloc.Kind == structs.KindService {
		return l.settings.ServiceWorkerLease
	}
	return l.settings.WorkerLease
}

// renewal returns the lease to set on the worker now: never beyond the allocation's own while it may run.
func (l *Ledger) renewal(h *held, now time.Time) time.Duration {
	lease := l.workerLease(h)
	if h.state == structs.TaskSuspended {
		return lease
	}
	return max(0, min(lease, h.leaseEnd.Sub(now)))
}

// observe takes the status of the worker and returns the tasks that the ledger doesn't hold. The worker keeps the record
// of a task that has ended until the owner has acknowledged the result, so that a restart of the agent doesn't lose it.
func (l *Ledger) observe(statuses []worker.TaskStatus, now time.Time) []operation {
	var remove []operation
	l.responded = now
	seen := map[string]bool{}
	for _, status := range statuses {
		seen[status.ID] = true
		h := l.held[status.ID]
		if h == nil {
			if !l.awaitsAck(status) {
				remove = append(remove, operation{verbRemove, status.ID})
			}
			continue
		}
		l.observeTask(h, status, now)
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[id]
		// A start whose response was lost is repeated until its lease ends.
		if !seen[id] && h.started && h.state != structs.TaskStarting {
			l.end(h, structs.TaskPending, "the worker lost the task", now)
		}
	}
	return remove
}

// observeTask takes the status of a held task.
func (l *Ledger) observeTask(h *held, status worker.TaskStatus, now time.Time) {
	h.started = true
	h.progress = max(h.progress, status.Progress)
	if status.CheckpointID != "" {
		h.checkpoint = status.CheckpointID
	}
	h.usage, h.usageAge, h.latency = status.Used, status.UsageAge, status.LatencyMillis
	l.observePhase(h, status, now)
}

// awaitsAck tells whether a task has ended on the worker and its result has not been acknowledged. A task that was given up
// while the worker didn't respond may have finished before its lease ran out.
func (l *Ledger) awaitsAck(status worker.TaskStatus) bool {
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

// observePhase takes the phase of a task.
func (l *Ledger) observePhase(h *held, status worker.TaskStatus, now time.Time) {
	switch status.Phase {
	case worker.PhaseFinished:
		l.end(h, structs.TaskFinished, "", now)
	case worker.PhaseFailed:
		l.end(h, structs.TaskFailed, status.Reason, now)
	case worker.PhaseStopped:
		l.end(h, structs.TaskPending, "stopped by the worker: "+status.Reason, now)
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

// annotation is the key under which the worker keeps the allocation of a task.
const annotation = "allocation"

// recover takes over the tasks that a previous process of this agent has started.
func (l *Ledger) recover(statuses []worker.TaskStatus, decode func(text string) (structs.Allocation, bool), now time.Time) {
	for _, status := range statuses {
		alloc, ok := decode(status.Annotations[annotation])
		if !ok || alloc.ID != status.ID || l.held[alloc.ID] != nil {
			continue
		}
		l.epoch = max(l.epoch, alloc.Epoch)
		h := &held{
			alloc: alloc, state: structs.TaskRunning, started: true, checkpoint: alloc.CheckpointID,
			leaseEnd: now,
		}
		h.workerLeaseEnd = now.Add(l.workerLease(h))
		l.held[alloc.ID] = h
	}
	l.observe(statuses, now)
}
