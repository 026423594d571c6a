package ingress

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
)

// RetryAfterSeconds is the Retry-After of a refused request.
const RetryAfterSeconds = 1

// WriteError sends the response to a request if err matches ErrRefused or ErrStalled, and reports whether it does.
func WriteError(w http.ResponseWriter, err error) bool {
	switch {
	case errors.Is(err, ErrRefused):
		WriteRefusal(w)
	case errors.Is(err, ErrStalled):
		WriteStalled(w)
	default:
		return false
	}
	return true
}

// WriteRefusal sends the response to a request that was refused with ErrRefused.
func WriteRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(RetryAfterSeconds))
	w.Header().Set("Connection", "close")
	writeError(w, http.StatusServiceUnavailable, ErrRefused)
}

// WriteStalled sends the response to a request whose body failed with ErrStalled.
func WriteStalled(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeError(w, http.StatusRequestTimeout, ErrStalled)
}

func writeError(w http.ResponseWriter, status int, err error) {
	data, _ := json.Marshal(map[string]string{"error": err.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
