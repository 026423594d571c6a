package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// Larger parts of bodies bypass the buffers. With 16 KiB each, 512 requests in flight took 12 MB more.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes bounds the headers of one response; package http bounds them only in its own client.
	maxHeaderBytes = 256 << 10
)

// Message is one whole HTTP response.
type Message struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is one HTTP/1.1 connection to an agent. It is used by one goroutine at a time.
type conn struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// silence is how long the peer may send nothing, and how long a write may make no progress.
	silence time.Duration
	// allowance is how many more bytes the current response may have.
	allowance int
	// sentAny tells that a part of the current request was sent.
	sentAny bool
	// distrust is that of the peer when the connection was opened.
	distrust int
}

func newConn(raw net.Conn, address string, silence time.Duration) *conn {
	c := &conn{raw: raw, address: address, silence: silence}
	c.reader = bufio.NewReaderSize(readSide{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(writeSide{c}, writeBufferBytes)
	return c
}

type readSide struct{ c *conn }

// Read waits for at most the silence limit.
func (r readSide) Read(p []byte) (int, error) {
	if r.c.allowance <= 0 {
		return 0, &AttemptError{Kind: FaultOversized}
	}
	if err := r.c.raw.SetReadDeadline(time.Now().Add(r.c.silence)); err != nil {
		return 0, err
	}
	n, err := r.c.raw.Read(p[:min(len(p), r.c.allowance)])
	r.c.allowance -= n
	return n, err
}

type writeSide struct{ c *conn }

func (w writeSide) Write(p []byte) (int, error) {
	if err := w.c.raw.SetWriteDeadline(time.Now().Add(w.c.silence)); err != nil {
		return 0, err
	}
	n, err := w.c.raw.Write(p)
	if n > 0 {
		w.c.sentAny = true
	}
	return n, err
}

// roundTrip sends one request and reads its final response. Interim responses go to interim, which may be nil. Unless
// reusable is true the connection must be closed. A canceled ctx closes the connection. Before a body is read, take is
// asked for room for the response; an error of it ends the exchange.
func (c *conn) roundTrip(
	ctx context.Context, request *http.Request, interim func(http.Header), take func(bytes int64) error,
) (m *Message, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer func() {
		if !stop() {
			reusable = false
			if err != nil {
				err = &AttemptError{Kind: FaultCancelled, Cause: context.Cause(ctx)}
			}
		}
	}()
	c.sentAny = false
	c.allowance = maxHeaderBytes
	writeErr := request.Write(c.writer)
	if writeErr == nil {
		writeErr = c.writer.Flush()
	}
	if writeErr != nil && !c.sentAny {
		return nil, false, &AttemptError{Kind: FaultNotSent, Cause: writeErr}
	}
	// After a failed write the agent may still have answered: it rejects a request before it has read all of it.
	m, reusable, err = c.readFinal(request, interim, take)
	if err != nil && writeErr != nil {
		return nil, false, classify(writeErr)
	}
	return m, reusable && writeErr == nil, err
}

func (c *conn) readFinal(
	request *http.Request, interim func(http.Header), take func(bytes int64) error,
) (*Message, bool, error) {
	for {
		c.allowance = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, classify(err)
		}
		if response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, &AttemptError{Kind: FaultMalformed, Cause: eris.Errorf("status %d", response.StatusCode)}
		}
		if response.StatusCode < 200 {
			if interim != nil {
				interim(response.Header)
			}
			continue
		}
		return c.readBody(response, take)
	}
}

// readBody reads a body of a declared length. A response without one can't be told from a truncated one.
func (c *conn) readBody(response *http.Response, take func(bytes int64) error) (*Message, bool, error) {
	length := response.ContentLength
	switch {
	case response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified:
		length = 0
	case length < 0:
		return nil, false, &AttemptError{Kind: FaultMalformed, Cause: eris.New("the response has no Content-Length")}
	case length > structs.MaxResponseBody:
		return nil, false, &AttemptError{Kind: FaultOversized}
	}
	if err := take(length + headerBytes(response.Header)); err != nil {
		return nil, false, &AttemptError{Kind: FaultCancelled, Cause: err}
	}
	c.allowance = int(length)
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, false, &AttemptError{Kind: FaultTruncated, Cause: err}
	} else if err != nil {
		return nil, false, classify(err)
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return &Message{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
}

// classify names the fault of a connection on which at least a part of a request was sent.
func classify(err error) error {
	var known *AttemptError
	if errors.As(err, &known) {
		return known
	}
	var netErr net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()):
		return &AttemptError{Kind: FaultSilent, Cause: err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return &AttemptError{Kind: FaultBroken, Cause: err}
	default:
		return &AttemptError{Kind: FaultMalformed, Cause: err}
	}
}
