package config

import "github.com/quetzalshed/quetzalshed/findings"

// Status is the response body of GET /v1/config.
type Status struct {
	Head Head `json:"head"`
	// ConfirmedAgeMillis is the time since the head was last confirmed as the newest, or UnconfirmedAge.
	ConfirmedAgeMillis int64 `json:"confirmed_age_millis"`
	// LoadedRevision is the newest revision whose rules and inventory the entry has loaded.
	LoadedRevision int64 `json:"loaded_revision"`
}

// ErrorCode is the reason why a change was not accepted.
type ErrorCode string

// The error codes of changes.
const (
	// ErrorInvalid means that the change is invalid; the reply holds the findings.
	ErrorInvalid ErrorCode = "invalid"
	// ErrorConflict means that the base revision isn't current; the reply holds both revisions.
	ErrorConflict ErrorCode = "conflict"
	// ErrorNotApplied means that the change was definitely not made.
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
