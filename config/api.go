package config

import "github.com/quetzalshed/quetzalshed/findings"

// Status answers GET /v1/config.
type Status struct {
	Head Head `json:"head"`
	// ConfirmedAgeMillis says how long ago no newer revision existed, or NoProof.
	ConfirmedAgeMillis int64 `json:"confirmed_age_millis"`
	// LoadedRevision is the newest revision whose rules and inventory the entry has loaded.
	LoadedRevision int64 `json:"loaded_revision"`
}

// ErrorCode says why a change was not accepted.
type ErrorCode string

// The reasons for which a change is not accepted.
const (
	// ErrorInvalid comes with findings.
	ErrorInvalid ErrorCode = "invalid"
	// ErrorConflict comes with both revisions.
	ErrorConflict ErrorCode = "conflict"
	// ErrorNotApplied means that the change was certainly not made.
	ErrorNotApplied ErrorCode = "not_applied"
	// ErrorUnknown means that the change may have been made.
	ErrorUnknown ErrorCode = "unknown"
)

// ErrorReply is the body of a response to a change that was not accepted.
type ErrorReply struct {
	Error    ErrorCode          `json:"error"`
	Message  string             `json:"message"`
	Findings []findings.Finding `json:"findings,omitempty"`
	Conflict *ConflictError     `json:"conflict,omitempty"`
}
