// Package kvtest provides an in-memory key-value store with fault injection for tests.
package kvtest

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/kv"
)

// Store is an in-memory store. Each process accesses it through its own Client.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]kv.Item
	history  []kv.Event
	// compacted is the revision up to which the history was dropped.
	compacted int64
	leases    map[int64]time.Time
	nextLease int64
	changed   chan struct{}
	// commits is the number of transactions that took effect.
	commits int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, items: map[string]kv.Item{}, leases: map[int64]time.Time{}, changed: make(chan struct{})}
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Commits returns the number of transactions that took effect.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Compact drops the history. Watches from an earlier revision fail with kv.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notifyWatches()
}

// DeletePrefix deletes the keys under a prefix without a transaction.
func (s *Store) DeletePrefix(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			s.revision++
			s.delete(key)
		}
	}
	s.notifyWatches()
}

// EndLeases ends all leases before their time and deletes the keys attached to them.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = time.Now()
	}
	s.expire()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) delete(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, kv.Event{Item: kv.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// expire ends lapsed leases and deletes the keys attached to them. The caller holds the lock.
func (s *Store) expire() {
	now := time.Now()
	for id, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.revision++
				s.delete(key)
				s.notifyWatches()
			}
		}
	}
}

func (s *Store) commit(t kv.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(t.Conditions)+len(t.Puts)+len(t.Deletions) > kv.MaxTransactionRows {
		return 0, kv.ErrInvalid
	}
	for _, p := range t.Puts {
		if len(p.Value) > kv.DefaultMaxValueBytes {
			return 0, kv.ErrInvalid
		}
	}
	conflict := &kv.ConflictError{}
	failed := false
	for _, c := range t.Conditions {
		item := s.items[c.Key]
		item.Key = c.Key
		conflict.Items = append(conflict.Items, item)
		failed = failed || item.Revision != c.Revision
	}
	if failed {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return 0, kv.ErrLeaseNotFound
		}
	}
	s.revision++
	s.commits++
	for _, p := range t.Puts {
		created := s.revision
		if previous, found := s.items[p.Key]; found {
			created = previous.Created
		}
		item := kv.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision, Created: created, Lease: p.Lease}
		s.items[p.Key] = item
		s.history = append(s.history, kv.Event{Item: item})
	}
	for _, key := range t.Deletions {
		s.delete(key)
	}
	s.notifyWatches()
	return s.revision, nil
}

func (s *Store) list(prefix string) ([]kv.Item, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var items []kv.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b kv.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items, s.revision
}

// changesAfter returns the changes after a revision, the current revision, and a channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after int64) ([]kv.Event, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compacted {
		return nil, 0, nil, kv.ErrCompacted
	}
	var events []kv.Event
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}
