package structs

// JobStatus is the status of a job as reported by the owner of its shard.
type JobStatus struct {
	ID     string            `json:"id"`
	Kind   JobKind           `json:"kind"`
	Tasks  int               `json:"tasks"`
	Counts map[TaskState]int `json:"counts"`
	// Workers is the number of tasks that may be running on each worker.
	Workers   map[string]int `json:"workers,omitempty"`
	Verdict   string         `json:"verdict,omitempty"`
	Reason    string         `json:"reason,omitempty"`
	Cancelled bool           `json:"cancelled,omitempty"`
	// Done is set once no task is running or will run again.
	Done bool `json:"done"`
}

// StartRequest tells an agent to start allocations before its next heartbeat. Their leases begin when the agent sent the
// heartbeat with the given incarnation and sequence, so a delayed request can't start anything late.
type StartRequest struct {
	Shard       int          `json:"shard"`
	Epoch       int64        `json:"epoch"`
	Incarnation string       `json:"incarnation"`
	Sequence    int64        `json:"sequence"`
	Start       []Allocation `json:"start"`
}

// JobList is a list of jobs with their state.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
}
