package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Snapshot is the input of a plan besides the time. Plan doesn't modify it.
type Snapshot struct {
	// Workers holds all workers of the shard in any order, including those that have not reported and those in failure
	// domains that are out of service.
	Workers []WorkerView
	// Pending holds the tasks that may start, in any order.
	Pending []PendingTask
	Rules   Rules
	Quotas  quota.Limits
	// Used is what teams use outside Workers, for quotas that span shards. It may be nil.
	Used map[string]structs.Resources
	// Interference and Quarantine are the learned models. Nil means that nothing has been learned.
	Interference Interference
	Quarantine   Quarantine
}

// Interference estimates by how much batch classes slow services down.
type Interference interface {
	Estimate(service, batch string) interference.Estimate
}

// Quarantine decides which workers take no tasks because tasks keep failing on them.
type Quarantine interface {
	Admits(worker string, now time.Time) quarantine.Admission
}

// WorkerView is a worker with all allocations that reserve resources on it.
type WorkerView struct {
	structs.Worker
	// Reported is false until the worker has reported to the current shard owner. A worker that has not counts as
	// full.
	Reported bool
	// Draining is set while the worker's agent prepares to leave. A draining worker takes no tasks and is evacuated.
	Draining bool
	// DrainingSince is when the drain began. With the zero value, the evacuation grace counts as expired.
	DrainingSince time.Time
	// Running holds every allocation with a reservation: those that are starting, running, suspended or evicting.
	Running []RunningTask

	cycle *workerState
}

// BatchLoads returns the batch classes on the worker, sorted by name, each with the fraction of the worker's
// processors that it reserves. It is the input of the interference model.
func (w *WorkerView) BatchLoads() []interference.Load {
	var loads []interference.Load
	for i := range w.Running {
		t := &w.Running[i]
		if t.Job.Kind != structs.KindBatch || w.Capacity.MilliCores <= 0 {
			continue
		}
		share := float64(t.Resources.MilliCores) / float64(w.Capacity.MilliCores)
		position, found := slices.BinarySearchFunc(loads, t.Job.Class, func(load interference.Load, class string) int {
			return strings.Compare(load.Class, class)
		})
		if !found {
			loads = slices.Insert(loads, position, interference.Load{Class: t.Job.Class})
		}
		loads[position].Share += share
	}
	return loads
}

// RunningTask is an allocation on a worker.
type RunningTask struct {
	AllocationID string
	// Job is shared by all tasks of the job and must not be modified.
	Job       *structs.Job
	Index     int
	Attempt   int
	Resources structs.Resources
	State     structs.TaskState
	// Ready is set for a service replica that serves requests.
	Ready bool
	// Replaces is the ID of the allocation that this service replica was started to replace, or empty.
	Replaces string
	// WorkDone is the run time that would be lost if the task ended without a checkpoint.
	WorkDone time.Duration
}

// Evicting reports whether the allocation is being evicted.
func (t *RunningTask) Evicting() bool { return t.State == structs.TaskEvicting }

// PendingTask is a task that may start.
type PendingTask struct {
	// Job is shared by all tasks of the job and must not be modified.
	Job     *structs.Job
	Index   int
	Attempt int
	// Resources is the reservation, usually from sizing. Zero means the declared resources of the job.
	Resources structs.Resources
	// Since is when the task became pending. With the zero value, the task never counts as starving.
	Since time.Time
	// NotBefore is the end of the backoff before a retry.
	NotBefore time.Time
	// WorkDone is the run time saved in the task's checkpoint. Tasks with more work done resume first.
	WorkDone time.Duration
	// Avoid lists the workers on which the task failed before.
	Avoid []string
	// Replaces is the ID of the allocation that a service replica replaces. Plan sets it in an evacuation; the owner sets
	// it for the replacement of a replica whose worker is unreachable.
	Replaces string

	state *jobState
}

// ID returns the ID of the task.
func (t *PendingTask) ID() structs.TaskID { return structs.TaskID{JobID: t.Job.ID, Index: t.Index} }

// MayPreempt reports whether the task may evict batch tasks.
func (t *PendingTask) MayPreempt() bool { return t.Job.Urgent || t.Job.Kind == structs.KindService }

// Decisions is the result of one plan.
type Decisions struct {
	Place         []Placement
	Evict         []Eviction
	Unschedulable []UnschedulableJob
	// Waiting explains why tasks of a job were not placed. It holds at most MaxWaitingJobs jobs.
	Waiting []WaitingJob
}

// String returns the placements and evictions on one line, such as "+job/0@worker, -allocation preempted". The ID of a
// replaced allocation follows its placement in parentheses.
func (d Decisions) String() string {
	var b strings.Builder
	for _, p := range d.Place {
		fmt.Fprintf(&b, ", +%s/%d@%s", p.Task.JobID, p.Task.Index, p.Worker)
		if p.Replaces != "" {
			fmt.Fprintf(&b, " (%s)", p.Replaces)
		}
	}
	for _, e := range d.Evict {
		fmt.Fprintf(&b, ", -%s %s", e.AllocationID, e.Reason)
	}
	return strings.TrimPrefix(b.String(), ", ")
}

// Placement assigns a pending task to a worker.
type Placement struct {
	Task      structs.TaskID
	Attempt   int
	Worker    string
	Resources structs.Resources
	// Replaces is the ID of the allocation that the new replica replaces. Task.Index is then the index of the replaced
	// replica, and the owner must give the new replica an index of its own, since both run for some time.
	Replaces string
}

// EvictReason says why an allocation is evicted.
type EvictReason string

// The reasons of an eviction.
const (
	// EvictPreempted frees capacity for a service or for urgent work.
	EvictPreempted EvictReason = "preempted"
	// EvictEvacuated moves batch tasks off a worker that drains or whose failure domain is out of service.
	EvictEvacuated EvictReason = "failure domain is out of service"
	// EvictReplaced stops a service replica whose replacement is ready.
	EvictReplaced EvictReason = "replacement is ready"
	// EvictUnreadyReplacement stops a replacement whose own worker is evacuated before the replacement is ready.
	EvictUnreadyReplacement EvictReason = "replacement must leave before it is ready"
)

// Eviction tells the owner to end an allocation. Its resources are free only after the agent has reported the end.
type Eviction struct {
	AllocationID string
	Task         structs.TaskID
	Worker       string
	Reason       EvictReason
	// Checkpoint is set for batch tasks, which resume elsewhere from the checkpoint.
	Checkpoint bool
	// Preemptor is the task that needs the capacity, in a preemption.
	Preemptor structs.TaskID
}

// UnschedulableJob is a job that can never run, with the reason. It doesn't block other jobs.
type UnschedulableJob struct {
	JobID  string
	Reason string
}

// MaxWaitingJobs limits the jobs in Decisions.Waiting.
const MaxWaitingJobs = 64

// WaitingJob says why tasks of a job were not placed.
type WaitingJob struct {
	JobID string
	// Reason is the most frequent reason among the workers.
	Reason Reason
	// Workers is the number of workers with this reason.
	Workers int
}
