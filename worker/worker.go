// Package worker is the client side of the task API that the platform offers on each worker.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors of a worker. Callers compare with errors.Is.
var (
	// ErrNotFound means that the worker has no such task.
	ErrNotFound = errors.New("worker: task not found")
	// ErrExists means that the worker already has a task with this ID.
	ErrExists = errors.New("worker: task exists")
	// ErrUnavailable means that the call failed and may or may not have taken effect.
	ErrUnavailable = errors.New("worker: unavailable")
	// ErrRejected means that the worker refused the call and nothing was done.
	ErrRejected = errors.New("worker: rejected")
)

// Phase is what a task on a worker is doing.
type Phase string

// The phases of a task on a worker.
const (
	PhaseRunning   Phase = "running"
	PhaseSuspended Phase = "suspended"
	PhaseFinished  Phase = "finished"
	PhaseFailed    Phase = "failed"
	// PhaseStopped is the phase of a task that was stopped, or whose lease lapsed.
	PhaseStopped Phase = "stopped"
)

// Ended tells whether a task in this phase will never run again under its ID.
func (p Phase) Ended() bool { return p == PhaseFinished || p == PhaseFailed || p == PhaseStopped }

// TaskSpec describes a task to start.
type TaskSpec struct {
	ID           string            `json:"id"`
	Resources    structs.Resources `json:"resources"`
	Command      string            `json:"command"`
	CheckpointID string            `json:"checkpoint_id,omitempty"`
	// Lease is how long the task runs without a renewal; the worker stops it then.
	Lease time.Duration `json:"lease"`
	// Annotations are kept by the worker and returned in its status, so that a new agent can recognise the task.
	Annotations map[string]string `json:"annotations,omitempty"`
}

// TaskStatus is what a worker reports of a task.
type TaskStatus struct {
	ID    string            `json:"id"`
	Phase Phase             `json:"phase"`
	Used  structs.Resources `json:"used"`
	// UsageAge is the lag of Used.
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
	// Renew extends the lease of a task by lease from now.
	Renew(ctx context.Context, id string, lease time.Duration) error
	// Throttle limits a task to a share of its processor time: 1 is unlimited, 0 suspends it.
	Throttle(ctx context.Context, id string, share float64) error
	// Checkpoint saves the state of a task and returns the checkpoint's ID.
	Checkpoint(ctx context.Context, id string) (string, error)
	// Stop ends a task and forgets it. When it returns nil, the task does not run any more.
	Stop(ctx context.Context, id string) error
	// Status returns all tasks that the worker knows, ended ones included until they are stopped.
	Status(ctx context.Context) ([]TaskStatus, error)
}
