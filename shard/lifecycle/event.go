// Package lifecycle implements the task life cycle and shard ownership rules as pure state machines. It does no I/O,
// takes no locks and never sleeps; callers pass in the time.
package lifecycle

import (
	"fmt"

	"github.com/quetzalshed/quetzalshed/structs"
)

// EventKind identifies a kind of change to the durable state of a shard.
type EventKind string

// Event kinds.
const (
	// EventAccept adds a job with all of its tasks pending.
	EventAccept EventKind = "accept"
	// EventStart records the start of an attempt. It is durable before the start is sent; from then on the task may run
	// on the worker.
	EventStart EventKind = "start"
	// EventCheckpoint records a newer checkpoint of the current attempt.
	EventCheckpoint EventKind = "checkpoint"
	// EventRequeue ends the current attempt without counting a failure; the task becomes pending again.
	EventRequeue EventKind = "requeue"
	// EventFinish ends the task successfully.
	EventFinish EventKind = "finish"
	// EventFail ends the current attempt with a failure; the task fails once its attempts are used up.
	EventFail EventKind = "fail"
	// EventCancel ends all unfinished tasks of a job.
	EventCancel EventKind = "cancel"
	// EventFailJob fails all unfinished tasks of a job.
	EventFailJob EventKind = "failjob"
	// EventGrow appends one pending task to a service, under a new index.
	EventGrow EventKind = "grow"
	// EventRetire permanently ends one replica of a service.
	EventRetire EventKind = "retire"
	// EventVerdict records why a job can't run; an empty reason clears the verdict.
	EventVerdict EventKind = "verdict"
	// EventForget removes a job that has ended.
	EventForget EventKind = "forget"
)

// Event is one change of the durable state. Fields that its kind doesn't use are empty.
type Event struct {
	Kind         EventKind    `json:"k"`
	Job          *structs.Job `json:"job,omitempty"`
	JobID        string       `json:"j,omitempty"`
	Index        int          `json:"i,omitempty"`
	Attempt      int          `json:"a,omitempty"`
	Worker       string       `json:"w,omitempty"`
	CheckpointID string       `json:"c,omitempty"`
	Progress     float64      `json:"p,omitempty"`
	Reason       string       `json:"r,omitempty"`
	// Replaces is the ID of the allocation that a new replica of a service replaces.
	Replaces string `json:"x,omitempty"`
	// UnixMilli is the owner's wall time. It is used only for the retention of ended jobs.
	UnixMilli int64 `json:"t,omitempty"`
}

// Task returns the ID of the task that the event changes.
func (e Event) Task() structs.TaskID { return structs.TaskID{JobID: e.JobID, Index: e.Index} }

// AllocationID returns the ID of an attempt. Job IDs contain no colon, so IDs of different attempts differ.
func AllocationID(task structs.TaskID, attempt int) string {
	return fmt.Sprintf("%s:%d:%d", task.JobID, task.Index, attempt)
}
