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

// Response is one whole HTTP response.
type Response struct {
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
	// inactivityTimeout is how long the peer may send nothing, and how long a write may make no progress.
	inactivityTimeout time.Duration
	// remainingBytes is how many more bytes the current response may have.
	remainingBytes int
	// wroteAny tells that a part of the current request was sent.
	wroteAny bool
	// generation is that of the peer when the connection was opened.
	generation int
}

func newConn(raw net.Conn, address string, inactivityTimeout time.Duration) *conn {
	c := &conn{raw: raw, address: address, inactivityTimeout: inactivityTimeout}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(connWriter{c}, writeBufferBytes)
	return c
}

type connReader struct{ c *conn }

// Read waits for at most the silence limit.
func (r connReader) Read(p []byte) (int, error) {
	if r.c.remainingBytes <= 0 {
		return 0, &ExchangeError{Kind: FaultOversized}
	}
	if err := r.c.raw.SetReadDeadline(time.Now().Add(r.c.inactivityTimeout)); err != nil {
		return 0, err
	}
	n, err := r.c.raw.Read(p[:min(len(p), r.c.remainingBytes)])
	r.c.remainingBytes -= n
	return n, err
}

type connWriter struct{ c *conn }

func (w connWriter) Write(p []byte) (int, error) {
	if err := w.c.raw.SetWriteDeadline(time.Now().Add(w.c.inactivityTimeout)); err != nil {
		return 0, err
	}
	n, err := w.c.raw.Write(p)
	if n > 0 {
		w.c.wroteAny = true
	}
	return n, err
}

// roundTrip sends one request and reads its final response. Interim responses go to interim, which may be nil. Unless
// reusable is true the connection must be closed. A canceled ctx closes the connection. Before a body is read, take is
// asked for room for the response; an error of it ends the exchange.
func (c *conn) roundTrip(
	ctx context.Context, request *http.Request, interim func(http.Header), reserve func(bytes int64) error,
) (m *Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer func() {
		if !stop() {
			reusable = false
			if err != nil {
				err = &ExchangeError{Kind: FaultCancelled, Cause: context.Cause(ctx)}
			}
		}
	}()
	c.wroteAny = false
	c.remainingBytes = maxHeaderBytes
	writeErr := request.Write(c.writer)
	if writeErr == nil {
		writeErr = c.writer.Flush()
	}
	if writeErr != nil && !c.wroteAny {
		return nil, false, &ExchangeError{Kind: FaultNotSent, Cause: writeErr}
	}
	// After a failed write the agent may still have answered: it rejects a request before it has read all of it.
	m, reusable, err = c.readFinalResponse(request, interim, reserve)
	if err != nil && writeErr != nil {
		return nil, false, classify(writeErr)
	}
	return m, reusable && writeErr == nil, err
}

func (c *conn) readFinalResponse(
	request *http.Request, interim func(http.Header), reserve func(bytes int64) error,
) (*Response, bool, error) {
	for {
		c.remainingBytes = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, classify(err)
		}
		if response.StatusCode < 100 || response.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, &ExchangeError{Kind: FaultMalformed, Cause: eris.Errorf("status %d", response.StatusCode)}
		}
		if response.StatusCode < 200 {
			if interim != nil {
				interim(response.Header)
			}
			continue
		}
		return c.readBody(response, reserve)
	}
}

// readBody reads a body of a declared length. A response without one can't be told from a truncated one.
func (c *conn) readBody(response *http.Response, reserve func(bytes int64) error) (*Response, bool, error) {
	length := response.ContentLength
	switch {
	case response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified:
		length = 0
	case length < 0:
		return nil, false, &ExchangeError{Kind: FaultMalformed, Cause: eris.New("the response has no Content-Length")}
	case length > structs.MaxAnswerBody:
		return nil, false, &ExchangeError{Kind: FaultOversized}
	}
	if err := reserve(length + headerBytes(response.Header)); err != nil {
		return nil, false, &ExchangeError{Kind: FaultCancelled, Cause: err}
	}
	c.remainingBytes = int(length)
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, false, &ExchangeError{Kind: FaultTruncated, Cause: err}
	} else if err != nil {
		return nil, false, classify(err)
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
}

// classify names the fault of a connection on which at least a part of a request was sent.
func classify(err error) error {
	var exchangeErr *ExchangeError
	if errors.As(err, &exchangeErr) {
		return exchangeErr
	}
	var netErr net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()):
		return &ExchangeError{Kind: FaultTimeout, Cause: err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return &ExchangeError{Kind: FaultConnectionLost, Cause: err}
	default:
		return &ExchangeError{Kind: FaultMalformed, Cause: err}
	}
}
