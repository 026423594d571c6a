package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// firstPieceBytes and maxPieceBytes are the sizes of the first and of the largest buffers for a body of unknown length.
const (
	firstPieceBytes = 512
	maxPieceBytes   = 128 << 10
)

// ReadBody reads the body of a request and reserves the memory for it first. The error matches ErrRefused, ErrStalled or
// *http.MaxBytesError, or is that of the connection. After an error, the connection is closed once the response has been sent.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	b, _ := r.Body.(*body)
	data, err := readBody(w, r, b, maxBytes)
	if err == nil {
		return data, nil
	}
	var tooLong *http.MaxBytesError
	if b != nil && errors.As(err, &tooLong) {
		b.limiter.events.record(bodyTooLong, "limit_bytes", maxBytes, "declared_bytes", r.ContentLength)
	}
	refuseRest(w, b)
	return nil, err
}

// refuseRest lets package http close the connection soon after the response, which is about to be sent.
func refuseRest(w http.ResponseWriter, b *body) {
	w.Header().Set("Connection", "close")
	if b == nil {
		return
	}
	b.refused = true
	if b.conn != nil {
		b.conn.linger(time.Now(), lingerTime)
	}
}

// DiscardBody prepares the response to a request whose body may not have been read to its end. It reads up to maxBytes of the rest
// for up to limit, so that the connection can be used again; if there is more, the connection is closed after the response. Without
// this, package http would wait for the rest before it sends the response.
func DiscardBody(w http.ResponseWriter, r *http.Request, maxBytes int64, limit time.Duration) {
	b, ok := r.Body.(*body)
	if !ok || b.ended {
		return
	}
	b.release()
	b.refused = true
	if b.conn != nil {
		b.conn.linger(time.Now(), limit)
	}
	if _, err := io.CopyN(io.Discard, b, maxBytes); err != io.EOF {
		refuseRest(w, b)
	}
}

func readBody(w http.ResponseWriter, r *http.Request, b *body, maxBytes int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	reader := http.MaxBytesReader(w, r.Body, maxBytes)
	if r.ContentLength < 0 {
		return readPieces(reader, b, maxBytes)
	}
	data, err := readPiece(reader, b, r.ContentLength)
	if err == nil {
		err = readEnd(reader)
	}
	return data, ignoreEnd(err)
}

// readPieces reads a body of unknown length into pieces that grow, and joins them once it is complete. A single buffer that grows
// would leave its former copies to the garbage collector, although most bodies of untrusted clients are never complete.
func readPieces(r io.Reader, b *body, maxBytes int64) ([]byte, error) {
	var pieces [][]byte
	for size, total := int64(firstPieceBytes), int64(0); total < maxBytes; size = min(2*size, maxPieceBytes) {
		piece, err := readPiece(r, b, min(size, maxBytes-total))
		total += int64(len(piece))
		pieces = append(pieces, piece)
		if err == io.EOF {
			return join(b, pieces)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := ignoreEnd(readEnd(r)); err != nil {
		return nil, err
	}
	return join(b, pieces)
}

// readPiece reserves and reads size bytes. The error is io.EOF if there are fewer, or if the end is known to follow.
func readPiece(r io.Reader, b *body, size int64) ([]byte, error) {
	if b != nil {
		if err := b.reserve(size); err != nil {
			return nil, err
		}
	}
	piece := make([]byte, 0, size)
	for int64(len(piece)) < size {
		n, err := r.Read(piece[len(piece):size])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// join returns the content of the pieces. Their memory is released once they are copied.
func join(b *body, pieces [][]byte) ([]byte, error) {
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	length, size := 0, 0
	for _, piece := range pieces {
		length, size = length+len(piece), size+cap(piece)
	}
	if b != nil {
		if err := b.limiter.grow(b, int64(length)); err != nil {
			return nil, err
		}
	}
	data := bytes.Join(pieces, nil)
	if b != nil && b.reservation != nil {
		b.reservation.ShrinkBody(b.reservation.HeldBody() - int64(size))
	}
	return data, nil
}

func ignoreEnd(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// readEnd reads the end of a body whose bytes have all been read. The error is io.EOF if nothing follows.
func readEnd(r io.Reader) error {
	var next [1]byte
	for {
		if n, err := r.Read(next[:]); err != nil {
			return err
		} else if n > 0 {
			return io.ErrShortBuffer
		}
	}
}
