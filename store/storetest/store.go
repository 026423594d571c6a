// Package storetest provides an in-memory implementation of the platform's key-value service with fault injection.
package storetest

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/store"
)

// expiryInterval is how often a pending watch checks for lapsed leases.
const expiryInterval = 20 * time.Millisecond

type record struct {
	value    []byte
	revision int64
	lease    store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory store.Store. Leases lapse according to its clock, even while the store is down. It is safe for
// concurrent use.
type Store struct {
	clock clock.Clock

	mu         sync.Mutex
	revision   int64
	entries    map[string]record
	leases     map[store.LeaseID]lease
	leaseCount int64
	// changed is closed and replaced when an entry or the faults change.
	changed    chan struct{}
	faults     Faults
	putFaults  []WriteFault
	heldWrites []func()
	counters   store.Counters
	onCommit   func(store.Entry)
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(c clock.Clock) *Store {
	return &Store{
		clock: c, entries: map[string]record{}, leases: map[store.LeaseID]lease{}, changed: make(chan struct{}),
	}
}

// Counters returns the counts of all calls so far.
func (s *Store) Counters() *store.Counters { return &s.counters }

// CountKeys returns the number of keys with a prefix. It doesn't count as a call.
func (s *Store) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	count := 0
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// LeaseTTLs returns the times to live of the current leases in no particular order. It doesn't count as a call.
func (s *Store) LeaseTTLs() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	times := make([]time.Duration, 0, len(s.leases))
	for _, found := range s.leases {
		times = append(times, found.ttl)
	}
	return times
}

// ExpireLeases ends all leases and deletes the keys attached to them, as if they had lapsed.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// OnCommit sets a function that is called with each entry when its Put takes effect. It must not call the store.
func (s *Store) OnCommit(f func(store.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCommit = f
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry store.Entry
	err := s.read(ctx, store.OpGet, func() error {
		found, ok := s.entries[key]
		if !ok {
			return store.ErrNotFound
		}
		entry = found.entry(key)
		return nil
	})
	return entry, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	var listed []store.Entry
	err := s.read(ctx, store.OpList, func() error {
		for key, found := range s.entries {
			if strings.HasPrefix(key, prefix) {
				listed = append(listed, found.entry(key))
			}
		}
		slices.SortFunc(listed, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return listed, err
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	entry := store.Entry{Key: key, Value: slices.Clone(value)}
	err := s.write(ctx, store.OpPut, func() error {
		if len(value) > store.MaxValueBytes {
			return store.ErrTooLarge
		}
		if !s.matches(key, opts.IfRevision) {
			return store.ErrConflict
		}
		if _, ok := s.leases[opts.Lease]; opts.Lease != "" && !ok {
			return store.ErrLeaseNotFound
		}
		s.revision++
		entry.Revision = s.revision
		s.entries[key] = record{value: slices.Clone(entry.Value), revision: s.revision, lease: opts.Lease}
		if s.onCommit != nil {
			s.onCommit(s.entries[key].entry(key))
		}
		s.notifyWatches()
		return nil
	})
	if err != nil {
		return store.Entry{}, err
	}
	return entry, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, ifRevision int64) error {
	return s.write(ctx, store.OpDelete, func() error {
		if _, ok := s.entries[key]; !ok {
			return store.ErrNotFound
		}
		if !s.matches(key, ifRevision) {
			return store.ErrConflict
		}
		s.deleteKey(key)
		return nil
	})
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := s.write(ctx, store.OpGrant, func() error {
		if ttl <= 0 {
			return store.ErrInvalid
		}
		s.leaseCount++
		id = store.LeaseID(fmt.Sprintf("lease-%d", s.leaseCount))
		s.leases[id] = lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpKeepAlive, func() error {
		found, ok := s.leases[id]
		if !ok {
			return store.ErrLeaseNotFound
		}
		found.expires = s.clock.Now().Add(found.ttl)
		s.leases[id] = found
		return nil
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpRevoke, func() error {
		if _, ok := s.leases[id]; !ok {
			return store.ErrLeaseNotFound
		}
		s.endLease(id)
		return nil
	})
}

// Watch implements store.Store. It returns ErrTimeout if ctx ends before a change.
func (s *Store) Watch(ctx context.Context, key string, after int64) (store.Entry, error) {
	for counted := false; ; counted = true {
		var entry store.Entry
		var changed chan struct{}
		query := func() error {
			changed = s.changed
			found, ok := s.entries[key]
			switch {
			case !ok && after > 0:
				return store.ErrNotFound
			case ok && found.revision > after:
				entry = found.entry(key)
			}
			return nil
		}
		if err := s.readForWatch(ctx, counted, query); err != nil || entry.Revision > 0 {
			return entry, err
		}
		timer := time.NewTimer(expiryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return store.Entry{}, store.ErrTimeout
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Store) readForWatch(ctx context.Context, counted bool, query func() error) error {
	if !counted {
		return s.read(ctx, store.OpWatch, query)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.faults.ReadsDown {
		return store.ErrUnavailable
	}
	s.expire()
	return query()
}

func (r record) entry(key string) store.Entry {
	return store.Entry{Key: key, Value: slices.Clone(r.value), Revision: r.revision}
}

func (s *Store) matches(key string, ifRevision int64) bool {
	return ifRevision == store.AnyRevision || s.entries[key].revision == ifRevision
}

// deleteKey deletes a key. It increments the store-wide revision, so that a key that is created again never gets a revision
// that it had before.
func (s *Store) deleteKey(key string) {
	s.revision++
	delete(s.entries, key)
	s.notifyWatches()
}

func (s *Store) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, found := range s.entries {
		if found.lease == id {
			s.deleteKey(key)
		}
	}
}

// expire ends the leases that have lapsed. The caller holds the lock.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, found := range s.leases {
		if !now.Before(found.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
