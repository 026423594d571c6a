package requests

import (
	"io"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of the handling of a body that was not read when the response is sent.
const (
	// maxDiscardBytes is how many bytes of it are read before the response, and briefTime for how long. Most bodies have arrived
	// with the headers, and the connection then stays usable.
	maxDiscardBytes      = 64 << 10
	discardBeforeTimeout = 10 * time.Millisecond
	// discardAfterTimeout is how long package http may read after the response. A connection that is closed with unread bytes is
	// reset, and the caller may then lose the response.
	discardAfterTimeout = time.Second
)

// callerBody is the body of a caller's request; it remembers whether all of it was read.
type callerBody struct {
	io.ReadCloser
	writer   http.ResponseWriter
	complete bool
	// reservation is what the request holds in memory, nil before admission.
	reservation *limit.Reservation
}

// release gives back what the request holds in memory.
func (b *callerBody) release() {
	if b.reservation != nil {
		b.reservation.Release()
	}
}

// chunkedBodyMemory is what a body without a length takes while it is read: a buffer that has grown, and its last copy.
const chunkedBodyMemory = 2 * structs.MaxRequestBody

// requestMemory returns what the body and the headers of a request take.
func requestMemory(r *http.Request, request *forward.Request) int64 {
	if r.ContentLength < 0 {
		return int64(headerBytes(request.Header)) + chunkedBodyMemory
	}
	// Larger bodies are refused before they are read.
	return int64(headerBytes(request.Header)) + min(r.ContentLength, structs.MaxRequestBody)
}

// newCallerBody takes over the body of a request.
func newCallerBody(w http.ResponseWriter, r *http.Request) *callerBody {
	b := &callerBody{ReadCloser: r.Body, writer: w, complete: r.ContentLength == 0}
	r.Body = b
	return b
}

// Read reads from the body.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		// A read deadline that stays set would end the request as if the caller had disconnected.
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline sets until when the body may be read.
func (b *callerBody) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(b.writer).SetReadDeadline(deadline)
}

// discardUnread prepares the response to a request whose body may not have been read. If it is not small, or late, the
// connection is closed after the response. Otherwise package http would read the body before it sends the response, so
// that a caller who sends slowly would get a rejection late or never. Full duplex is no way out: that package panics when
// it comes to the end of a body after the response (invalid concurrent Body.Read call).
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

// read reads the whole body, of at most the size that a request may have, until its deadline.
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

// readAll reads the body. With a length it takes no more memory than the length.
func (b *callerBody) readAll(length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(b, structs.MaxRequestBody+1))
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(b, body); err != nil {
		return nil, err
	}
	// The end is read too, since only then the body counts as whole.
	_, err := b.Read(make([]byte, 1))
	if err == io.EOF {
		err = nil
	}
	return body, err
}
