package workflow

import (
	"encoding/json"
	"fmt"
)

// Phase is the state of a job as clients see it.
type Phase string

// Phases of a job.
const (
	Pending   Phase = "pending"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final tells whether a job in this phase never changes again.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// TaskPhase is the state of a task in the record of its job.
type TaskPhase int

// Phases of a task.
const (
	// TaskWaiting means that no run exists.
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run may exist on the recorded incarnation of an executor.
	TaskAssigned
	// TaskDone means that a run has finished.
	TaskDone
)

// TaskRecord is what is kept of a task that has been started at least once.
type TaskRecord struct {
	Occurrence int
	Step       int
	Index      int
	Phase      TaskPhase
	// Run is the number of the newest run.
	Run int
	// Life is the incarnation of the executor that the newest run was assigned to, Node its host.
	Life string
	Node string
	// Failures is how many runs have ended as failed.
	Failures int
	// Saved is the newest checkpoint that is known.
	Saved string
}

// MarshalJSON writes the record as an array, since a job has up to thousands of tasks.
func (t TaskRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([...]any{t.Occurrence, t.Step, t.Index, int(t.Phase), t.Run, t.Failures, t.Life, t.Saved, t.Node})
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (t *TaskRecord) UnmarshalJSON(data []byte) error {
	row := [...]any{&t.Occurrence, &t.Step, &t.Index, &t.Phase, &t.Run, &t.Failures, &t.Life, &t.Saved, &t.Node}
	var cells []json.RawMessage
	if err := json.Unmarshal(data, &cells); err != nil {
		return err
	}
	if len(cells) != len(row) {
		return fmt.Errorf("task record has %d cells, %d expected", len(cells), len(row))
	}
	for i, cell := range cells {
		if err := json.Unmarshal(cell, row[i]); err != nil {
			return fmt.Errorf("cell %d of a task record: %w", i, err)
		}
	}
	return nil
}

// JobRecord is the progress of a job as the store keeps it.
type JobRecord struct {
	Phase Phase        `json:"phase"`
	Tasks []TaskRecord `json:"tasks,omitempty"`
	// EndedUnixMillis is when the job reached a final phase, in milliseconds since 1970.
	EndedUnixMillis int64 `json:"ended_unix_ms,omitempty"`
}
