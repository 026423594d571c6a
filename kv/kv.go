// Package kv defines the interface of a key-value store with conditional transactions, leases and a history of changes.
package kv

import (
	"context"
	"errors"
	"time"
)

// Errors returned by a Store. Compare them with errors.Is.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("kv: condition does not hold")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("kv: unavailable")
	// ErrUnknown means that the call may have taken effect, or may still do so later.
	ErrUnknown = errors.New("kv: result unknown")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("kv: lease not found")
	// ErrCompacted means that the changes after the revision are no longer available, so all keys must be read again.
	ErrCompacted = errors.New("kv: history no longer available")
	// ErrInvalid means that the call is malformed and was rejected.
	ErrInvalid = errors.New("kv: invalid call")
)

// DefaultMaxValueBytes is the maximum length of a value unless the platform configures another one.
const DefaultMaxValueBytes = 1 << 20

// MaxTransactionRows is the maximum number of conditions, writes and deletions of one transaction, counted together.
const MaxTransactionRows = 32

// Item is a key with its value and metadata.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key; 0 for a key that does not exist.
	Revision int64
	// Created is the store's revision at which the key was created.
	Created int64
	// Lease is the lease to which the key is attached; 0 for none. The key is deleted when the lease ends.
	Lease int64
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted is set if the key was deleted at Revision.
	Deleted bool
}

// Condition requires that a key has a revision; 0 means that the key must not exist.
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

// Transaction is a set of changes that the store applies atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletions  []string
}

// ConflictError carries the current state of the keys in a transaction's conditions. With errors.Is it matches ErrConflict.
type ConflictError struct{ Items []Item }

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is implements errors.Is.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Find returns the current item of a key, if it exists.
func (e *ConflictError) Find(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key && item.Revision != 0 {
			return item, true
		}
	}
	return Item{}, false
}

// Lease is a lease and the time to live that the store granted.
type Lease struct {
	ID  int64
	TTL time.Duration
}

// Store is a key-value store. Each method call counts as one call against the store's rate limits, except for List, which
// counts as one call per page.
type Store interface {
	// Get returns the item of a key, with found false if there is none, and the store's revision.
	Get(ctx context.Context, key string) (item Item, found bool, revision int64, err error)
	// List returns the items whose keys start with prefix. The returned revision is at most that of the first page, so that a
	// watch from it misses no change.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits at most wait for changes after a revision and returns them with the revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, t Transaction) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease. Its time to live starts again when the call arrives at the store.
	KeepAlive(ctx context.Context, id int64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id int64) error
}
