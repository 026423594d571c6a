// Package idempotencytest has a store in memory whose writes can be refused, lost or delayed.
package idempotencytest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/store"
)

// Fault is what goes wrong with one write.
type Fault int

// The faults of a write.
const (
	Works Fault = iota
	// Down refuses the write.
	Down
	// LosesResponse applies the write and reports an unknown result; LosesRequest doesn't apply it.
	LosesResponse
	LosesRequest
	// AppliesLate reports an unknown result and applies the write at ApplyLate.
	AppliesLate
	faults
)

// Faults is the number of faults.
const Faults = int(faults)

// Store has the calls that package idempotency uses. It is safe for concurrent use.
type Store struct {
	// Store is nil: a call that isn't overridden panics.
	store.Store

	mu        sync.Mutex
	entries   map[string]store.Entry
	revision  int64
	leases    map[store.LeaseID]time.Duration
	granted   int
	script    []Fault
	readsDown bool
	late      []func()
}

// New returns an empty store that works.
func New() *Store {
	return &Store{entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Duration{}}
}

// Script sets the faults of the next writes; later ones work.
func (s *Store) Script(script ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// SetReadsDown makes reads fail, or work again.
func (s *Store) SetReadsDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsDown = down
}

// Leases returns the times to live of the granted leases.
func (s *Store) Leases() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.leases))
}

// LoseLeases makes the store forget all leases.
func (s *Store) LoseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.leases)
}

// Keys returns the number of keys.
func (s *Store) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// ApplyLate applies the delayed writes.
func (s *Store) ApplyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// Get returns the entry of a key.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsDown {
		return store.Entry{}, store.ErrUnavailable
	}
	entry, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

// Grant creates a lease that never lapses by itself.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := store.LeaseID(fmt.Sprint(s.granted))
	s.leases[id] = ttl
	return id, nil
}

// Put writes a value with the next fault of the script.
func (s *Store) Put(_ context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := Works
	if len(s.script) > 0 {
		fault, s.script = s.script[0], s.script[1:]
	}
	switch fault {
	case Down:
		return store.Entry{}, store.ErrUnavailable
	case LosesRequest:
		return store.Entry{}, store.ErrUnknownResult
	case AppliesLate:
		s.late = append(s.late, func() { _, _ = s.apply(key, value, opts) })
		return store.Entry{}, store.ErrUnknownResult
	case LosesResponse:
		_, _ = s.apply(key, value, opts)
		return store.Entry{}, store.ErrUnknownResult
	}
	return s.apply(key, value, opts)
}

func (s *Store) apply(key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	if _, ok := s.leases[opts.Lease]; !ok {
		return store.Entry{}, store.ErrLeaseNotFound
	}
	if opts.IfRevision != store.AnyRevision && s.entries[key].Revision != opts.IfRevision {
		return store.Entry{}, store.ErrConflict
	}
	s.revision++
	entry := store.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = entry
	return entry, nil
}
