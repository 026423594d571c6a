package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
	"unicode/utf8"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors of ReadBody and Charge. Compare them with errors.Is.
var (
	// ErrRefused means that the memory for bodies is exhausted.
	ErrRefused = errors.New("ingress: too many requests are being received")
	// ErrStalled means that the body made too little progress.
	ErrStalled = errors.New("ingress: the body did not arrive in time")
)

// body is the body of a request that is served through a Limiter.
type body struct {
	io.ReadCloser
	limiter *Limiter
	// conn is nil if the request was not received through a listener of the limiter.
	conn *conn
	// reservation is nil if the memory isn't limited.
	reservation *limit.Reservation
	transfer    transfer
	// large is set once more than SmallBodyBytes are to be reserved for the body itself.
	large bool
	// released is set once the memory has been released. What is read after that is dropped, and needs none.
	released bool
	// ended is set once the body has been read to its end, or a read has failed, and refused once the rest isn't needed.
	ended, refused bool
	// reserved is the part of the body that was reserved before it is read, and read how much has been read.
	reserved, read int64
}

func newBody(lim *Limiter, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, limiter: lim}
	if lim.budget != nil {
		b.reservation = lim.budget.NewReservation(structs.PriorityCritical, time.Time{}, 0)
	}
	b.transfer.body = b
	if b.conn, _ = r.Context().Value(connKey{}).(*conn); b.conn != nil {
		b.conn.begin(b)
	}
	return b
}

// priority returns the priority of a body once it holds n more bytes. Small bodies are critical, so that large ones leave them
// room.
func (b *body) priority(n int64) structs.Priority {
	if b.large || b.reservation.HeldBody()+n > smallTotalBytes {
		return structs.PriorityLow
	}
	return structs.PriorityCritical
}

// Read implements io.Reader. It reserves memory for what ReadBody has not reserved.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.ended = b.ended || err != nil
	if err == io.EOF {
		if b.conn != nil {
			b.conn.finish()
		}
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		if !b.refused {
			b.limiter.events.record(bodyStalled, "received_bytes", b.read)
		}
		err = ErrStalled
	}
	if surplus := b.read - b.reserved; surplus > 0 && !b.released {
		if reserveErr := b.reserve(surplus); reserveErr != nil {
			return n, reserveErr
		}
	}
	return n, err
}

// reserve reserves memory for n more bytes of the body itself.
func (b *body) reserve(n int64) error {
	b.large = b.large || b.reserved+n > SmallBodyBytes
	if err := b.limiter.grow(b, n); err != nil {
		return err
	}
	b.reserved += n
	return nil
}

func (b *body) release() {
	b.released = true
	if b.reservation != nil {
		b.reservation.Release()
	}
}

// SetBodyDeadline limits the time for the body of a request, in addition to the limits on its rate. A body that arrives in small
// pieces may be given up by up to minExtension earlier.
func SetBodyDeadline(r *http.Request, deadline time.Time) {
	if b, ok := r.Body.(*body); ok && b.conn != nil {
		b.conn.setBodyDeadline(deadline)
	}
}

// ReleaseBody releases the memory that is reserved for the body of a request. Handlers call it for a complete body that counts
// towards a budget of their own from then on.
func ReleaseBody(r *http.Request) {
	if b, ok := r.Body.(*body); ok {
		b.release()
	}
}

const (
	// separatorBytes and containerBytes are reserved for each comma and for each array or object of a JSON body. They are upper
	// bounds for the elements of the lists that processes exchange, while these lists grow.
	separatorBytes = 64
	containerBytes = 128
)

// ChargeJSON reserves an estimate of what decoding the JSON body of a request allocates. Each byte that is invalid UTF-8 is
// replaced by three.
func ChargeJSON(r *http.Request, data []byte) error {
	text := len(data)
	if !utf8.Valid(data) {
		text *= utf8.RuneLen(utf8.RuneError)
	}
	containers := bytes.Count(data, []byte{'['}) + bytes.Count(data, []byte{'{'})
	return Charge(r, int64(text+separatorBytes*bytes.Count(data, []byte{','})+containerBytes*containers))
}

// Charge reserves n bytes for what decoding the body of a request allocates. They are held until the request has ended.
func Charge(r *http.Request, n int64) error {
	if b, ok := r.Body.(*body); ok {
		return b.limiter.grow(b, n)
	}
	return nil
}
