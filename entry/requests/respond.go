package requests

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/structs"
)

// notRun returns the result of a request that certainly was not run. If retryAfter is 0, the response has no Retry-After
// header.
func notRun(status int, reason string, retryAfter time.Duration) forward.Result {
	return forward.Result{Outcome: structs.OutcomeNotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// failureBody is the JSON body of a response that doesn't come from an upstream.
type failureBody struct {
	Outcome structs.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
}

// respond sends the final response to the caller. chunkTimeout limits the time that the caller may take for a chunk of the
// body.
func respond(w http.ResponseWriter, r *http.Request, result forward.Result, chunkTimeout time.Duration) {
	w.Header().Set(structs.HeaderOutcome, string(result.Outcome))
	if result.Outcome == structs.OutcomeAnswered {
		respondAnswered(w, r, result, chunkTimeout)
		return
	}
	respondFailure(w, r, result, chunkTimeout)
}

// respondAnswered relays the response of an upstream.
func respondAnswered(w http.ResponseWriter, r *http.Request, result forward.Result, chunkTimeout time.Duration) {
	h := w.Header()
	for name, values := range forwardedHeaders(result.Header) {
		h[name] = values
	}
	// The response to HEAD has no body, but has the length that the response to GET would have.
	if length := result.Header.Get("Content-Length"); r.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	if _, typed := h["Content-Type"]; !typed {
		// A nil value keeps net/http from detecting a type that the upstream didn't send.
		h["Content-Type"] = nil
	}
	writeBody(w, r, result.Status, result.Body, chunkTimeout)
}

// respondFailure sends the reason why there is no response of an upstream.
func respondFailure(w http.ResponseWriter, r *http.Request, result forward.Result, chunkTimeout time.Duration) {
	h := w.Header()
	body, err := json.Marshal(failureBody{result.Outcome, result.Reason})
	if err != nil {
		body = nil
	}
	h.Set("Content-Type", "application/json")
	h.Set(structs.HeaderReason, headerText(result.Reason))
	if result.RetryAfter > 0 {
		seconds := (result.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeBody(w, r, result.Status, append(body, '\n'), chunkTimeout)
}

// writeBody sends the status and, if HTTP allows one, the body.
func writeBody(w http.ResponseWriter, r *http.Request, status int, body []byte, chunkTimeout time.Duration) {
	if r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	control := http.NewResponseController(w)
	last := time.Now().Add(responseTimeoutChunks * chunkTimeout)
	for len(body) > 0 {
		part := body[:min(len(body), writeChunkBytes)]
		deadline := time.Now().Add(chunkTimeout)
		if deadline.After(last) {
			deadline = last
		}
		_ = control.SetWriteDeadline(deadline)
		if _, err := w.Write(part); err != nil {
			return
		}
		body = body[len(part):]
	}
	_ = control.Flush()
	_ = control.SetWriteDeadline(time.Time{})
}

// If a caller takes longer than the chunk timeout to receive a chunk of writeChunkBytes, or longer than
// responseTimeoutChunks times that for the whole response, sending is aborted, because the response holds memory that other
// requests wait for. With the default timeout of 5 s, the largest response requires 140 KB/s.
const (
	writeChunkBytes       = 64 << 10
	responseTimeoutChunks = 12
)

// maxReasonBytes limits the reason in the header; the body contains it in full.
const maxReasonBytes = 200

// headerText converts text to a header value: it truncates it and replaces characters that aren't printable ASCII by
// spaces.
func headerText(text string) string {
	clean := []byte(text[:min(len(text), maxReasonBytes)])
	for i, c := range clean {
		if c < ' ' || c > '~' {
			clean[i] = ' '
		}
	}
	return string(clean)
}
