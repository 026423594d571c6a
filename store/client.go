package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Timeouts and size limits of the client.
const (
	// DefaultCallTimeout is the timeout of a call while the service responds in time. It is well below the 3 s lease TTL of
	// shard owners, so that a call can be retried before the lease lapses.
	DefaultCallTimeout = time.Second
	// maxTimeoutFactor limits the adaptive timeout to this multiple of CallTimeout. Slower responses would be older than the
	// 3 s for which a configuration counts as current, so nothing could be started with them.
	maxTimeoutFactor = 4
	// DefaultWatchTimeout is how long one watch request waits for a change.
	DefaultWatchTimeout = 20 * time.Second
	// maxConnections limits the connections to the service; further calls wait for a free one within their timeout.
	maxConnections = 32
	// maxReplyBytes limits the size of a response. A list of 25,000 jobs of 1 KB each takes about 35 MB in base64.
	maxReplyBytes = 64 << 20
	// watchResponseMargin is added to the requested wait to get the timeout of a watch request.
	watchResponseMargin = time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Address is the IP address and port of the service.
	Address netip.AddrPort
	// CallTimeout is the timeout of each call except Watch; 0 means DefaultCallTimeout. The effective timeout grows up to
	// four times this value while the service is slow.
	CallTimeout time.Duration
	// WatchTimeout limits how long Watch waits for a change; 0 means DefaultWatchTimeout.
	WatchTimeout time.Duration
	// Observe, if set, is called after each call.
	Observe func(op Operation, result Result, elapsed time.Duration)
}

// Client calls the platform's key-value service over HTTP. It never retries a write. It is safe for concurrent use.
type Client struct {
	options   ClientOptions
	baseURL   string
	transport *http.Transport
	counters  Counters
	// timeout is the current call timeout in nanoseconds, see adaptTimeout.
	timeout atomic.Int64
}

var _ Store = (*Client)(nil)

// CallError describes a failed call. With errors.Is it matches Kind, which is one of the errors of this package, and Cause.
type CallError struct {
	Operation Operation
	Key       string
	Kind      error
	Cause     error
}

// Error returns the kind, the operation, the key and the cause.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%v: %s %q", e.Kind, e.Operation, e.Key)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// NewClient returns a client. Connections are opened when they are first needed.
func NewClient(options ClientOptions) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.WatchTimeout == 0 {
		options.WatchTimeout = DefaultWatchTimeout
	}
	c := &Client{
		options: options,
		baseURL: "http://" + options.Address.String(),
		transport: &http.Transport{
			MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections, IdleConnTimeout: time.Minute,
			DisableCompression: true,
		},
	}
	c.timeout.Store(int64(options.CallTimeout))
	return c
}

// adaptTimeout adjusts the timeout of later calls to the duration of a call. With a fixed timeout, a service that responds
// slightly too late would be unusable, although its writes take effect.
func (c *Client) adaptTimeout(timeout, elapsed time.Duration, answered bool) {
	next := 2 * elapsed
	if !answered {
		if elapsed < timeout {
			return
		}
		next = 2 * timeout
	}
	c.timeout.Store(int64(min(max(next, c.options.CallTimeout), maxTimeoutFactor*c.options.CallTimeout)))
}

// Counters returns the counts of all calls so far.
func (c *Client) Counters() *Counters { return &c.counters }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// call describes one HTTP exchange.
type call struct {
	op      Operation
	key     string
	method  string
	path    string
	body    any
	reply   any
	timeout time.Duration
}

func (c *Client) do(ctx context.Context, request call) error {
	started := time.Now()
	adaptive := request.timeout == 0
	if adaptive {
		request.timeout = time.Duration(c.timeout.Load())
	}
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	kind, cause := c.roundTrip(ctx, request)
	if adaptive {
		answered := !errors.Is(kind, ErrUnavailable) && !errors.Is(kind, ErrUnknownResult)
		c.adaptTimeout(request.timeout, time.Since(started), answered)
	}
	result := ResultOf(kind)
	c.counters.Add(request.op, result)
	if c.options.Observe != nil {
		c.options.Observe(request.op, result, time.Since(started))
	}
	if kind == nil {
		return nil
	}
	return &CallError{Operation: request.op, Key: request.key, Kind: kind, Cause: cause}
}

// roundTrip sends a request and decodes the response. On failure it returns the error of this package and its cause.
func (c *Client) roundTrip(ctx context.Context, request call) (kind, cause error) {
	var body io.Reader
	if request.body != nil {
		raw, err := json.Marshal(request.body)
		if err != nil {
			return ErrInvalid, err
		}
		body = bytes.NewReader(raw)
	}
	// Once the request has a connection, it may have been sent. Before that it can't have had an effect.
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(traced, request.method, c.baseURL+request.path, body)
	if err != nil {
		return ErrInvalid, err
	}
	// Without GetBody the transport can't resend the body after a reused connection breaks.
	r.GetBody = nil
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		if ctx.Err() != nil {
			// Other pooled connections may be unresponsive too.
			c.transport.CloseIdleConnections()
		}
		if connected.Load() {
			return noResponseError(request.op), err
		}
		return ErrUnavailable, err
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(request, response)
}

// noResponseError returns the error for a call whose request may have reached the service but whose response was not received.
func noResponseError(op Operation) error {
	if op.IsWrite() {
		return ErrUnknownResult
	}
	return ErrUnavailable
}

func readReply(request call, response *http.Response) (kind, cause error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return noResponseError(request.op), err
	}
	if len(raw) > maxReplyBytes {
		return noResponseError(request.op), fmt.Errorf("response is over %d bytes", maxReplyBytes)
	}
	if response.StatusCode == http.StatusOK {
		if request.reply == nil {
			return nil, nil
		}
		if err := json.Unmarshal(raw, request.reply); err != nil {
			return noResponseError(request.op), err
		}
		return nil, nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(raw, &reply); err == nil {
		if kind := decodeError(response.StatusCode, reply.Code); kind != nil {
			return kind, nil
		}
	}
	return noResponseError(request.op), fmt.Errorf("unexpected status %d", response.StatusCode)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.do(ctx, call{op: OpGet, key: key, method: http.MethodGet, path: kvPath(key), reply: &entry})
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var reply ListReply
	path := "/v1/list?prefix=" + url.QueryEscape(prefix)
	err := c.do(ctx, call{op: OpList, key: prefix, method: http.MethodGet, path: path, reply: &reply})
	return reply.Entries, err
}

// Put implements Store. A value larger than MaxValueBytes is rejected without calling the service.
func (c *Client) Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, &CallError{Operation: OpPut, Key: key, Kind: ErrTooLarge}
	}
	var reply PutReply
	body := PutRequest{Value: value, IfRevision: opts.IfRevision, Lease: opts.Lease}
	err := c.do(ctx, call{op: OpPut, key: key, method: http.MethodPut, path: kvPath(key), body: body, reply: &reply})
	if err != nil {
		return Entry{}, err
	}
	return Entry{Key: key, Value: value, Revision: reply.Revision}, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	path := kvPath(key) + "?if_revision=" + strconv.FormatInt(ifRevision, 10)
	return c.do(ctx, call{op: OpDelete, key: key, method: http.MethodDelete, path: path})
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var reply GrantReply
	body := GrantRequest{TTLMillis: ttl.Milliseconds()}
	err := c.do(ctx, call{op: OpGrant, method: http.MethodPost, path: "/v1/leases", body: body, reply: &reply})
	return reply.ID, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	path := "/v1/leases/" + url.PathEscape(string(id))
	return c.do(ctx, call{op: OpKeepAlive, key: string(id), method: http.MethodPut, path: path})
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	path := "/v1/leases/" + url.PathEscape(string(id))
	return c.do(ctx, call{op: OpRevoke, key: string(id), method: http.MethodDelete, path: path})
}

// Watch implements Store. It waits for at most the client's watch timeout.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Entry, error) {
	wait := c.options.WatchTimeout
	query := url.Values{
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var entry Entry
	err := c.do(ctx, call{
		op: OpWatch, key: key, method: http.MethodGet, path: "/v1/watch/" + url.PathEscape(key) + "?" + query.Encode(),
		reply: &entry, timeout: wait + watchResponseMargin,
	})
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Entry{}, &CallError{Operation: OpWatch, Key: key, Kind: ErrTimeout, Cause: err}
	}
	return entry, err
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }
