// Package store is a client for the platform's key-value service.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors returned by a Store. Compare them with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key is not at the expected revision; nothing was written.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownResult means that a write may or may not have taken effect. Callers must read the key back to find out.
	ErrUnknownResult = errors.New("store: result unknown")
	// ErrLeaseNotFound means that the lease has lapsed or was revoked.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrTimeout means that a watch ended without a change.
	ErrTimeout = errors.New("store: watch timed out")
	// ErrTooLarge means that a value is larger than MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("store: value too large")
	// ErrInvalid means that the call is malformed and was rejected; nothing was written.
	ErrInvalid = errors.New("store: invalid call")
)

// MaxValueBytes is the largest value that the platform accepts, in bytes.
const MaxValueBytes = 1 << 20

// AnyRevision makes a Put or Delete unconditional.
const AnyRevision int64 = -1

// LeaseID identifies a lease. The empty ID means no lease.
type LeaseID string

// Entry is a key with its value and revision.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store-wide revision at which the key was last changed. It is greater than 0.
	Revision int64 `json:"revision"`
}

// PutOptions are the precondition and the lease of a Put.
type PutOptions struct {
	// IfRevision is the revision that the key must have. 0 means that the key must not exist; AnyRevision means no condition.
	IfRevision int64
	// Lease is the lease to which the key is attached. The key is deleted when the lease lapses or is revoked.
	Lease LeaseID
}

// Store is the platform's key-value service. Each method call counts as one call against the service's rate limit.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes a value and returns the new entry. It may fail with ErrConflict, ErrTooLarge, ErrLeaseNotFound,
	// ErrUnavailable or ErrUnknownResult.
	Put(ctx context.Context, key string, value []byte, opts PutOptions) (Entry, error)
	// Delete deletes a key that has the given revision, or any if that is AnyRevision. A missing key is ErrNotFound.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until the revision of the key is greater than after, and returns ErrTimeout if that doesn't happen in time.
	// A deleted key is ErrNotFound.
	Watch(ctx context.Context, key string, after int64) (Entry, error)
}
