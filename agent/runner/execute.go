package runner

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// execute carries out operations on the worker, each after a check that it is still due.
func (r *Runner) execute(ctx context.Context, operations []operation) {
	for _, op := range operations {
		if op.kind == opRemove {
			_ = r.worker.Stop(ctx, op.id)
			continue
		}
		r.mu.Lock()
		h := r.leases.held[op.id]
		// Earlier calls may have taken long, so the decision is repeated.
		stillDue := h != nil && r.leases.nextOperation(h, r.clock.Now()) == op.kind
		r.mu.Unlock()
		if !stillDue {
			continue
		}
		switch op.kind {
		case opStart:
			r.start(ctx, h)
		case opRenew:
			r.renew(ctx, h)
		case opCheckpoint:
			r.checkpoint(ctx, h)
		case opSuspend:
			r.suspend(ctx, h)
		case opResume:
			r.resume(ctx, h)
		case opStop:
			r.stop(ctx, h)
		case opAbandon:
			r.finish(h, structs.TaskPending, "the worker doesn't respond and the lease on it has run out")
		}
	}
}

// start starts a task. Whether starts are allowed is checked directly before the call and again after it, because the
// call can take long. After the call the lease is checked too. If either check then fails, the task is stopped.
func (r *Runner) start(ctx context.Context, h *heldAllocation) {
	spec, err := r.taskSpec(h)
	if err != nil {
		r.finish(h, structs.TaskPending, "refused: "+err.Error())
		return
	}
	if allowed, reason := r.configuration.MayStart(r.leases.worker.FailureDomain); !allowed {
		r.finish(h, structs.TaskPending, "refused: "+reason)
		return
	}
	err = r.worker.Start(ctx, spec)
	switch {
	case errors.Is(err, worker.ErrRejected):
		r.finish(h, structs.TaskPending, "refused by the worker: "+err.Error())
		return
	case err != nil && !errors.Is(err, worker.ErrExists):
		// The task may be running; the start is repeated until startRetryWindow or the lease ends.
		return
	}
	allowed, reason := r.configuration.MayStart(r.leases.worker.FailureDomain)
	r.mu.Lock()
	now := r.clock.Now()
	h.started, h.state, h.checkpointAt = true, structs.TaskRunning, now
	h.workerLeaseEnd = now.Add(spec.Lease)
	undo := !allowed || !now.Before(h.leaseEnd)
	if undo && h.stop == nil {
		h.stop = &structs.TaskStop{
			AllocationID: h.alloc.ID, Checkpoint: h.alloc.Kind == structs.KindBatch, Reason: "the start took too long",
		}
	}
	r.mu.Unlock()
	if undo {
		r.log.Warn("stopping a task whose start took too long", "allocation", h.alloc.ID, "reason", reason)
		r.stop(ctx, h)
	}
}

func (r *Runner) taskSpec(h *heldAllocation) (worker.TaskSpec, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(h.alloc)
	if err != nil {
		return worker.TaskSpec{}, err
	}
	return worker.TaskSpec{
		ID: h.alloc.ID, Resources: h.alloc.Resources, Command: h.alloc.Command, CheckpointID: h.alloc.CheckpointID,
		Lease: r.leases.renewalLease(h, r.clock.Now()), Annotations: map[string]string{allocationAnnotation: string(text)},
	}, nil
}

// renew extends the lease on the worker. A failure needs no handling, since the worker stops the task when its lease
// ends.
func (r *Runner) renew(ctx context.Context, h *heldAllocation) bool {
	r.mu.Lock()
	now := r.clock.Now()
	lease := r.leases.renewalLease(h, now)
	r.mu.Unlock()
	if lease <= 0 {
		return false
	}
	if err := r.worker.Renew(ctx, h.alloc.ID, lease); err != nil {
		return false
	}
	r.mu.Lock()
	h.workerLeaseEnd = now.Add(lease)
	r.mu.Unlock()
	return true
}

// suspend suspends a batch task and then saves a checkpoint. If the worker doesn't respond, it stops the task itself
// when its lease ends.
func (r *Runner) suspend(ctx context.Context, h *heldAllocation) {
	if err := r.worker.Throttle(ctx, h.alloc.ID, 0); err != nil {
		return
	}
	r.mu.Lock()
	h.state, h.suspendedAt = structs.TaskSuspended, r.clock.Now()
	r.mu.Unlock()
	r.renew(ctx, h)
	r.checkpoint(ctx, h)
}

func (r *Runner) checkpoint(ctx context.Context, h *heldAllocation) {
	id, err := r.worker.Checkpoint(ctx, h.alloc.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.checkpointAt = r.clock.Now()
	if err != nil {
		r.log.Warn("checkpoint failed", "allocation", h.alloc.ID, "error", err)
		return
	}
	h.checkpoint = id
}

// resume resumes a suspended task. The lease on the worker is set first, so that the task can't run beyond it if this
// process is paused between the two calls.
func (r *Runner) resume(ctx context.Context, h *heldAllocation) {
	r.mu.Lock()
	now := r.clock.Now()
	lease := min(r.leases.workerLease(h), h.leaseEnd.Sub(now))
	r.mu.Unlock()
	if lease <= 0 || r.worker.Renew(ctx, h.alloc.ID, lease) != nil {
		return
	}
	r.mu.Lock()
	h.workerLeaseEnd = now.Add(lease)
	leaseOver := !r.clock.Now().Before(h.leaseEnd)
	if h.share == 0 {
		h.share = 1
	}
	r.mu.Unlock()
	if leaseOver || r.worker.Throttle(ctx, h.alloc.ID, h.share) != nil {
		return
	}
	r.mu.Lock()
	h.state = structs.TaskRunning
	r.mu.Unlock()
}

// stop stops a task, after a checkpoint if one is requested. The allocation stays held until the worker has confirmed
// the stop. A batch task is suspended first, since a stop deletes the worker's record of the task, including the result
// of a task that finishes at that moment.
func (r *Runner) stop(ctx context.Context, h *heldAllocation) {
	r.mu.Lock()
	stop := h.stop
	if stop == nil {
		stop = &structs.TaskStop{Checkpoint: h.alloc.Kind == structs.KindBatch, Reason: "the lease ran out"}
	}
	r.mu.Unlock()
	if h.alloc.Kind == structs.KindBatch {
		switch err := r.worker.Throttle(ctx, h.alloc.ID, 0); {
		case errors.Is(err, worker.ErrNotFound):
			if ended, err := r.recordEnd(ctx, h); ended || err != nil {
				return
			}
		case err != nil:
			return
		case stop.Checkpoint:
			r.checkpoint(ctx, h)
		}
	}
	if err := r.worker.Stop(ctx, h.alloc.ID); err != nil && !errors.Is(err, worker.ErrNotFound) {
		return
	}
	r.finish(h, structs.TaskPending, stop.Reason)
}

// recordEnd records the result of a task if it has ended on the worker, and reports whether it has.
func (r *Runner) recordEnd(ctx context.Context, h *heldAllocation) (bool, error) {
	statuses, err := r.worker.Status(ctx)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, status := range statuses {
		if status.ID == h.alloc.ID && status.Phase.Ended() && r.leases.held[status.ID] == h {
			r.leases.applyTaskStatus(h, status, r.clock.Now())
			return true, nil
		}
	}
	return false, nil
}

func (r *Runner) finish(h *heldAllocation, state structs.TaskState, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases.held[h.alloc.ID] == h {
		r.leases.endAllocation(h, state, reason, r.clock.Now())
	}
}
