// Package worker defines the task API that the platform provides on each worker, and a client for it.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors of the task API. Compare them with errors.Is.
var (
	// ErrNotFound means that the worker has no such task.
	ErrNotFound = errors.New("worker: task not found")
	// ErrExists means that the worker already has a task with this ID.
	ErrExists = errors.New("worker: task exists")
	// ErrUnavailable means that the call failed and may or may not have taken effect.
	ErrUnavailable = errors.New("worker: unavailable")
	// ErrRejected means that the worker rejected the call, which had no effect.
	ErrRejected = errors.New("worker: rejected")
)

// Phase is the phase of a task's life on a worker.
type Phase string

// The phases of a task on a worker.
const (
	PhaseRunning   Phase = "running"
	PhaseSuspended Phase = "suspended"
	PhaseFinished  Phase = "finished"
	PhaseFailed    Phase = "failed"
	// PhaseStopped is the phase of a task that was stopped, or whose lease expired.
	PhaseStopped Phase = "stopped"
)

// Ended reports whether a task in this phase will never run again under its ID.
func (p Phase) Ended() bool { return p == PhaseFinished || p == PhaseFailed || p == PhaseStopped }

// TaskSpec describes a task to start.
type TaskSpec struct {
	ID           string            `json:"id"`
	Resources    structs.Resources `json:"resources"`
	Command      string            `json:"command"`
	CheckpointID string            `json:"checkpoint_id,omitempty"`
	// Lease is how long the task may run without a renewal before the worker stops it.
	Lease time.Duration `json:"lease"`
	// Annotations are stored by the worker and returned in its status, so that a restarted agent can identify the task.
	Annotations map[string]string `json:"annotations,omitempty"`
}

// TaskStatus is the status of a task as the worker reports it.
type TaskStatus struct {
	ID    string            `json:"id"`
	Phase Phase             `json:"phase"`
	Used  structs.Resources `json:"used"`
	// UsageAge is the age of the measurement in Used.
	UsageAge      time.Duration     `json:"usage_age"`
	LatencyMillis float64           `json:"latency_millis,omitempty"`
	Progress      float64           `json:"progress"`
	CheckpointID  string            `json:"checkpoint_id,omitempty"`
	Reason        string            `json:"reason,omitempty"`
	Annotations   map[string]string `json:"annotations,omitempty"`
}

// Worker is the platform's task API on one host.
type Worker interface {
	// Start starts a task under a lease.
	Start(ctx context.Context, spec TaskSpec) error
	// Renew sets the lease of a task to end after the given time from now.
	Renew(ctx context.Context, id string, lease time.Duration) error
	// Throttle limits a task to a share of its processor time: 1 is unlimited, 0 suspends it.
	Throttle(ctx context.Context, id string, share float64) error
	// Checkpoint saves the state of a task and returns the checkpoint's ID.
	Checkpoint(ctx context.Context, id string) (string, error)
	// Stop stops a task and deletes its record. When it returns nil, the task no longer runs.
	Stop(ctx context.Context, id string) error
	// Status returns all tasks on the worker. Ended tasks are included until Stop is called for them.
	Status(ctx context.Context) ([]TaskStatus, error)
}
