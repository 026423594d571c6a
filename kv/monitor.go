package kv

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// healthyTimeout is how long a store counts as healthy after a response. The watches of the configuration get a response at
// least every 0.7 s from a reachable store.
const healthyTimeout = 1500 * time.Millisecond

// maxConsecutiveFailures is the number of consecutive failed calls after which a store counts as unhealthy. Calls sent to a
// store that is failing may or may not take effect, so their clients couldn't be told the result.
const maxConsecutiveFailures = 2

// Monitor is a Store that forwards calls to another one and tracks whether that is healthy.
type Monitor struct {
	store               Store
	started             time.Time
	lastResponse        atomic.Int64
	consecutiveFailures atomic.Int32
}

// NewMonitor returns a monitor of a store. The store counts as healthy at first.
func NewMonitor(store Store) *Monitor {
	return &Monitor{store: store, started: time.Now()}
}

// Healthy reports whether the store has responded recently and the latest calls have not failed.
func (m *Monitor) Healthy() bool {
	return m.consecutiveFailures.Load() < maxConsecutiveFailures && m.SinceLastResponse() < healthyTimeout
}

// SinceLastResponse returns the time since the last call to which the store responded.
func (m *Monitor) SinceLastResponse() time.Duration {
	return time.Since(m.started) - time.Duration(m.lastResponse.Load())
}

// recordResult records whether a call failed. A response that the store is unavailable counts as a failure. A call that its
// caller has cancelled counts as neither.
func (m *Monitor) recordResult(ctx context.Context, err error) {
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseNotFound), errors.Is(err, ErrCompacted):
		m.lastResponse.Store(int64(time.Since(m.started)))
		m.consecutiveFailures.Store(0)
	case ctx.Err() == nil:
		m.consecutiveFailures.Add(1)
	}
}

// Get implements Store.
func (m *Monitor) Get(ctx context.Context, key string) (Item, bool, int64, error) {
	item, found, revision, err := m.store.Get(ctx, key)
	m.recordResult(ctx, err)
	return item, found, revision, err
}

// List implements Store.
func (m *Monitor) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	items, revision, err := m.store.List(ctx, prefix)
	m.recordResult(ctx, err)
	return items, revision, err
}

// Watch implements Store.
func (m *Monitor) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	events, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.recordResult(ctx, err)
	return events, revision, err
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, t Transaction) (int64, error) {
	revision, err := m.store.Commit(ctx, t)
	m.recordResult(ctx, err)
	return revision, err
}

// Grant implements Store.
func (m *Monitor) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := m.store.Grant(ctx, ttl)
	m.recordResult(ctx, err)
	return lease, err
}

// KeepAlive implements Store.
func (m *Monitor) KeepAlive(ctx context.Context, id int64) error {
	err := m.store.KeepAlive(ctx, id)
	m.recordResult(ctx, err)
	return err
}

// Revoke implements Store.
func (m *Monitor) Revoke(ctx context.Context, id int64) error {
	err := m.store.Revoke(ctx, id)
	m.recordResult(ctx, err)
	return err
}
