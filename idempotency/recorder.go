// Package idempotency keeps the at-most-once records of non-idempotent requests in the platform's store.
//
// A record is created before the request is sent and names the only attempt that may run. It is changed to another attempt
// by compare-and-swap, and only if the recorded attempt has certainly not run.
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

// Errors of Assign. After any of them the attempt must not be sent.
var (
	// ErrKeyReused means that the key was used for a request with different content.
	ErrKeyReused = errors.New("idempotency: the key belongs to another request")
	// ErrNotRecorded means that the store didn't confirm the write of the record.
	ErrNotRecorded = errors.New("idempotency: the record can't be written")
)

// ExistsError reports that the record names another attempt.
type ExistsError struct{ Found StoredRecord }

// Error implements error.
func (e *ExistsError) Error() string {
	return "idempotency: the key is held by attempt " + e.Found.Record.AttemptID + " at " + e.Found.Record.Agent
}

// RateError reports that the rate limit of record writes is reached.
type RateError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *RateError) Error() string { return "idempotency: the rate of records is at its limit" }

// Record identifies the only attempt that may run, and the agent process that it is sent to.
type Record struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	AttemptID   string `json:"attempt_id"`
	RequestHash string `json:"request_hash"`
}

// StoredRecord is a record with its revision in the store.
type StoredRecord struct {
	Record   Record
	Revision int64
}

// Options configures a recorder.
type Options struct {
	Store store.Store
	Clock clock.Clock
	// WriteRate limits the rate of records that this entry writes.
	WriteRate *limit.RateLimiter
	// Retention is the minimum time that a record is kept.
	Retention time.Duration
	// CallTimeout is the timeout of one store call.
	CallTimeout time.Duration
}

// Recorder reads and writes at-most-once records. It is safe for concurrent use.
type Recorder struct {
	opts   Options
	leases sharedLease
}

// NewRecorder returns a recorder.
func NewRecorder(opts Options) *Recorder {
	l := &Recorder{opts: opts}
	l.leases.opts = opts
	l.leases.grantLock = make(chan struct{}, 1)
	return l
}

// read returns the record of a key; ok is false when there is none.
func (r *Recorder) read(ctx context.Context, key string) (found StoredRecord, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	entry, err := r.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return StoredRecord{}, false, nil
	}
	if err != nil {
		return StoredRecord{}, false, err
	}
	if err := json.Unmarshal(entry.Value, &found.Record); err != nil {
		return StoredRecord{}, false, err
	}
	found.Revision = entry.Revision
	return found, true, nil
}

// write stores a record under the shared lease if its key has the expected revision. It retries once with a new lease
// if the store no longer has the current one.
func (r *Recorder) write(ctx context.Context, key string, record Record, revision int64) (StoredRecord, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return StoredRecord{}, err
	}
	for retried := false; ; retried = true {
		lease, err := r.leases.current(ctx)
		if err != nil {
			return StoredRecord{}, err
		}
		entry, err := r.put(ctx, key, value, store.PutOptions{IfRevision: revision, Lease: lease})
		if errors.Is(err, store.ErrLeaseNotFound) && !retried {
			r.leases.discard(lease)
			continue
		}
		return StoredRecord{Record: record, Revision: entry.Revision}, err
	}
}

func (r *Recorder) put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	return r.opts.Store.Put(ctx, key, value, opts)
}
