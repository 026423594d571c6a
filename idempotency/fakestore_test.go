package idempotency

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/platform/store"
)

// storeFault is what goes wrong with one write.
type storeFault int

const (
	storeWorks storeFault = iota
	// storeDown refuses the write.
	storeDown
	// storeLosesResponse applies the write and reports an unknown result; storeLosesRequest doesn't apply it.
	storeLosesResponse
	storeLosesRequest
	// storeAppliesLate reports an unknown result and applies the write when late is called.
	storeAppliesLate
)

// fakeStore is a store in memory with the calls that this package uses.
type fakeStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision int64
	leases   map[store.LeaseID]time.Duration
	// faults are used up by writes in turn. readsDown makes reads fail.
	faults    []storeFault
	readsDown bool
	late      []func()
	puts      int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Duration{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
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

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := store.LeaseID(fmt.Sprint(len(s.leases) + 1))
	s.leases[id] = ttl
	return id, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	fault := storeWorks
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch fault {
	case storeDown:
		return store.Entry{}, store.ErrUnavailable
	case storeLosesRequest:
		return store.Entry{}, store.ErrUnknownResult
	case storeAppliesLate:
		s.late = append(s.late, func() { _, _ = s.apply(key, value, opts) })
		return store.Entry{}, store.ErrUnknownResult
	case storeLosesResponse:
		_, _ = s.apply(key, value, opts)
		return store.Entry{}, store.ErrUnknownResult
	}
	return s.apply(key, value, opts)
}

func (s *fakeStore) apply(key string, value []byte, opts store.PutOptions) (store.Entry, error) {
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

// applyLate applies the delayed writes.
func (s *fakeStore) applyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.late {
		f()
	}
	s.late = nil
}
