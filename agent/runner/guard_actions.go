package runner

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Guard protects services on the worker from batch tasks. It may be nil.
type Guard interface {
	// Decide returns the actions to take, given all tasks on the worker.
	Decide(now time.Time, w structs.Worker, tasks []GuardTask) []GuardAction
}

// GuardTask is the guard's input for one task.
type GuardTask struct {
	Allocation    structs.Allocation
	State         structs.TaskState
	Used          structs.Resources
	UsageAge      time.Duration
	LatencyMillis float64
	Progress      float64
	// SinceCheckpoint is the run time that an eviction without a checkpoint would lose.
	SinceCheckpoint time.Duration
	Share           float64
}

// GuardAction throttles a task, or evicts it with a checkpoint.
type GuardAction struct {
	AllocationID string
	Share        float64
	Evict        bool
	Reason       string
}

// applyGuard carries out the decisions of the guard.
func (r *Runner) applyGuard(ctx context.Context) {
	if r.guard == nil {
		return
	}
	r.mu.Lock()
	tasks := make([]GuardTask, 0, len(r.leases.held))
	for _, h := range r.leases.held {
		tasks = append(tasks, GuardTask{
			Allocation: h.alloc, State: h.state, Used: h.usage, UsageAge: h.usageAge, LatencyMillis: h.latency,
			Progress: h.progress, Share: h.share, SinceCheckpoint: r.clock.Now().Sub(h.checkpointAt),
		})
	}
	actions := r.guard.Decide(r.clock.Now(), r.leases.worker, tasks)
	r.mu.Unlock()
	for _, action := range actions {
		r.applyGuardAction(ctx, action)
	}
}

func (r *Runner) applyGuardAction(ctx context.Context, action GuardAction) {
	r.mu.Lock()
	h := r.leases.held[action.AllocationID]
	if h == nil || h.alloc.Kind == structs.KindService || h.state != structs.TaskRunning {
		r.mu.Unlock()
		return
	}
	if action.Evict {
		r.leases.requestStop(structs.TaskStop{
			AllocationID: action.AllocationID, Checkpoint: true, Reason: "guard: " + action.Reason,
		}, r.clock.Now())
	}
	// A share of 0 would suspend the task, which is done only at the end of a lease and before a stop.
	share := max(action.Share, minShare)
	throttle := !action.Evict && share != h.share
	r.mu.Unlock()
	if !throttle {
		return
	}
	if err := r.worker.Throttle(ctx, action.AllocationID, share); err != nil {
		r.log.Warn("throttling the task failed", "allocation", action.AllocationID, "error", err)
		return
	}
	r.mu.Lock()
	h.share = share
	r.mu.Unlock()
}

// minShare is the smallest share of processor time that a guard can limit a task to.
const minShare = 0.01
