package store

import (
	"errors"
	"net/http"
)

// Operation identifies a method of Store in metrics and errors.
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

// IsWrite reports whether the operation changes the store. If its response is lost, its result is unknown.
func (o Operation) IsWrite() bool {
	return o != OpGet && o != OpList && o != OpWatch
}

// Code is the error code in a response of the service.
type Code string

// The error codes of the protocol.
const (
	CodeNotFound      Code = "not_found"
	CodeConflict      Code = "conflict"
	CodeUnavailable   Code = "unavailable"
	CodeLeaseNotFound Code = "lease_not_found"
	CodeTimeout       Code = "timeout"
	CodeTooLarge      Code = "too_large"
	CodeInvalid       Code = "invalid"
)

// errorMapping maps an error of this package to its code and HTTP status.
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

// ErrorReply is the body of an error response. If the code is unknown, the response doesn't tell whether the call had an
// effect.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// EncodeError returns the HTTP status and the response body for an error. ok is false for errors without a code:
// ErrUnknownResult and errors of other packages.
func EncodeError(err error) (status int, reply ErrorReply, ok bool) {
	for _, known := range errorMappings {
		if errors.Is(err, known.err) {
			return known.status, ErrorReply{Code: known.code, Message: err.Error()}, true
		}
	}
	return 0, ErrorReply{}, false
}

// decodeError returns the error for an HTTP status and a code, or nil if the code is unknown or has another status.
func decodeError(status int, code Code) error {
	for _, known := range errorMappings {
		if known.code == code && known.status == status {
			return known.err
		}
	}
	return nil
}

// PutRequest is the request body of PUT /v1/kv/{key}.
type PutRequest struct {
	Value      []byte  `json:"value"`
	IfRevision int64   `json:"if_revision"`
	Lease      LeaseID `json:"lease,omitempty"`
}

// PutReply is the response body of PUT /v1/kv/{key}.
type PutReply struct {
	Revision int64 `json:"revision"`
}

// ListReply is the response body of GET /v1/list.
type ListReply struct {
	Entries []Entry `json:"entries"`
}

// GrantRequest is the request body of POST /v1/leases.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_millis"`
}

// GrantReply is the response body of POST /v1/leases.
type GrantReply struct {
	ID LeaseID `json:"id"`
}
