package requests

import (
	"io"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Limits on reading the rest of a body that wasn't fully read when the response is due.
const (
	// maxDiscardBytes and discardBeforeTimeout limit how much is read before the response, and for how long. Most bodies
	// have arrived together with the headers, so that the connection can be reused.
	maxDiscardBytes      = 64 << 10
	discardBeforeTimeout = 10 * time.Millisecond
	// discardAfterTimeout limits how long package http may read after the response. If a connection is closed with unread
	// bytes, it is reset, and the caller may lose the response.
	discardAfterTimeout = time.Second
)

// callerBody is the body of a caller's request. It records whether the body was read to its end.
type callerBody struct {
	io.ReadCloser
	writer   http.ResponseWriter
	complete bool
	// reservation is the memory that the request holds, or nil before admission.
	reservation *limit.Reservation
}

// release frees the memory that the request holds.
func (b *callerBody) release() {
	if b.reservation != nil {
		b.reservation.Release()
	}
}

// chunkedBodyMemory is the memory that a body of unknown length may take while it is read: the buffer, and its previous copy
// while the buffer grows.
const chunkedBodyMemory = 2 * structs.MaxRequestBody

// requestMemory returns the memory that the body and headers of a request take, in bytes.
func requestMemory(r *http.Request, request *forward.Request) int64 {
	if r.ContentLength < 0 {
		return int64(headerBytes(request.Header)) + chunkedBodyMemory
	}
	// Larger bodies are rejected before they are read.
	return int64(headerBytes(request.Header)) + min(r.ContentLength, structs.MaxRequestBody)
}

// newCallerBody wraps the body of the request, whose memory and time are limited here.
func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	ingress.ExemptBody(r)
	b := &callerBody{ReadCloser: r.Body, writer: w, complete: r.ContentLength == 0}
	r.Body = b
	return b
}

// Read implements io.Reader and detects the end of the body.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		// If the read deadline stayed set, package http would cancel the request as if the caller had disconnected.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline sets the deadline for reading the body; the zero time means none.
func (b *callerBody) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(b.writer).SetReadDeadline(deadline)
}

// discardUnread prepares the response to a request whose body may not have been fully read. If the rest of the body is not
// small or doesn't arrive soon, the connection is closed after the response. Without this, package http would read the body
// before it sends the response, and a caller that sends slowly would get a rejection late or never. Full duplex doesn't
// help, because package http panics when it reaches the end of a body after the response (invalid concurrent Body.Read
// call).
func (b *callerBody) discardUnread() {
	if b.complete {
		return
	}
	b.setReadDeadline(time.Now().Add(discardBeforeTimeout))
	_, _ = io.CopyN(io.Discard, b, maxDiscardBytes)
	if b.complete {
		return
	}
	b.writer.Header().Set("Connection", "close")
	b.setReadDeadline(time.Now().Add(discardAfterTimeout))
}

// read reads the whole body before the deadline of the request. It returns a rejection and false if the body is too large or
// doesn't arrive in time.
func (b *callerBody) read(r *http.Request, request *forward.Request) (forward.Result, bool) {
	if r.ContentLength > structs.MaxRequestBody {
		return notRun(http.StatusRequestEntityTooLarge, "the body is over 1 MiB", 0), false
	}
	if b.complete {
		return forward.Result{}, true
	}
	b.setReadDeadline(request.Deadline)
	body, err := b.readAll(r.ContentLength)
	switch {
	case err != nil:
		return notRun(http.StatusBadRequest, "the body did not arrive: "+err.Error(), 0), false
	case len(body) > structs.MaxRequestBody:
		return notRun(http.StatusRequestEntityTooLarge, "the body is over 1 MiB", 0), false
	}
	request.Body = body
	b.reservation.ShrinkBody(int64(headerBytes(request.Header) + len(body)))
	return forward.Result{}, true
}

// readAll reads the whole body. If its length is known, it allocates only that much memory.
func (b *callerBody) readAll(length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(b, structs.MaxRequestBody+1))
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(b, body); err != nil {
		return nil, err
	}
	// Read on to the end of the body, because complete is only set there.
	_, err := b.Read(make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return body, err
}
