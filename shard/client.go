package shard

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors returned by Client. Compare with errors.Is.
var (
	// ErrUnreachable means that the owner of a shard did not respond, so the result of the call is unknown.
	ErrUnreachable = errors.New("shard: the owner gave no response")
	// ErrNoOwner means that no owner of the shard is known; no request was sent.
	ErrNoOwner = errors.New("shard: no owner is known")
)

const (
	// callTimeout bounds a call to an owner. It is well below the task lease of 4 s, so that a retry can still renew
	// the lease.
	callTimeout = time.Second
	// lookupInterval is the minimum time between two reads of the owner key by a process that can't reach the owner.
	lookupInterval = time.Second
	// maxReplyBytes bounds a response body. It leaves room for 25,000 jobs of 200 bytes.
	maxReplyBytes = 8 << 20
)

// Client calls the API of shard owners. It is safe for concurrent use.
type Client struct {
	owners    OwnerDirectory
	store     store.Store
	clock     clock.Clock
	transport http.RoundTripper

	mu         sync.Mutex
	lastLookup map[int]time.Time
}

// NewClient returns a client that finds owners in a directory and reads the store if the directory is out of date.
func NewClient(owners OwnerDirectory, s store.Store, c clock.Clock) *Client {
	return &Client{
		owners: owners, store: s, clock: c, lastLookup: map[int]time.Time{},
		transport: &http.Transport{
			MaxIdleConnsPerHost: 4, MaxConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true,
		},
	}
}

// Heartbeat sends a heartbeat to the owner of a shard.
func (c *Client) Heartbeat(ctx context.Context, shard int, hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	var reply structs.HeartbeatReply
	err := c.callOwner(ctx, shard, http.MethodPost, "/heartbeat", hb, &reply)
	return reply, err
}

// Submit notifies the owner of a shard of a job that is already in the store.
func (c *Client) Submit(ctx context.Context, shard int, job structs.Job) error {
	return c.callOwner(ctx, shard, http.MethodPost, "/jobs", job, nil)
}

// Status returns the state of a job, or ErrUnknownJob.
func (c *Client) Status(ctx context.Context, shard int, id string) (structs.JobStatus, error) {
	var status structs.JobStatus
	err := c.callOwner(ctx, shard, http.MethodGet, "/jobs/"+id, nil, &status)
	return status, err
}

// Jobs returns the state of all jobs of a shard.
func (c *Client) Jobs(ctx context.Context, shard int) ([]structs.JobStatus, error) {
	var list structs.JobList
	err := c.callOwner(ctx, shard, http.MethodGet, "/jobs", nil, &list)
	return list.Jobs, err
}

// Cancel cancels a job. If it returns nil, the cancellation is durable.
func (c *Client) Cancel(ctx context.Context, shard int, id string) (structs.JobStatus, error) {
	var status structs.JobStatus
	err := c.callOwner(ctx, shard, http.MethodDelete, "/jobs/"+id, nil, &status)
	return status, err
}

// Epoch reads the owner key from the store and returns the owner's epoch, or 0 if there is none.
func (c *Client) Epoch(ctx context.Context, shard int) (int64, error) {
	entry, err := c.store.Get(ctx, ownerKey(shard))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrap(err, "reading the owner key")
	}
	var value ownerValue
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return 0, eris.Wrap(err, "decoding the owner key")
	}
	if value.Epoch > 0 {
		c.owners.Publish(structs.ShardOwner{Shard: shard, Epoch: value.Epoch, Address: value.Address})
	}
	return value.Epoch, nil
}

// Push sends starts to the agent at an address.
func (c *Client) Push(ctx context.Context, address string, request structs.StartRequest) error {
	return c.roundTrip(ctx, http.MethodPost, "http://"+address+"/v1/allocations", request, nil)
}

// AsyncPusher sends starts in the background, so that an unresponsive agent doesn't block the caller. It drops requests
// beyond maxPushes; the reply to the agent's next heartbeat repeats their starts.
type AsyncPusher struct {
	pusher Pusher
	slots  chan struct{}
}

// maxPushes bounds the concurrent requests.
const maxPushes = 64

// NewAsyncPusher returns a pusher that sends through p.
func NewAsyncPusher(p Pusher) *AsyncPusher {
	return &AsyncPusher{pusher: p, slots: make(chan struct{}, maxPushes)}
}

// Push implements Pusher. It returns ErrBusy if maxPushes requests are in flight.
func (a *AsyncPusher) Push(ctx context.Context, address string, request structs.StartRequest) error {
	select {
	case a.slots <- struct{}{}:
	default:
		return ErrBusy
	}
	go func() {
		defer func() { <-a.slots }()
		_ = a.pusher.Push(ctx, address, request)
	}()
	return nil
}

// callOwner calls the owner that the directory names. If that fails, it looks the owner up in the store for the next
// call.
func (c *Client) callOwner(ctx context.Context, shard int, method, path string, body, reply any) error {
	owner, known := c.owners.Lookup(shard)
	if !known {
		c.lookUpOwner(ctx, shard)
		if owner, known = c.owners.Lookup(shard); !known {
			return eris.Wrapf(ErrNoOwner, "shard %d", shard)
		}
	}
	err := c.roundTrip(ctx, method, fmt.Sprintf("http://%s/v1/shards/%d%s", owner.Address, shard, path), body, reply)
	if errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNotOwner) {
		c.lookUpOwner(ctx, shard)
	}
	return err
}

// lookUpOwner reads the owner key and updates the directory, at most once per lookupInterval and shard.
func (c *Client) lookUpOwner(ctx context.Context, shard int) {
	now := c.clock.Now()
	c.mu.Lock()
	due := now.Sub(c.lastLookup[shard]) >= lookupInterval
	if due {
		c.lastLookup[shard] = now
	}
	c.mu.Unlock()
	if due {
		_, _ = c.Epoch(ctx, shard)
	}
}

func (c *Client) roundTrip(ctx context.Context, method, url string, body, reply any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encoding a request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "building a request")
	}
	// Without GetBody the transport can't resend the body on a new connection after a reused one breaks.
	request.GetBody = nil
	// An empty value omits the header, which would make up a tenth of a heartbeat.
	request.Header.Set("User-Agent", "")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		if t, ok := c.transport.(*http.Transport); ok && ctx.Err() != nil {
			// Other pooled connections may be as unresponsive as the one that just timed out.
			t.CloseIdleConnections()
		}
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return c.decode(response.StatusCode, content, reply)
}

func (c *Client) decode(status int, content []byte, reply any) error {
	if status == http.StatusOK || status == http.StatusAccepted {
		if reply == nil {
			return nil
		}
		return eris.Wrap(json.Unmarshal(content, reply), "decoding a response")
	}
	var refusal ErrorResponse
	_ = json.Unmarshal(content, &refusal)
	if refusal.Owner != nil {
		c.owners.Publish(*refusal.Owner)
	}
	switch status {
	case http.StatusMisdirectedRequest:
		return eris.Wrap(ErrNotOwner, refusal.Error)
	case http.StatusNotFound:
		return eris.Wrap(ErrUnknownJob, refusal.Error)
	case http.StatusTooManyRequests:
		return eris.Wrap(ErrBusy, refusal.Error)
	case http.StatusGatewayTimeout:
		return eris.Wrap(ErrUnreachable, refusal.Error)
	default:
		return eris.Errorf("status %d: %s", status, refusal.Error)
	}
}
