// Package rpc calls JSON interfaces over HTTP and tells calls that had no effect from calls whose effect is unknown.
package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/progress"
)

// Errors of a call. Callers compare with errors.Is.
var (
	// ErrNotSent means that the call certainly had no effect, since no connection could be opened.
	ErrNotSent = errors.New("rpc: not sent")
	// ErrNoResponse means that the call may have had its effect, or may still have it.
	ErrNoResponse = errors.New("rpc: no answer")
)

const (
	// maxResponseBytes bounds the body of an answer.
	maxResponseBytes = 16 << 20
	// dialTimeout bounds the opening of a connection; hosts without power don't answer at all.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConnectionsPerHost bounds the unused connections to one host.
	maxIdleConnectionsPerHost = 8
	// idleTimeout closes connections that were not used. It is below the time after which peers close them.
	idleTimeout = 10 * time.Second
)

// Client sends calls. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client with a connection pool of its own.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return NewClientWithTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
}

// NewClientWithTransport returns a client that sends its calls over a transport.
func NewClientWithTransport(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Response is what a call returned.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode reads the JSON body.
func (r *Response) Decode(into any) error {
	if err := Decode(r.Body, into); err != nil {
		return eris.Wrapf(err, "answer with status %d", r.Status)
	}
	return nil
}

// Call sends body as JSON, unless it is nil, and returns the whole answer. What arrives of it extends the timeouts of package
// progress. Errors match ErrNotSent or ErrNoAnswer.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body any) (*Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
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
		if failedBeforeConnecting(err) {
			return nil, eris.Wrapf(ErrNotSent, "%s %s: %v", method, url, err)
		}
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: %v", method, url, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(progress.NewReader(ctx, response.Body), maxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(ErrNoResponse, "%s %s: %v", method, url, err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

// failedBeforeConnecting tells whether an error arose before a connection existed.
func failedBeforeConnecting(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
