package requests

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// interimInterval is how often a waiting entry is told that the agent is alive. Entries drop a connection after 1.5 s
	// without a byte, so two interim responses may be late.
	interimInterval = 500 * time.Millisecond
	// writeTimeout bounds the time for which an entry that doesn't read can hold a handler.
	writeTimeout = 10 * time.Second
)

func itoa(n int) string { return strconv.Itoa(n) }

// errorBody is the JSON body of a response that carries no answer of the upstream.
type errorBody struct {
	Attempt          string          `json:"attempt"`
	Outcome          structs.Outcome `json:"outcome"`
	Reason           string          `json:"reason"`
	RetryAfterMillis int64           `json:"retry_after_millis,omitempty"`
}

// attemptWriter writes the responses to one request of an entry. It isn't safe for concurrent use.
type attemptWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newAttemptWriter(w http.ResponseWriter) *attemptWriter {
	return &attemptWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// sendInterim sends 102 with the state of the attempt.
func (w *attemptWriter) sendInterim(s state) {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set(structs.HeaderState, string(s.attemptState()))
	w.WriteHeader(http.StatusProcessing)
	w.Header().Del(structs.HeaderState)
}

// sendResult sends the final response of an attempt.
func (w *attemptWriter) sendResult(id string, r result, load string) {
	header := w.Header()
	header.Set(structs.HeaderOutcome, string(r.outcome))
	if load != "" {
		header.Set(structs.HeaderLoad, load)
	}
	if r.response != nil {
		wrapHeaders(header, r.response.header)
		w.sendBody(id, r.response.status, r.response.body, r.response.checksum)
		return
	}
	header.Set(structs.HeaderReason, r.reason)
	header.Set("Content-Type", "application/json")
	if r.retryAfter > 0 {
		header.Set("Retry-After", itoa(int((r.retryAfter+time.Second-1)/time.Second)))
	}
	body, _ := json.Marshal(errorBody{
		Attempt: id, Outcome: r.outcome, Reason: r.reason, RetryAfterMillis: r.retryAfter.Milliseconds(),
	})
	w.sendBody(id, httpStatus(r), body, structs.Checksum(body))
}

func httpStatus(r result) int {
	switch {
	case r.reason == reasonBadRequest:
		return http.StatusBadRequest
	case r.reason == reasonIncarnation:
		return http.StatusConflict
	case r.outcome == structs.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case r.reason == reasonDuplicate:
		return http.StatusConflict
	default:
		return http.StatusGatewayTimeout
	}
}

// sendBody sends a body with what the entry needs to verify it.
func (w *attemptWriter) sendBody(id string, status int, body []byte, checksum string) {
	header := w.Header()
	header.Set(structs.HeaderAttempt, id)
	header.Set(structs.HeaderChecksum, checksum)
	header.Set("Content-Length", itoa(len(body)))
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = w.control.Flush()
	_ = w.control.SetWriteDeadline(time.Time{})
}
