package structs

import "time"

// JobKind distinguishes services from batch jobs.
type JobKind string

// The kinds of jobs.
const (
	KindBatch   JobKind = "batch"
	KindService JobKind = "service"
)

// Constraints restricts the workers on which the tasks of a job may run. An empty list or kind is no restriction.
type Constraints struct {
	FailureDomains  []string `json:"failure_domains,omitempty"`
	Racks           []string `json:"racks,omitempty"`
	AcceleratorKind string   `json:"accelerator_kind,omitempty"`
}

// Job is a number of identical tasks that are submitted together.
type Job struct {
	ID   string  `json:"id"`
	Team string  `json:"team"`
	Name string  `json:"name"`
	Kind JobKind `json:"kind"`
	// Priority ranges from 0 to 100; higher values are placed first.
	Priority int  `json:"priority"`
	Urgent   bool `json:"urgent,omitempty"`
	// Tasks is the number of tasks, with indices from 0.
	Tasks int `json:"tasks"`
	// Resources are the declared requirements of one task, which often differ from its actual usage.
	Resources Resources `json:"resources"`
	// Class groups similar work, for which resource usage and interference are learned together.
	Class         string      `json:"class"`
	Constraints   Constraints `json:"constraints"`
	MaxAttempts   int         `json:"max_attempts"`
	SpreadDomains bool        `json:"spread_domains,omitempty"`
	// ExpectedSeconds is the declared run time of one task.
	ExpectedSeconds float64 `json:"expected_seconds,omitempty"`
	// Command is passed to the worker unchanged.
	Command string `json:"command,omitempty"`
	// Accepted is when an entry accepted the job.
	Accepted time.Time `json:"accepted"`
}

// TaskState is the state of one task.
type TaskState string

// The states of a task.
const (
	TaskPending   TaskState = "pending"
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskSuspended TaskState = "suspended"
	TaskEvicting  TaskState = "evicting"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
)

// Terminal reports whether a task in this state never runs again.
func (s TaskState) Terminal() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled
}

// TaskID identifies a task across jobs.
type TaskID struct {
	JobID string `json:"job_id"`
	Index int    `json:"index"`
}

// Allocation is the assignment of one attempt of a task to a worker.
type Allocation struct {
	// ID is unique across attempts.
	ID      string  `json:"id"`
	Task    TaskID  `json:"task"`
	Attempt int     `json:"attempt"`
	Worker  string  `json:"worker"`
	Kind    JobKind `json:"kind"`
	Class   string  `json:"class"`
	// Priority and Urgent are those of the job. They determine the order in which the guard evicts allocations.
	Priority  int       `json:"priority,omitempty"`
	Urgent    bool      `json:"urgent,omitempty"`
	Resources Resources `json:"resources"`
	// Shard and Epoch form the fencing token: an agent accepts only the highest epoch that it has seen for a shard.
	Shard int   `json:"shard"`
	Epoch int64 `json:"epoch"`
	// LeaseMillis is how long the allocation may run after the agent sent the latest heartbeat that got a response.
	LeaseMillis  int64  `json:"lease_millis"`
	CheckpointID string `json:"checkpoint_id,omitempty"`
	Command      string `json:"command,omitempty"`
}
