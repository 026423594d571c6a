package structs

// Outcome is the result of a request as reported to the caller.
type Outcome string

// The outcomes of a request. OutcomeNotRun is reported only if it is certain that the request has not run and never will.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// HTTP headers exchanged between callers, entries and agents.
const (
	HeaderOutcome          = "Quetzalshed-Outcome"
	HeaderReason           = "Quetzalshed-Reason"
	HeaderTimeoutMillis    = "Quetzalshed-Timeout-Ms"
	HeaderPriority         = "Quetzalshed-Priority"
	HeaderIdempotent       = "Quetzalshed-Idempotent"
	HeaderIdempotencyKey   = "Idempotency-Key"
	HeaderMethod           = "Quetzalshed-Method"
	HeaderPath             = "Quetzalshed-Path"
	HeaderService          = "Quetzalshed-Service"
	HeaderBudgetMillis     = "Quetzalshed-Budget-Ms"
	HeaderAgentIncarnation = "Quetzalshed-Agent-Incarnation"
	HeaderAttempt          = "Quetzalshed-Attempt"
	HeaderState            = "Quetzalshed-State"
	HeaderChecksum         = "Quetzalshed-Checksum"
	HeaderLoad             = "Quetzalshed-Load"
	// HeaderForwardPrefix is the prefix of forwarded headers: of the caller's headers in requests to the agent, and of the
	// upstream's headers in responses.
	HeaderForwardPrefix = "Quetzalshed-Fwd-"
)

// Maximum sizes of request and response bodies in bytes.
const (
	MaxRequestBody  = 1 << 20
	MaxResponseBody = 8 << 20
)

// Priority orders requests in admission queues.
type Priority string

// The priorities of a request.
const (
	PriorityCritical Priority = "critical"
	PriorityNormal   Priority = "normal"
	PriorityLow      Priority = "low"
)

// Rank returns the order of the priority, from 0 for the most important one. Unknown values rank as normal.
func (p Priority) Rank() int {
	switch p {
	case PriorityCritical:
		return 0
	case PriorityLow:
		return 2
	default:
		return 1
	}
}

// Upstream is the state of an upstream as its agent announces it.
type Upstream struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Announcement tells an entry which upstreams an agent serves.
type Announcement struct {
	// Fleet is the name of the agent's fleet. Entries of other fleets reject the announcement.
	Fleet string `json:"fleet"`
	Agent string `json:"agent"`
	// Incarnation is unique to each start of the agent's process.
	Incarnation string `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence int64 `json:"sequence"`
	// StartedUnixNano is the start time of the agent. It orders the incarnations of an agent.
	StartedUnixNano int64      `json:"started_unix_nano"`
	Address         string     `json:"address"`
	FailureDomain   string     `json:"failure_domain"`
	Upstreams       []Upstream `json:"upstreams"`
	Leaving         bool       `json:"leaving,omitempty"`
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	// NextAfterMillis is the time after which the entry expects the next announcement if nothing changes.
	NextAfterMillis int64 `json:"next_after_millis"`
	// Incarnation is unique to each start of the entry's process.
	Incarnation string `json:"incarnation"`
}

// AttemptState is the state of an attempt as known to the agent.
type AttemptState string

// The states of an attempt.
const (
	AttemptNeverSeen AttemptState = "never_seen"
	AttemptCancelled AttemptState = "cancelled"
	AttemptQueued    AttemptState = "queued"
	AttemptRunning   AttemptState = "running"
	AttemptFinished  AttemptState = "finished"
	AttemptRefused   AttemptState = "refused"
	AttemptUnknown   AttemptState = "unknown"
)

// ResolveReply is the response to a request to resolve an attempt.
type ResolveReply struct {
	Attempt     string       `json:"attempt"`
	Incarnation string       `json:"incarnation"`
	State       AttemptState `json:"state"`
}

// NotRun reports whether it is certain in this state that the attempt has not run and never will.
func (s AttemptState) NotRun() bool {
	return s == AttemptNeverSeen || s == AttemptCancelled || s == AttemptRefused
}
