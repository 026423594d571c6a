// Package rpc calls JSON APIs over HTTP. Its errors distinguish calls that had no effect from calls whose effect is unknown.
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/progress"
)

// Errors returned by Call. Compare them with errors.Is.
var (
	// ErrNotSent means that the call certainly had no effect, since no connection could be opened.
	ErrNotSent = errors.New("rpc: not sent")
	// ErrRefused is an ErrNotSent that shows that no process listens at the address.
	ErrRefused = fmt.Errorf("%w: connection refused", ErrNotSent)
	// ErrNoResponse means that no complete response was received. The call may have taken effect, or may still do so later.
	ErrNoResponse = errors.New("rpc: no answer")
)

const (
	// maxResponseBytes limits a response body unless WithMaxResponse sets another limit. A page of a list of the store may take
	// as much.
	maxResponseBytes = 16 << 20
	// firstBufferBytes is the most that is allocated for a response body before any of it has arrived.
	firstBufferBytes = 64 << 10
	// dialTimeout limits how long a connection attempt takes. Hosts that are powered off never respond to one.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnectionsPerHost limits the idle connections to one host.
	maxIdleConnectionsPerHost = 8
	// idleTimeout is how long an idle connection is kept. It is shorter than the idle timeout of the peers.
	idleTimeout = 10 * time.Second
)

// Client makes calls. It is safe for concurrent use.
type Client struct {
	http        *http.Client
	maxResponse int64
}

// NewClient returns a client with a connection pool of its own.
func NewClient() *Client { return NewLimitedClient(0) }

// NewLimitedClient returns a client that opens at most the given number of connections to a host; 0 means no limit. Further calls
// wait until a connection is free or their context ends.
func NewLimitedClient(maxConnections int) *Client { return NewDialingClient(maxConnections, Dial) }

// A DialFunc opens a connection. Its context has the values of the context of the call for which the connection is opened, but
// doesn't end with that call, since a later one may use the connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection as clients do by default.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, network, address)
}

// NewDialingClient returns a client like NewLimitedClient that opens its connections by dial. If that returns a net.OpError with the
// operation "dial", the error of the call matches ErrNotSent and wraps that error.
func NewDialingClient(maxConnections int, dial DialFunc) *Client {
	return NewClientWithTransport(&http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// NewClientWithTransport returns a client that uses the given transport.
func NewClientWithTransport(transport http.RoundTripper) *Client {
	return &Client{maxResponse: maxResponseBytes, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// WithMaxResponse returns a client with the same connections whose calls fail if the response body has more than the given number
// of bytes.
func (c *Client) WithMaxResponse(bytes int64) *Client {
	return &Client{http: c.http, maxResponse: bytes}
}

// CloseIdleConnections closes the connections in the pool that are not in use.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Response is the response to a call, with the complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode decodes the JSON body.
func (r *Response) Decode(into any) error {
	if err := Decode(r.Body, into); err != nil {
		return eris.Wrapf(err, "answer with status %d", r.Status)
	}
	return nil
}

// Call sends body as JSON, unless it is nil, and returns the response. Each part of the response body that arrives extends the
// idle timeout of package progress. Errors of sending and receiving match ErrNotSent or ErrNoResponse.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body any) (*Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := encode(body)
		if err != nil {
			return nil, eris.Wrap(err, "body of a call")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s %s: %v", method, url, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, eris.Wrapf(ErrRefused, "%s %s: %v", method, url, err)
		}
		if failedBeforeConnecting(err) {
			return nil, fmt.Errorf("%w: %s %s: %w", ErrNotSent, method, url, err)
		}
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: %v", method, url, err)
	}
	defer response.Body.Close()
	data, err := readResponse(progress.NewReader(ctx, response.Body), response.ContentLength, c.maxResponse)
	if err != nil {
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: %v", method, url, err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

// encode returns the JSON encoding of a body. It leaves <, > and & as they are: texts with many of them would take up to six times their
// length otherwise.
func encode(body any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// readResponse reads a response body of the given length, which is negative if it is unknown. A longer one than maxBytes is an
// error.
func readResponse(body io.Reader, length, maxBytes int64) ([]byte, error) {
	if length > maxBytes {
		return nil, eris.Errorf("response of %d bytes, at most %d are read", length, maxBytes)
	}
	var buffer bytes.Buffer
	if length > 0 {
		// ReadFrom needs room for one more read, at which it finds the end.
		buffer.Grow(int(min(length+bytes.MinRead, firstBufferBytes)))
	}
	if _, err := buffer.ReadFrom(io.LimitReader(body, maxBytes+1)); err != nil {
		return nil, err
	}
	if int64(buffer.Len()) > maxBytes {
		return nil, eris.Errorf("response of more than %d bytes", maxBytes)
	}
	return buffer.Bytes(), nil
}

// failedBeforeConnecting reports whether a request failed before a connection was established.
func failedBeforeConnecting(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
