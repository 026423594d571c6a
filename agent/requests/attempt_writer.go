package requests

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// interimInterval is the interval of the interim responses that show a waiting entry that the agent is alive. Entries
	// close a connection on which they receive nothing for 1.5 s, so two interim responses in a row may be late.
	interimInterval = 500 * time.Millisecond
	// writeTimeout limits how long an entry that doesn't read can occupy a handler.
	writeTimeout = 10 * time.Second
)

func itoa(n int) string { return strconv.Itoa(n) }

// errorBody is the JSON body of a response that doesn't contain a response of the upstream.
type errorBody struct {
	Attempt          string          `json:"attempt"`
	Outcome          structs.Outcome `json:"outcome"`
	Reason           string          `json:"reason"`
	RetryAfterMillis int64           `json:"retry_after_millis,omitempty"`
}

// attemptWriter writes the interim and final responses to one request of an entry. It isn't safe for concurrent use.
type attemptWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func newAttemptWriter(w http.ResponseWriter) *attemptWriter {
	return &attemptWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// sendInterim sends a 102 response with the state of the attempt.
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

// sendBody sends a response with the headers by which the entry verifies it: attempt ID, checksum and length.
func (w *attemptWriter) sendBody(id string, status int, body []byte, checksum string) {
	header := w.Header()
	header.Set(structs.HeaderAttempt, id)
	header.Set(structs.HeaderChecksum, checksum)
	header.Set("Content-Length", itoa(len(body)))
	if _, ok := header["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	_ = w.control.Flush()
	_ = w.control.SetWriteDeadline(time.Time{})
}
