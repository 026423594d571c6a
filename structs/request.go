package structs

// Outcome tells what became of a request.
type Outcome string

// The outcomes of a request. OutcomeNotRun is reported only when it is certain.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)

// HTTP headers between callers, entries and agents.
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
	// HeaderForwardPrefix precedes the name of each of the caller's headers on the way to the agent, and of each of the
	// upstream's headers on the way back.
	HeaderForwardPrefix = "Quetzalshed-Fwd-"
)

// Limits on the size of bodies, in bytes.
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

// Rank returns 0 for the most important priority; unknown values rank as normal.
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

// Upstream is one back end as its agent announces it.
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
	// Incarnation differs for each start of the agent's process.
	Incarnation string `json:"incarnation"`
	// Sequence grows with each announcement of one incarnation.
	Sequence int64 `json:"sequence"`
	// StartedUnixNano orders incarnations of one agent.
	StartedUnixNano int64      `json:"started_unix_nano"`
	Address         string     `json:"address"`
	FailureDomain   string     `json:"failure_domain"`
	Upstreams       []Upstream `json:"upstreams"`
	Leaving         bool       `json:"leaving,omitempty"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	// NextAfterMillis is when the entry wants the next announcement if nothing changes.
	NextAfterMillis int64 `json:"next_after_millis"`
	// Incarnation differs for each start of the entry's process.
	Incarnation string `json:"incarnation"`
}

// AttemptState is what an agent knows of an attempt.
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

// ResolveReply answers a request to resolve an attempt.
type ResolveReply struct {
	Attempt     string       `json:"attempt"`
	Incarnation string       `json:"incarnation"`
	State       AttemptState `json:"state"`
}

// NotRun tells whether the state makes it certain that the attempt has not run and never will.
func (s AttemptState) NotRun() bool {
	return s == AttemptNeverSeen || s == AttemptCancelled || s == AttemptRefused
}
