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

// Snapshot is everything that a plan depends on besides the time. Plan only reads it.
type Snapshot struct {
	// Workers are all workers of the shard, unreported ones and those of out domains included, in any order.
	Workers []WorkerView
	// Pending are the tasks that may start, in any order.
	Pending []PendingTask
	Rules   Rules
	Quotas  quota.Limits
	// Used is what teams use outside Workers, for quotas that span shards. It may be nil.
	Used map[string]structs.Resources
	// Interference and Quarantine are the learned models. Nil means that nothing has been learned.
	Interference Interference
	Quarantine   Quarantine
}

// Interference estimates how much batch classes slow services down.
type Interference interface {
	Estimate(service, batch string) interference.Estimate
}

// Quarantine tells which workers take no tasks since they fail all of them.
type Quarantine interface {
	Admits(worker string, now time.Time) quarantine.Admission
}

// WorkerView is one worker with everything that holds a reservation on it.
type WorkerView struct {
	structs.Worker
	// Reported is false until the worker has reported to the present shard owner. An unreported worker counts as full.
	Reported bool
	// Draining is set while the agent is about to leave. A draining worker takes no tasks and is evacuated.
	Draining bool
	// DrainingSince is when the drain began. Zero means that the grace of the evacuation has passed.
	DrainingSince time.Time
	// Running holds every allocation that holds a reservation: starting, running, suspended and evicting ones.
	Running []RunningTask

	cycle *workerState
}

// BatchLoads returns the batch classes on the worker by the part of its processors that they reserve, in the order of
// their names. It is what the interference model is told of the worker.
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

// RunningTask is one allocation on a worker.
type RunningTask struct {
	AllocationID string
	// Job is shared by all tasks of the job and never written.
	Job       *structs.Job
	Index     int
	Attempt   int
	Resources structs.Resources
	State     structs.TaskState
	// Ready is set for a service replica that serves requests.
	Ready bool
	// Replaces names the allocation that this service replica was started to replace, or is empty.
	Replaces string
	// WorkDone is how much run time would be lost without a checkpoint, the value of the work already done.
	WorkDone time.Duration
}

// Evicting tells whether the allocation is on its way out.
func (t *RunningTask) Evicting() bool { return t.State == structs.TaskEvicting }

// PendingTask is one task that may start.
type PendingTask struct {
	// Job is shared by all tasks of the job and never written.
	Job     *structs.Job
	Index   int
	Attempt int
	// Resources is the reservation, usually from sizing. Zero means the declared resources of the job.
	Resources structs.Resources
	// Since is when the task became pending. Zero means that it is never treated as starving.
	Since time.Time
	// NotBefore holds a retry back until its backoff has passed.
	NotBefore time.Time
	// WorkDone is the run time saved in the task's checkpoint. Tasks with more of it resume first.
	WorkDone time.Duration
	// Avoid lists workers on which the task failed before.
	Avoid []string
	// Replaces names the allocation that a service replica replaces. Plan sets it itself in an evacuation; the owner sets
	// it for the substitute of a replica whose worker can't be reached.
	Replaces string

	state *jobState
}

// ID returns the ID of the task.
func (t *PendingTask) ID() structs.TaskID { return structs.TaskID{JobID: t.Job.ID, Index: t.Index} }

// MayPreempt tells whether the task may evict batch.
func (t *PendingTask) MayPreempt() bool { return t.Job.Urgent || t.Job.Kind == structs.KindService }

// Decisions is the outcome of one plan.
type Decisions struct {
	Place         []Placement
	Evict         []Eviction
	Unschedulable []UnschedulableJob
	// Waiting explains why jobs with pending tasks were not placed. It holds at most MaxWaiting jobs.
	Waiting []WaitingJob
}

// String returns the placements and evictions on one line, such as "+job/0@worker, -allocation preempted". A placement
// that replaces an allocation has its ID in parentheses.
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
	// Replaces is set for a replica that replaces the named allocation. Task.Index is then the index of the replaced
	// replica, and the owner must start the new one under an index of its own, since both run for a while.
	Replaces string
}

// EvictReason says why an allocation is to leave its worker.
type EvictReason string

// The reasons of an eviction.
const (
	// EvictPreempted makes room for a service or urgent work.
	EvictPreempted EvictReason = "preempted"
	// EvictEvacuated moves batch out of a failure domain that is out of service.
	EvictEvacuated EvictReason = "failure domain is out of service"
	// EvictReplaced stops a service replica whose replacement is ready.
	EvictReplaced EvictReason = "replacement is ready"
	// EvictUnreadyReplacement stops a replacement that must leave its worker before it is ready.
	EvictUnreadyReplacement EvictReason = "replacement must leave before it is ready"
)

// Eviction tells the owner to end an allocation. Its room is free only once the agent has reported the end.
type Eviction struct {
	AllocationID string
	Task         structs.TaskID
	Worker       string
	Reason       EvictReason
	// Checkpoint is set for batch, so that it resumes elsewhere.
	Checkpoint bool
	// Preemptor is the task that needs the room, for a preemption.
	Preemptor structs.TaskID
}

// UnschedulableJob says that a job can never run, and why. It blocks no other job.
type UnschedulableJob struct {
	JobID  string
	Reason string
}

// MaxWaitingJobs bounds the jobs that Decisions.Waiting explains.
const MaxWaitingJobs = 64

// WaitingJob says why a job's tasks were not placed.
type WaitingJob struct {
	JobID string
	// Reason is the one that most workers gave.
	Reason Reason
	// Workers is how many workers gave this reason.
	Workers int
}
