package structs

import "encoding/json"

// TaskUsage is a lagging measurement of one allocation.
type TaskUsage struct {
	AllocationID string    `json:"allocation_id"`
	Used         Resources `json:"used"`
	// AgeMillis is how old the measurement is.
	AgeMillis int64 `json:"age_millis"`
	// LatencyMillis is the tail latency that a service reported, 0 when there is none.
	LatencyMillis float64 `json:"latency_millis,omitempty"`
	// Progress ranges from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	// Share is the part of its processor time that the guard leaves to the task; 0 means all of it.
	Share float64 `json:"share,omitempty"`
}

// Throttled tells whether the guard has limited the task.
func (u TaskUsage) Throttled() bool { return u.Share > 0 && u.Share < 1 }

// ServiceLatency is what an agent measured of the upstreams of one service on its host.
type ServiceLatency struct {
	Service string `json:"service"`
	// Millis is the 95th percentile of the time that requests held a slot.
	Millis float64 `json:"millis"`
	// AgeMillis is how old the middle of the measured span is.
	AgeMillis int64 `json:"age_millis"`
}

// AllocationState is one allocation that an agent holds.
type AllocationState struct {
	Allocation Allocation `json:"allocation"`
	State      TaskState  `json:"state"`
	// CheckpointID names the newest checkpoint of the task.
	CheckpointID string  `json:"checkpoint_id,omitempty"`
	Progress     float64 `json:"progress,omitempty"`
}

// TaskResult reports an attempt that has ended. The agent repeats it until it is acknowledged.
type TaskResult struct {
	AllocationID string `json:"allocation_id"`
	Task         TaskID `json:"task"`
	Attempt      int    `json:"attempt"`
	// State is finished, failed, cancelled, or pending when the attempt was evicted or refused and may start elsewhere.
	State        TaskState `json:"state"`
	CheckpointID string    `json:"checkpoint_id,omitempty"`
	Progress     float64   `json:"progress,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	// Refused is set when the attempt was never started.
	Refused bool `json:"refused,omitempty"`
}

// Heartbeat reports the whole state of a worker to the owner of its shard.
type Heartbeat struct {
	Worker      Worker `json:"worker"`
	Incarnation string `json:"incarnation"`
	// StartedUnixNano orders incarnations of one agent.
	StartedUnixNano int64 `json:"started_unix_nano"`
	Sequence        int64 `json:"sequence"`
	// Base is the sequence of the heartbeat on which this one builds: Worker has only its name, and Running only
	// what is new or has changed. 0 means that the heartbeat is complete.
	Base int64 `json:"base,omitempty"`
	// Gone lists the allocations of the base that the agent no longer holds.
	Gone []string `json:"gone,omitempty"`
	// Epoch is the highest epoch of the shard that the agent had accepted when it sent the heartbeat.
	Epoch    int64             `json:"epoch"`
	Usage    []TaskUsage       `json:"usage,omitempty"`
	Running  []AllocationState `json:"running,omitempty"`
	Results  []TaskResult      `json:"results,omitempty"`
	Draining bool              `json:"draining,omitempty"`
	// Unusable is set while the worker's task API doesn't respond. Nothing is placed on the worker then.
	Unusable bool `json:"unusable,omitempty"`
	// HeadRevision is the configuration revision that the agent holds, so that the reply repeats no known head.
	HeadRevision int64 `json:"head_revision,omitempty"`
	// Services holds the latencies of the upstreams beside the worker.
	Services []ServiceLatency `json:"services,omitempty"`
}

// TaskStop tells an agent to end an allocation.
type TaskStop struct {
	AllocationID string `json:"allocation_id"`
	// Checkpoint asks for a checkpoint first, so that the task resumes elsewhere.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// HeartbeatReply answers a heartbeat. A reply renews the leases of the allocations in Keep, or of all
// that the heartbeat reported if KeepAll is set, and of no others.
type HeartbeatReply struct {
	Shard    int      `json:"shard"`
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"`
	Keep     []string `json:"keep,omitempty"`
	// KeepAll renews all allocations that the heartbeat reported, instead of a list.
	KeepAll     bool         `json:"keep_all,omitempty"`
	Start       []Allocation `json:"start,omitempty"`
	Stop        []TaskStop   `json:"stop,omitempty"`
	AckResults  []string     `json:"ack_results,omitempty"`
	LeaseMillis int64        `json:"lease_millis"`
	// HeadRevision is the configuration revision that ConfirmedMillis is about. Head is left out when the agent has it.
	HeadRevision    int64           `json:"head_revision,omitempty"`
	Head            json.RawMessage `json:"head,omitempty"`
	ConfirmedMillis int64           `json:"confirmed_millis"`
}

// ShardOwner says which agent owns a shard. The highest epoch wins.
type ShardOwner struct {
	Shard   int    `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Address string `json:"address"`
}
