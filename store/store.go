// Package store is the client side of the platform's key-value service.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a store. Callers compare with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key is not at the expected revision; nothing was written.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownResult means that a write may have taken effect. Read back before reporting either way.
	ErrUnknownResult = errors.New("store: result unknown")
	// ErrLeaseNotFound means that the lease has lapsed or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrTimeout means that a watch ended without a change.
	ErrTimeout = errors.New("store: watch timed out")
	// ErrTooLarge means that a value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrInvalid means that the service rejected the form of the call; nothing was written.
	ErrInvalid = errors.New("store: invalid call")
)

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// AnyRevision as PutOptions.IfRevision writes without a comparison.
const AnyRevision int64 = -1

// LeaseID names a lease. The empty ID means no lease.
type LeaseID string

// Entry is a key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store-wide revision of the last change of this key, above 0.
	Revision int64 `json:"revision"`
}

// PutOptions qualifies a write.
type PutOptions struct {
	// IfRevision is the revision that the key must have: 0 means that the key must not exist, AnyRevision compares nothing.
	IfRevision int64
	// Lease deletes the key when the lease lapses.
	Lease LeaseID
}

// Store is the platform's key-value service. Every method counts as one call against the service's budget.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes a value and returns the new entry. It may fail with ErrConflict, ErrTooLarge, ErrLeaseNotFound,
	// ErrUnavailable or ErrUnknownResult.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error)
	// Delete removes a key at a revision (AnyRevision compares nothing). A missing key is ErrNotFound.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until the key has a revision above after, or returns ErrTimeout. A deleted key is ErrNotFound.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
}
