package structs

import "encoding/json"

// TaskUsage is a measurement of an allocation. It may be out of date, see AgeMillis.
type TaskUsage struct {
	AllocationID string    `json:"allocation_id"`
	Used         Resources `json:"used"`
	// AgeMillis is the age of the measurement.
	AgeMillis int64 `json:"age_millis"`
	// LatencyMillis is the tail latency that a service reported, or 0 if there is none.
	LatencyMillis float64 `json:"latency_millis,omitempty"`
	// Progress ranges from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	// Share is the fraction of its processor time to which the guard limits the task; 0 means no limit.
	Share float64 `json:"share,omitempty"`
}

// Throttled reports whether the guard limits the processor time of the task.
func (u TaskUsage) Throttled() bool { return u.Share > 0 && u.Share < 1 }

// ServiceLatency is the latency of the upstreams of a service on one host, as measured by the agent.
type ServiceLatency struct {
	Service string `json:"service"`
	// Millis is the 95th percentile of the time that requests held a slot.
	Millis float64 `json:"millis"`
	// AgeMillis is the time since the middle of the measurement interval.
	AgeMillis int64 `json:"age_millis"`
}

// AllocationState is an allocation that an agent holds, with its state.
type AllocationState struct {
	Allocation Allocation `json:"allocation"`
	State      TaskState  `json:"state"`
	// CheckpointID identifies the latest checkpoint of the task.
	CheckpointID string  `json:"checkpoint_id,omitempty"`
	Progress     float64 `json:"progress,omitempty"`
}

// TaskResult reports an attempt that has ended. The agent resends it until it is acknowledged.
type TaskResult struct {
	AllocationID string `json:"allocation_id"`
	Task         TaskID `json:"task"`
	Attempt      int    `json:"attempt"`
	// State is finished, failed or cancelled, or pending if the attempt was evicted or refused and the task may start
	// elsewhere.
	State        TaskState `json:"state"`
	CheckpointID string    `json:"checkpoint_id,omitempty"`
	Progress     float64   `json:"progress,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	// Refused is set if the attempt was never started.
	Refused bool `json:"refused,omitempty"`
}

// Heartbeat reports the state of a worker to the owner of its shard, completely or as changes since an earlier heartbeat.
type Heartbeat struct {
	Worker      Worker `json:"worker"`
	Incarnation string `json:"incarnation"`
	// StartedUnixNano is the start time of the agent. It orders the incarnations of an agent.
	StartedUnixNano int64 `json:"started_unix_nano"`
	Sequence        int64 `json:"sequence"`
	// Base is the sequence of the heartbeat to which this one is relative: Worker contains only the name, and Running only
	// new or changed allocations. 0 means that the heartbeat is complete.
	Base int64 `json:"base,omitempty"`
	// Gone lists the allocations of the base heartbeat that the agent no longer holds.
	Gone []string `json:"gone,omitempty"`
	// Epoch is the highest epoch of the shard that the agent had accepted when it sent the heartbeat.
	Epoch    int64             `json:"epoch"`
	Usage    []TaskUsage       `json:"usage,omitempty"`
	Running  []AllocationState `json:"running,omitempty"`
	Results  []TaskResult      `json:"results,omitempty"`
	Draining bool              `json:"draining,omitempty"`
	// Unusable is set while the worker's task API doesn't respond. No tasks are placed on the worker then.
	Unusable bool `json:"unusable,omitempty"`
	// HeadRevision is the configuration revision that the agent has. The reply contains the head only if it is a newer one.
	HeadRevision int64 `json:"head_revision,omitempty"`
	// Services has the latencies of the services with upstreams on the worker's host.
	Services []ServiceLatency `json:"services,omitempty"`
}

// TaskStop tells an agent to stop an allocation.
type TaskStop struct {
	AllocationID string `json:"allocation_id"`
	// Checkpoint requests a checkpoint before the stop, so that the task can resume elsewhere.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// HeartbeatReply is the response to a heartbeat. It renews the leases of the allocations in Keep, or of all that the heartbeat
// reported if KeepAll is set, and no others.
type HeartbeatReply struct {
	Shard    int      `json:"shard"`
	Epoch    int64    `json:"epoch"`
	Sequence int64    `json:"sequence"`
	Keep     []string `json:"keep,omitempty"`
	// KeepAll renews the leases of all allocations that the heartbeat reported.
	KeepAll     bool         `json:"keep_all,omitempty"`
	Start       []Allocation `json:"start,omitempty"`
	Stop        []TaskStop   `json:"stop,omitempty"`
	AckResults  []string     `json:"ack_results,omitempty"`
	LeaseMillis int64        `json:"lease_millis"`
	// HeadRevision is the configuration revision to which ConfirmedMillis refers. Head is omitted if the agent already has it.
	HeadRevision    int64           `json:"head_revision,omitempty"`
	Head            json.RawMessage `json:"head,omitempty"`
	ConfirmedMillis int64           `json:"confirmed_millis"`
}

// ShardOwner identifies the agent that owns a shard. Of several, the one with the highest epoch is valid.
type ShardOwner struct {
	Shard   int    `json:"shard"`
	Epoch   int64  `json:"epoch"`
	Address string `json:"address"`
}
