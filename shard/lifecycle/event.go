// Package lifecycle holds the rules of task life cycles and of shard ownership as pure state machines. Nothing here does
// I/O, takes a lock or sleeps; the time comes in as an argument.
package lifecycle

import (
	"fmt"

	"github.com/quetzalshed/quetzalshed/structs"
)

// EventKind names a change of the durable state of a shard.
type EventKind string

// The kinds of event.
const (
	// EventAccept adds a job with all of its tasks pending.
	EventAccept EventKind = "accept"
	// EventStart is written ahead: the task may run on the worker from now on.
	EventStart EventKind = "start"
	// EventCheckpoint records a newer checkpoint of the current attempt.
	EventCheckpoint EventKind = "checkpoint"
	// EventRequeue ends the current attempt without a failure; the task becomes pending.
	EventRequeue EventKind = "requeue"
	// EventFinish ends the task successfully.
	EventFinish EventKind = "finish"
	// EventFail ends the current attempt with a failure; the task fails when it has no attempt left.
	EventFail EventKind = "fail"
	// EventCancel ends all unfinished tasks of a job.
	EventCancel EventKind = "cancel"
	// EventFailJob fails all unfinished tasks of a job.
	EventFailJob EventKind = "failjob"
	// EventGrow adds one pending task to a service, a substitute under a new index.
	EventGrow EventKind = "grow"
	// EventRetire ends one replica of a service for good.
	EventRetire EventKind = "retire"
	// EventVerdict records why a job can't run; an empty reason withdraws the verdict.
	EventVerdict EventKind = "verdict"
	// EventForget drops a job that has ended.
	EventForget EventKind = "forget"
)

// Event is one change of the durable state. Fields that the kind doesn't need are empty.
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
	// Replaces names the allocation that a new replica of a service is to replace.
	Replaces string `json:"x,omitempty"`
	// UnixMilli is the wall time of the owner, for the retention of ended jobs only.
	UnixMilli int64 `json:"t,omitempty"`
}

// Task returns the task that the event is about.
func (e Event) Task() structs.TaskID { return structs.TaskID{JobID: e.JobID, Index: e.Index} }

// AllocationID returns the ID of an attempt. Job IDs contain no colon, so IDs of different attempts differ.
func AllocationID(task structs.TaskID, attempt int) string {
	return fmt.Sprintf("%s:%d:%d", task.JobID, task.Index, attempt)
}
