package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

const (
	// DefaultCallTimeout is the timeout of one call. It is shorter than the lease of 2 s that agents renew.
	DefaultCallTimeout = time.Second
	// maxResponseBytes is the maximum size of a response; the status of one task takes about 1 KB.
	maxResponseBytes = 8 << 20
	// maxConnections is the maximum number of connections to the worker.
	maxConnections = 4
)

// Client calls the task API of a worker over HTTP. It doesn't retry failed calls. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
}

var _ Worker = (*Client)(nil)

// NewClient returns a client for the worker at the address. A timeout of 0 means DefaultCallTimeout.
func NewClient(address netip.AddrPort, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	return &Client{
		base: "http://" + address.String(), timeout: timeout,
		transport: &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrRejected, err)
		}
		payload = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	// Without GetBody the transport can't resend the request after a reused connection breaks.
	request.GetBody = nil
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if ctx.Err() != nil {
			c.transport.CloseIdleConnections()
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		var message ErrorReply
		_ = json.Unmarshal(raw, &message)
		return fmt.Errorf("%w: %s %s: %s", errorForStatus(response.StatusCode), method, path, message.Error)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

func taskPath(id, action string) string {
	path := "/v1/tasks/" + url.PathEscape(id)
	if action != "" {
		path += "/" + action
	}
	return path
}

// Start implements Worker.
func (c *Client) Start(ctx context.Context, spec TaskSpec) error {
	return c.call(ctx, http.MethodPost, "/v1/tasks", spec, nil)
}

// Renew implements Worker.
func (c *Client) Renew(ctx context.Context, id string, lease time.Duration) error {
	return c.call(ctx, http.MethodPut, taskPath(id, "lease"), LeaseRequest{LeaseMillis: lease.Milliseconds()}, nil)
}

// Throttle implements Worker.
func (c *Client) Throttle(ctx context.Context, id string, share float64) error {
	return c.call(ctx, http.MethodPut, taskPath(id, "throttle"), ThrottleRequest{Share: share}, nil)
}

// Checkpoint implements Worker.
func (c *Client) Checkpoint(ctx context.Context, id string) (string, error) {
	var reply CheckpointReply
	err := c.call(ctx, http.MethodPost, taskPath(id, "checkpoint"), nil, &reply)
	return reply.CheckpointID, err
}

// Stop implements Worker.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, taskPath(id, ""), nil, nil)
}

// Status implements Worker.
func (c *Client) Status(ctx context.Context) ([]TaskStatus, error) {
	var reply StatusReply
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &reply)
	return reply.Tasks, err
}
