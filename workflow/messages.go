package workflow

// Report is what a node tells the owner of the jobs about the executor on its host.
type Report struct {
	// Node names the host, Address is where the node accepts orders, as IP:PORT.
	Node    string `json:"node"`
	Address string `json:"address"`
	// Incarnation is when the node's process started, in nanoseconds since 1970.
	Incarnation int64 `json:"incarnation"`
	// Number counts the reports of the process from 1.
	Number int64 `json:"number"`
	// Executor is the present incarnation of the executor; nil while none is known.
	Executor *Executor `json:"executor,omitempty"`
	// Listed tells that Running and Ended were listed by that incarnation.
	Listed bool `json:"listed,omitempty"`
	// ListAgeMillis is how long ago the executor gave the lists.
	ListAgeMillis int64      `json:"age_ms,omitempty"`
	Running       []RunState `json:"running,omitempty"`
	Ended         []RunEnd   `json:"ended,omitempty"`
	// CoveredSequence is the sequence of the last order that had been carried out when the lists were requested.
	CoveredSequence int64 `json:"covers"`
	// TraitsUnknown tells that the node doesn't know how the running tasks behave, since its process started after them.
	TraitsUnknown bool `json:"unaware,omitempty"`
}

// ReportReply is the owner's answer, given once everything in the report that lasts is stored.
type ReportReply struct {
	// Epoch orders owners; a node takes orders of the highest that it has seen.
	Epoch int64 `json:"epoch"`
	// Ack is the number up to which the ends of the incarnation are stored.
	Ack int64 `json:"ack"`
	// GrantMillis is how long after the sending of the report the node may keep tasks running, in milliseconds.
	GrantMillis int64 `json:"grant_ms"`
	// HeadroomLosses is the headroom that a full executor of a filling image takes from a serving one, as far as it is known: first by
	// the serving image, then by the filling one. Headroom is the bound of a serving task's latency by its latency.
	HeadroomLosses map[string]map[string]float64 `json:"losses,omitempty"`
	// Traits describes the tasks of an unaware node.
	Traits []RunTraits `json:"traits,omitempty"`
}

// RunTraits is what a node needs to know of a task that shares an executor with others.
type RunTraits struct {
	Task string `json:"task"`
	// TargetMillis is the bound of the tail latency of a serving task; 0 for others.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// Image names what the task runs.
	Image string `json:"image,omitempty"`
	// MilliCores is the processor time that the task asks for.
	MilliCores int64 `json:"milli_cores,omitempty"`
	// BestEffort tells that the task uses the processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
}

// StartOrder starts a run.
type StartOrder struct {
	RunTraits
	Run    int    `json:"run"`
	Saved  string `json:"saved,omitempty"`
	Ticket string `json:"ticket,omitempty"`
}

// StopOrder stops a run, or keeps it from ever starting.
type StopOrder struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
	// Reason is for the logs.
	Reason string `json:"reason,omitempty"`
}

// Orders is what the owner tells a node to do.
type Orders struct {
	Epoch int64 `json:"epoch"`
	// Incarnation and Basis name the newest report that the owner had seen. A node rejects starts once the grant for that
	// report has run out, so that orders that a partition held back don't start tasks that run elsewhere by then.
	Incarnation  int64 `json:"incarnation"`
	ReportNumber int64 `json:"basis"`
	// GrantMillis is how long after the sending of that report the node may keep tasks running; 0 for no word on it.
	GrantMillis int64 `json:"grant_ms,omitempty"`
	// ExecutorIncarnation is the incarnation of the executor that the starts are meant for.
	ExecutorIncarnation string       `json:"life"`
	Starts              []StartOrder `json:"starts,omitempty"`
	Stops               []StopOrder  `json:"stops,omitempty"`
	// Specs holds the specification of each job that has a start.
	Specs map[string]string `json:"specs,omitempty"`
}

// Outcome is the result of an order.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone means that the executor has accepted the order.
	OutcomeDone Outcome = "done"
	// OutcomeRejected means that the order certainly had no effect and never will.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnknown means that the order may have had its effect, or may still have it.
	OutcomeUnknown Outcome = "unknown"
)

// OrderResult is the result of one order.
type OrderResult struct {
	Task    string  `json:"task"`
	Run     int     `json:"run"`
	Stop    bool    `json:"stop,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// Sequence counts the orders that the node's process has carried out.
	Sequence int64 `json:"sequence"`
}

// OrdersReply answers Orders.
type OrdersReply struct {
	Incarnation int64         `json:"incarnation"`
	Results     []OrderResult `json:"results"`
}

// OwnerRecord tells where the owner of the jobs accepts reports and questions.
type OwnerRecord struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Epoch is the revision at which the owner took over. It is the fencing token of its orders.
	Epoch int64 `json:"epoch,omitempty"`
}

// JobStatus is the owner's answer to a question for the state of a job.
type JobStatus struct {
	Phase Phase `json:"phase"`
}

// QueueStatus is the owner's answer to a question for a queue.
type QueueStatus struct {
	// Waiting is the number of accepted jobs without a due time of which no task has started.
	Waiting int `json:"waiting"`
}
