package kvtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/kv"
)

const (
	// callTimeout is how long a client waits for a response.
	callTimeout = 1200 * time.Millisecond
	// expiryInterval is how often a watch checks for lapsed leases.
	expiryInterval = 50 * time.Millisecond
)

// Faults are the faults injected between a client and the store.
type Faults struct {
	// Unavailable makes calls fail at once, Unresponsive makes them time out. In both cases they have no effect.
	Unavailable, Unresponsive bool
	// ResponseLoss is the fraction of transactions whose response is lost. They take effect after CommitDelay.
	ResponseLoss float64
	CommitDelay  time.Duration
	// Delay is the latency of each call.
	Delay time.Duration
	// ListDelay is how long the response to a List takes after the store has read the items.
	ListDelay time.Duration
}

// Client is the connection of one process to a store, with its own faults. It implements kv.Store.
type Client struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// Client returns a client of the store without faults. The seed determines which responses ResponseLoss affects.
func (s *Store) Client(seed uint64) *Client {
	return &Client{store: s, random: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults replaces the faults.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// applyFaults delays or fails a call according to the faults. lost reports whether the response of a transaction is lost,
// and commitDelay how long after the call it takes effect then.
func (c *Client) applyFaults(ctx context.Context) (lost bool, commitDelay time.Duration, err error) {
	c.mu.Lock()
	f := c.faults
	lost = f.ResponseLoss > 0 && c.random.Float64() < f.ResponseLoss
	c.mu.Unlock()
	switch {
	case f.Unavailable:
		return false, 0, kv.ErrUnavailable
	case f.Unresponsive:
		return false, 0, wait(ctx, callTimeout, kv.ErrUnknown)
	}
	return lost, f.CommitDelay, wait(ctx, f.Delay, nil)
}

// wait returns result after a time, or ErrUnknown if ctx ends first.
func wait(ctx context.Context, d time.Duration, result error) error {
	if d == 0 {
		return result
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return kv.ErrUnknown
	case <-timer.C:
		return result
	}
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Item, bool, int64, error) {
	if _, _, err := c.applyFaults(ctx); err != nil {
		return kv.Item{}, false, 0, err
	}
	items, revision := c.store.list(key)
	for _, item := range items {
		if item.Key == key {
			return item, true, revision, nil
		}
	}
	return kv.Item{}, false, revision, nil
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if _, _, err := c.applyFaults(ctx); err != nil {
		return nil, 0, err
	}
	items, revision := c.store.list(prefix)
	c.mu.Lock()
	delay := c.faults.ListDelay
	c.mu.Unlock()
	return items, revision, wait(ctx, delay, nil)
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, timeout time.Duration) ([]kv.Event, int64, error) {
	if _, _, err := c.applyFaults(ctx); err != nil {
		if errors.Is(err, kv.ErrUnknown) {
			// A watch without a response ends only after its own timeout and the call timeout.
			err = wait(ctx, timeout, err)
		}
		return nil, 0, err
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		events, revision, changed, err := c.store.changesAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		expiry := time.NewTimer(expiryInterval)
		select {
		case <-ctx.Done():
			expiry.Stop()
			return nil, 0, kv.ErrUnknown
		case <-deadline.C:
			expiry.Stop()
			return nil, revision, nil
		case <-changed:
		case <-expiry.C:
		}
		expiry.Stop()
	}
}

// Commit implements kv.Store.
func (c *Client) Commit(ctx context.Context, t kv.Transaction) (int64, error) {
	lost, commitDelay, err := c.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	if !lost {
		return c.store.commit(t)
	}
	if commitDelay == 0 {
		_, _ = c.store.commit(t)
	} else {
		time.AfterFunc(commitDelay, func() { _, _ = c.store.commit(t) })
	}
	return 0, wait(ctx, callTimeout, kv.ErrUnknown)
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.Lease, error) {
	if _, _, err := c.applyFaults(ctx); err != nil {
		return kv.Lease{}, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = time.Now().Add(ttl)
	return kv.Lease{ID: s.nextLease, TTL: ttl}, nil
}

// leaseTTL is the time to live of a renewed lease, independent of the granted one. All tests use this value.
const leaseTTL = 1500 * time.Millisecond

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id int64) error {
	if _, _, err := c.applyFaults(ctx); err != nil {
		return err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, found := s.leases[id]; !found {
		return kv.ErrLeaseNotFound
	}
	s.leases[id] = time.Now().Add(leaseTTL)
	return nil
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id int64) error {
	if _, _, err := c.applyFaults(ctx); err != nil {
		return err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.leases[id]; found {
		s.leases[id] = time.Now()
	}
	s.expire()
	return nil
}
