// Package idempotency keeps the at-most-once records of non-idempotent requests in the platform's store.
//
// A record is created before the request is sent and names the one attempt that may run. Only a compare-and-swap moves
// it to another attempt, after the recorded one has certainly not run.
package idempotency

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/store"
)

// Errors of Assign. After each of them the attempt must not be sent.
var (
	// ErrKeyReused means that the key was used for a request with other content.
	ErrKeyReused = errors.New("idempotency: the key belongs to another request")
	// ErrNotRecorded means that the store didn't confirm the record.
	ErrNotRecorded = errors.New("idempotency: the record can't be written")
)

// ExistsError reports that the record names another attempt.
type ExistsError struct{ Found Stored }

// Error names the recorded attempt.
func (e *ExistsError) Error() string {
	return "idempotency: the key is held by attempt " + e.Found.Record.AttemptID + " at " + e.Found.Record.Agent
}

// RateError reports that records are written too fast.
type RateError struct{ RetryAfter time.Duration }

// Error names the limit.
func (e *RateError) Error() string { return "idempotency: the rate of records is at its limit" }

// Record names the attempt that may run.
type Record struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	AttemptID   string `json:"attempt_id"`
	RequestHash string `json:"request_hash"`
}

// Stored is a record at a revision of the store.
type Stored struct {
	Record   Record
	Revision int64
}

// Options configures a ledger.
type Options struct {
	Store store.Store
	Clock clock.Clock
	// Writes bounds the records that this entry writes.
	Writes *limit.RateLimiter
	// Retention is how long a record is kept at least.
	Retention time.Duration
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
}

// Ledger writes records. It is safe for concurrent use.
type Ledger struct {
	opts   Options
	leases leaseBucket
}

// NewLedger returns a ledger.
func NewLedger(opts Options) *Ledger {
	l := &Ledger{opts: opts}
	l.leases.opts = opts
	l.leases.granting = make(chan struct{}, 1)
	return l
}

// read returns the record of a key; ok is false when there is none.
func (l *Ledger) read(ctx context.Context, key string) (found Stored, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	entry, err := l.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return Stored{}, false, nil
	}
	if err != nil {
		return Stored{}, false, err
	}
	if err := json.Unmarshal(entry.Value, &found.Record); err != nil {
		return Stored{}, false, err
	}
	found.Revision = entry.Revision
	return found, true, nil
}

// write puts a record at an expected revision under the lease of the current hour.
func (l *Ledger) write(ctx context.Context, key string, record Record, revision int64) (Stored, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return Stored{}, err
	}
	for retried := false; ; retried = true {
		lease, err := l.leases.current(ctx)
		if err != nil {
			return Stored{}, err
		}
		entry, err := l.put(ctx, key, value, store.PutOptions{IfRevision: revision, Lease: lease})
		if errors.Is(err, store.ErrLeaseNotFound) && !retried {
			l.leases.discard(lease)
			continue
		}
		return Stored{Record: record, Revision: entry.Revision}, err
	}
}

func (l *Ledger) put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	return l.opts.Store.Put(ctx, key, value, opts)
}
