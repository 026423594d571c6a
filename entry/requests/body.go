package requests

import (
	"errors"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxDiscardBytes and discardTime limit what is read of a body that wasn't read before the response. Most bodies have arrived
// together with the headers, so that the connection can be used again.
const (
	maxDiscardBytes = 64 << 10
	discardTime     = 10 * time.Millisecond
)

// declaredBytes returns the length of the body as far as it is known before it is read. Larger bodies than the limit are refused
// before they are read.
func declaredBytes(r *http.Request) int64 {
	return min(max(r.ContentLength, 0), structs.MaxRequestBody)
}

// receiveBody reads the body of a request that could be admitted now. It returns a rejection and false otherwise, or if the body
// doesn't arrive. The memory of the body is released; it counts towards that of the requests in flight from then on.
func (m *Module) receiveBody(w http.ResponseWriter, r *http.Request, request *forward.Request) (forward.Result, bool) {
	if r.ContentLength == 0 {
		return forward.Result{}, true
	}
	if err := m.inFlight.Check(m.newReservation(request, declaredBytes(r))); err != nil {
		return m.rejected(err), false
	}
	result, ok := m.readBody(w, r, request)
	ingress.ReleaseBody(r)
	return result, ok
}

// readBody reads the whole body before the deadline of the request, within the limits on incomplete bodies. It returns a rejection
// and false if the body is too large, doesn't arrive in time or has no room.
func (m *Module) readBody(w http.ResponseWriter, r *http.Request, request *forward.Request) (forward.Result, bool) {
	ingress.SetBodyDeadline(r, request.Deadline)
	body, err := ingress.ReadBody(w, r, structs.MaxRequestBody)
	if err == nil {
		request.Body = body
		return forward.Result{}, true
	}
	if errors.Is(err, ingress.ErrRefused) {
		m.metrics.limited.Inc(1)
		m.metrics.memoryLimited.Inc(1)
		return notRun(http.StatusServiceUnavailable, "the bodies of other requests leave no room at the entry", incompleteRetryAfter), false
	}
	m.metrics.malformed.Inc(1)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return notRun(http.StatusRequestEntityTooLarge, "the body is over 1 MiB", 0), false
	case errors.Is(err, ingress.ErrStalled):
		return notRun(http.StatusBadRequest, "the body did not arrive in time", 0), false
	}
	return notRun(http.StatusBadRequest, "the body did not arrive: "+err.Error(), 0), false
}

// incompleteRetryAfter is the Retry-After of a request that finds no room because of incomplete bodies. It is the least that the header
// can state: memory of bodies that stop is free again sooner.
const incompleteRetryAfter = ingress.RetryAfterSeconds * time.Second
