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
	// Buffers are small because reads and writes larger than a buffer bypass it. With 16 KiB each, 512 requests in
	// flight took 12 MB more.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes limits the headers of one response. Package net/http limits them only in its own client.
	maxHeaderBytes = 256 << 10
)

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is an HTTP/1.1 connection to an agent. It must be used by one goroutine at a time.
type conn struct {
	raw     net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// inactivityTimeout limits the time that a single read or write may take.
	inactivityTimeout time.Duration
	// remainingBytes is the number of bytes that may still be read for the current part of the response.
	remainingBytes int
	// wroteAny reports whether any byte of the current request was sent.
	wroteAny bool
	// generation is the agentConns generation in which the connection was opened.
	generation int
}

func newConn(raw net.Conn, address string, inactivityTimeout time.Duration) *conn {
	c := &conn{raw: raw, address: address, inactivityTimeout: inactivityTimeout}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(connWriter{c}, writeBufferBytes)
	return c
}

// connReader reads from the connection within its inactivity timeout and byte limit.
type connReader struct{ c *conn }

// Read fails with FaultOversized when the byte limit is used up.
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

// connWriter writes to the connection within its inactivity timeout.
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

// roundTrip sends one request and reads its final response. It passes the headers of 1xx responses to interim, which
// may be nil. If reusable is false, the caller must close the connection. Cancelling ctx closes the connection. Before
// a body is read, reserve is called with the size of the response; if it returns an error, the exchange fails.
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
	// After a failed write a response may still be readable, since an agent can reject a request before reading all of
	// it.
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

// readBody reads the body of a response, which must declare its length. Without a Content-Length, a truncated body
// can't be distinguished from a complete one.
func (c *conn) readBody(response *http.Response, reserve func(bytes int64) error) (*Response, bool, error) {
	length := response.ContentLength
	switch {
	case response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified:
		length = 0
	case length < 0:
		return nil, false, &ExchangeError{Kind: FaultMalformed, Cause: eris.New("the response has no Content-Length")}
	case length > structs.MaxResponseBody:
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

// classify maps an I/O or parse error to a fault. At least a part of the request must have been sent.
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
