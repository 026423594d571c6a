package store

import (
	"errors"
	"net/http"
)

// Operation names a method of Store in counters.
type Operation string

// The operations of a store.
const (
	OpGet       Operation = "get"
	OpList      Operation = "list"
	OpPut       Operation = "put"
	OpDelete    Operation = "delete"
	OpGrant     Operation = "grant"
	OpKeepAlive Operation = "keep_alive"
	OpRevoke    Operation = "revoke"
	OpWatch     Operation = "watch"
)

// IsWrite tells whether an operation changes the store, so that a lost response leaves its result unknown.
func (o Operation) IsWrite() bool {
	return o != OpGet && o != OpList && o != OpWatch
}

// Code identifies an error in a response of the service.
type Code string

// The codes of errors on the wire.
const (
	CodeNotFound      Code = "not_found"
	CodeConflict      Code = "conflict"
	CodeUnavailable   Code = "unavailable"
	CodeLeaseNotFound Code = "lease_not_found"
	CodeTimeout       Code = "timeout"
	CodeTooLarge      Code = "too_large"
	CodeInvalid       Code = "invalid"
)

// errorMapping ties an error to its code and HTTP status.
type errorMapping struct {
	err    error
	code   Code
	status int
}

var errorMappings = []errorMapping{
	{ErrNotFound, CodeNotFound, http.StatusNotFound},
	{ErrConflict, CodeConflict, http.StatusConflict},
	{ErrUnavailable, CodeUnavailable, http.StatusServiceUnavailable},
	{ErrLeaseNotFound, CodeLeaseNotFound, http.StatusGone},
	{ErrTimeout, CodeTimeout, http.StatusRequestTimeout},
	{ErrTooLarge, CodeTooLarge, http.StatusRequestEntityTooLarge},
	{ErrInvalid, CodeInvalid, http.StatusBadRequest},
}

// ErrorReply is the body of a response that reports an error. A failed response without a known code proves nothing.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// EncodeError returns the HTTP status and the body for an error. ok is false for ErrUnknownResult and foreign errors,
// which have no code.
func EncodeError(err error) (status int, reply ErrorReply, ok bool) {
	for _, known := range errorMappings {
		if errors.Is(err, known.err) {
			return known.status, ErrorReply{Code: known.code, Message: err.Error()}, true
		}
	}
	return 0, ErrorReply{}, false
}

// decodeError returns the error that a status and a code stand for, or nil when they don't belong together.
func decodeError(status int, code Code) error {
	for _, known := range errorMappings {
		if known.code == code && known.status == status {
			return known.err
		}
	}
	return nil
}

// PutRequest is the body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value      []byte  `json:"value"`
	IfRevision int64   `json:"if_revision"`
	Lease      LeaseID `json:"lease,omitempty"`
}

// PutReply answers PUT /v1/kv/{key}.
type PutReply struct {
	Revision int64 `json:"revision"`
}

// ListReply answers GET /v1/list.
type ListReply struct {
	Entries []Entry `json:"entries"`
}

// GrantRequest is the body of POST /v1/leases.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_millis"`
}

// GrantReply answers POST /v1/leases.
type GrantReply struct {
	ID LeaseID `json:"id"`
}
