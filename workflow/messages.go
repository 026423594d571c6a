package workflow

// Report is a node's report to the owner of the jobs about the executor on its host.
type Report struct {
	// Node is the name of the host; Address is the IP:PORT on which the node accepts orders.
	Node    string `json:"node"`
	Address string `json:"address"`
	// Incarnation is the start time of the node's process in nanoseconds since 1970.
	Incarnation int64 `json:"incarnation"`
	// Number is the sequence number of the report within the node's process, starting at 1.
	Number int64 `json:"number"`
	// Executor is the current incarnation of the executor; nil if none is known.
	Executor *Executor `json:"executor,omitempty"`
	// Listed is set if Running and Ended were listed by that incarnation.
	Listed bool `json:"listed,omitempty"`
	// ListAgeMillis is the time since the executor listed its runs.
	ListAgeMillis int64 `json:"age_ms,omitempty"`
	// BrokenMillis is the time since a connection to that incarnation was first broken or refused since it last responded; 0 if
	// none was.
	BrokenMillis int64 `json:"broken_ms,omitempty"`
	// ExecutorEnd is set if no executor runs on the host: that incarnation, or if it is not known all former ones, have ended.
	ExecutorEnd *ExecutorEnd `json:"executor_end,omitempty"`
	Running     []RunState   `json:"running,omitempty"`
	Ended       []RunEnd     `json:"ended,omitempty"`
	// EndsComplete is set if the executor listed all ends that are not acknowledged. It lists a limited number at a time, and nodes
	// of former versions don't report whether there are more.
	EndsComplete bool `json:"ends_complete,omitempty"`
	// CoveredSequence is the sequence of the last order that had been carried out when the lists were requested.
	CoveredSequence int64 `json:"covers"`
	// TraitsUnknown is set if the node lacks the traits of the running tasks, since its process started after them.
	TraitsUnknown bool `json:"unaware,omitempty"`
	// LeaseBound limits the lease of the host's executor; nil from nodes that don't know it.
	LeaseBound *LeaseBound `json:"lease_bound,omitempty"`
	// StaleLease is the lease that Executor may hold from calls that were meant for its former incarnations. It is nil if there is none, as
	// for executors that fetch their orders, and from nodes of former versions.
	StaleLease *StaleLease `json:"stale_lease,omitempty"`
}

// StaleLease is the lease that an executor incarnation may hold from calls that were meant for former ones under its ID.
type StaleLease struct {
	// LeftMillis is how long after the report was created the lease lasts at most.
	LeftMillis int64 `json:"left_ms,omitempty"`
	// Unbounded is set until the incarnation has answered a call with its own fencing token. Until then further calls may reach it.
	Unbounded bool `json:"unbounded,omitempty"`
	// OfFormerProcess is set if only calls of former processes of the node can have given the lease, of which it doesn't know.
	OfFormerProcess bool `json:"of_former_process,omitempty"`
}

// ExecutorEnd is the end of an executor that its host has shown by refusing connections.
type ExecutorEnd struct {
	// CoveredSequence is the sequence of the last order that had been carried out before.
	CoveredSequence int64 `json:"covers"`
	// Started holds the runs whose starts the executor had accepted and that its lists don't cover; only Task and Run are set.
	Started []RunState `json:"started,omitempty"`
}

// LeaseBound is what a node knows of the lease of its host's executor. Only the node passes leases on to the executor.
type LeaseBound struct {
	// Epoch is the lowest epoch whose owner can still renew the lease.
	Epoch int64 `json:"epoch"`
	// LeftMillis is how long after the report was created any lease that the host's node processes have passed on lasts. It is
	// negative if the lease had ended before.
	LeftMillis int64 `json:"left_ms"`
}

// ReportReply is the owner's reply to a Report, sent once all lasting changes from the report are stored.
type ReportReply struct {
	// Epoch is the epoch of the owner; a node takes orders only from the highest epoch that it has seen.
	Epoch int64 `json:"epoch"`
	// Ack is the number up to which the run ends of the executor's incarnation are stored.
	Ack int64 `json:"ack"`
	// LeaseMillis is the lease duration: how long after it sent the report the node may keep tasks running.
	LeaseMillis int64 `json:"grant_ms"`
	// NoFormerLeases is set if no owner has granted a lease to a former process of the node, so that none of its calls can be under way.
	NoFormerLeases bool `json:"no_former_leases,omitempty"`
	// HeadroomLosses is the headroom that a best-effort image, at full use of an executor, takes from a serving image,
	// as far as it is known: by serving image, then by best-effort image. Headroom is the latency target of a serving
	// task divided by its latency.
	HeadroomLosses map[string]map[string]float64 `json:"losses,omitempty"`
	// Traits lists the tasks of the executor if the report had TraitsUnknown set.
	Traits []RunTraits `json:"traits,omitempty"`
}

// RunTraits holds the properties of a task that a node needs for sharing an executor among tasks.
type RunTraits struct {
	Task string `json:"task"`
	// TargetMillis is the target for the tail latency of a serving task; 0 for other tasks.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// Image names the program that the task runs.
	Image string `json:"image,omitempty"`
	// MilliCores is the CPU that the task requests.
	MilliCores int64 `json:"milli_cores,omitempty"`
	// BestEffort is set if the task reserves no CPU and uses what other tasks leave.
	BestEffort bool `json:"fills,omitempty"`
}

// StartOrder orders the start of a run.
type StartOrder struct {
	RunTraits
	Run    int    `json:"run"`
	Saved  string `json:"saved,omitempty"`
	Ticket string `json:"ticket,omitempty"`
}

// StopOrder orders the stop of a run, or prevents its start if it has not begun.
type StopOrder struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
	// Reason is logged.
	Reason string `json:"reason,omitempty"`
}

// Orders is a set of orders from the owner to a node.
type Orders struct {
	Epoch int64 `json:"epoch"`
	// Incarnation and ReportNumber identify the newest report on which the owner has renewed the lease. A node rejects starts once
	// the lease granted on that report has expired, so that orders delayed by a network partition don't start tasks
	// that already run elsewhere.
	Incarnation  int64 `json:"incarnation"`
	ReportNumber int64 `json:"basis"`
	// LeaseMillis is how long after it sent that report the node may keep tasks running; 0 leaves the lease unchanged.
	LeaseMillis int64 `json:"grant_ms,omitempty"`
	// ExecutorIncarnation is the executor incarnation that the starts are meant for.
	ExecutorIncarnation string       `json:"life"`
	Starts              []StartOrder `json:"starts,omitempty"`
	Stops               []StopOrder  `json:"stops,omitempty"`
	// Specs holds the specification of each job that has a start.
	Specs map[string]string `json:"specs,omitempty"`
}

// Outcome is the kind of result of an order.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone means that the executor has accepted the order.
	OutcomeDone Outcome = "done"
	// OutcomeRejected means that the order had no effect and never will.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnknown means that the order may have taken effect or may still do so.
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of rejected starts that concern the executor and not the task.
const (
	// ReasonRoom means that the executor has no room for the task.
	ReasonRoom = "room"
	// ReasonUnhealthy means that the executor does not carry out any order at present.
	ReasonUnhealthy = "unhealthy"
	// ReasonUnreachable means that the order could not be delivered to the executor or its node.
	ReasonUnreachable = "unreachable"
)

// OrderResult is the result of one order.
type OrderResult struct {
	Task    string  `json:"task"`
	Run     int     `json:"run"`
	Stop    bool    `json:"stop,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// Sequence is the number of orders that the node's process had carried out.
	Sequence int64 `json:"sequence"`
	// Executor is the executor incarnation that the order was for. The owner sets it; empty if it is not known.
	Executor string `json:"-"`
}

// OrdersReply is the reply to Orders.
type OrdersReply struct {
	Incarnation int64         `json:"incarnation"`
	Results     []OrderResult `json:"results"`
}

// OwnerRecord is the address at which the owner of the jobs accepts reports and queries.
type OwnerRecord struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Epoch is the store revision at which the owner took over. It serves as the fencing token of its orders.
	Epoch int64 `json:"epoch,omitempty"`
}

// JobStatus is the owner's reply to a query for the state of a job.
type JobStatus struct {
	Phase Phase `json:"phase"`
}

// QueueStatus is the owner's reply to a query for the state of a queue.
type QueueStatus struct {
	// Waiting is the number of accepted jobs without a due time of which no task has started.
	Waiting int `json:"waiting"`
}
