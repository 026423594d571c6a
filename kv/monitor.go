package kv

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// healthyFor is how long a store counts as reachable after an answer. Watches of the configuration are answered at least
// every 0.7 s while it is.
const healthyFor = 1500 * time.Millisecond

// failuresInARow is how many calls without a useful answer, with none between that had one, make a store count as away. What
// is sent to a store that is going away may have been done or not, and its client can't be told.
const failuresInARow = 2

// Monitor passes calls on and remembers when the store last answered.
type Monitor struct {
	store    Store
	started  time.Time
	answered atomic.Int64
	failures atomic.Int32
}

// NewMonitor returns a monitor of a store. The store counts as reachable at first.
func NewMonitor(store Store) *Monitor {
	return &Monitor{store: store, started: time.Now()}
}

// Healthy tells whether the store has answered recently.
func (m *Monitor) Healthy() bool {
	return m.failures.Load() < failuresInARow && m.Age() < healthyFor
}

// Age returns the time since the store last answered.
func (m *Monitor) Age() time.Duration {
	return time.Since(m.started) - time.Duration(m.answered.Load())
}

// note remembers the result of a call. A store that says it can't serve has answered, but is of no use. A call that its
// caller has given up tells nothing.
func (m *Monitor) note(ctx context.Context, err error) {
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseNotFound), errors.Is(err, ErrCompacted):
		m.answered.Store(int64(time.Since(m.started)))
		m.failures.Store(0)
	case ctx.Err() == nil:
		m.failures.Add(1)
	}
}

// Get implements Store.
func (m *Monitor) Get(ctx context.Context, key string) (Item, bool, int64, error) {
	item, found, revision, err := m.store.Get(ctx, key)
	m.note(ctx, err)
	return item, found, revision, err
}

// List implements Store.
func (m *Monitor) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	items, revision, err := m.store.List(ctx, prefix)
	m.note(ctx, err)
	return items, revision, err
}

// Watch implements Store.
func (m *Monitor) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	events, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.note(ctx, err)
	return events, revision, err
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, t Transaction) (int64, error) {
	revision, err := m.store.Commit(ctx, t)
	m.note(ctx, err)
	return revision, err
}

// Grant implements Store.
func (m *Monitor) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := m.store.Grant(ctx, ttl)
	m.note(ctx, err)
	return lease, err
}

// KeepAlive implements Store.
func (m *Monitor) KeepAlive(ctx context.Context, id int64) error {
	err := m.store.KeepAlive(ctx, id)
	m.note(ctx, err)
	return err
}

// Revoke implements Store.
func (m *Monitor) Revoke(ctx context.Context, id int64) error {
	err := m.store.Revoke(ctx, id)
	m.note(ctx, err)
	return err
}
