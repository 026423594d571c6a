package worker

import (
	"errors"
	"net/http"
)

// The HTTP protocol of the task API: POST /v1/tasks with a TaskSpec, GET /v1/tasks, and per task PUT
// /v1/tasks/{id}/lease, PUT /v1/tasks/{id}/throttle, POST /v1/tasks/{id}/checkpoint and DELETE /v1/tasks/{id}.

// LeaseRequest is the body of a renewal.
type LeaseRequest struct {
	LeaseMillis int64 `json:"lease_millis"`
}

// ThrottleRequest is the body of a throttle call.
type ThrottleRequest struct {
	Share float64 `json:"share"`
}

// CheckpointReply is the response to a checkpoint call.
type CheckpointReply struct {
	CheckpointID string `json:"checkpoint_id"`
}

// StatusReply is the response to a status call.
type StatusReply struct {
	Tasks []TaskStatus `json:"tasks"`
}

// ErrorReply is the body of a response with a status other than 200.
type ErrorReply struct {
	Error string `json:"error"`
}

// HTTPStatus returns the HTTP status for an error of this package.
func HTTPStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrExists):
		return http.StatusConflict
	case errors.Is(err, ErrRejected):
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func errorForStatus(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrExists
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return ErrRejected
	default:
		return ErrUnavailable
	}
}
