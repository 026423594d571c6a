// Package kv is the interface to a key-value store with conditional transactions, leases and a history of changes.
package kv

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. Callers compare with errors.Is.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("kv: condition does not hold")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("kv: unavailable")
	// ErrUnknown means that the call may have had its effect, or may still have it later.
	ErrUnknown = errors.New("kv: result unknown")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("kv: lease not found")
	// ErrCompacted means that the history after the revision is no longer available.
	ErrCompacted = errors.New("kv: history no longer available")
	// ErrInvalid means that the store rejected the form of the call.
	ErrInvalid = errors.New("kv: invalid call")
)

// MaxTransactionRows is the most conditions, writes and deletions of one transaction together.
const MaxTransactionRows = 32

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; 0 for a key that does not exist.
	Revision int64
	// Created is the store's revision at which the key was created.
	Created int64
	// Lease is the lease with which the key ends; 0 for none.
	Lease int64
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted tells that the key was removed at Revision.
	Deleted bool
}

// Condition is the revision that a key must have; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletions  []string
}

// ConflictError carries the present state of the keys of a transaction's conditions. It matches ErrConflict.
type ConflictError struct{ Items []Item }

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is implements errors.Is.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the present item of a key.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key && item.Revision != 0 {
			return item, true
		}
	}
	return Item{}, false
}

// Lease is a lease with the time to live that the store granted.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Store is a key-value store. Every method is one call against the store's rates, except List, which is one a page.
type Store interface {
	// Get returns the item of a key, with found false if there is none, and the store's revision.
	Get(ctx context.Context, key string) (item Item, found bool, revision int64, err error)
	// List returns the items whose keys start with prefix. The returned revision is at most that of the oldest page, so
	// that a watch from there misses no change.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits up to wait for changes after a revision, and returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease from the arrival of the call.
	KeepAlive(ctx context.Context, id int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id int64) error
}
