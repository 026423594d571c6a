package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/quetzalshed/quetzalshed/store"
)

// keyPrefix precedes the keys of all records in the store.
const keyPrefix = "idempotency/"

// Claim is one caller's use of a key. It is used by one goroutine at a time.
type Claim struct {
	recorder *Recorder
	key      string
	hash     string
	// current is the record that this claim may replace; without a revision there is none.
	current StoredRecord
}

// NewClaim returns a claim of a caller's key for a request with the given hash.
func (r *Recorder) NewClaim(service, key, requestHash string) *Claim {
	return &Claim{recorder: r, key: keyPrefix + Hash([]byte(service), []byte(key)), hash: requestHash}
}

// Hash returns a digest of parts of which each counts separately.
func Hash(parts ...[]byte) string {
	digest := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write(part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Adopt lets the claim replace a record whose attempt has certainly not run and never will.
func (c *Claim) Adopt(found StoredRecord) { c.current = found }

// Assign records that an attempt at an agent process may run. The record must not exist yet, or must be the one that this
// claim wrote or adopted last.
func (c *Claim) Assign(ctx context.Context, agent, incarnation, address, attempt string) error {
	if ok, after := c.recorder.opts.WriteRate.Allow(c.recorder.opts.Clock.Now()); !ok {
		return &RateError{RetryAfter: after}
	}
	record := Record{Agent: agent, Incarnation: incarnation, Address: address, AttemptID: attempt, RequestHash: c.hash}
	stored, err := c.recorder.write(ctx, c.key, record, c.current.Revision)
	switch {
	case err == nil:
		c.current = stored
		return nil
	case errors.Is(err, store.ErrConflict):
		return c.readBack(ctx, attempt, err)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrLeaseNotFound), errors.Is(err, store.ErrTooLarge):
		return notRecordedError(err)
	default:
		// The write may have taken effect, or may still do so. Either is safe, since the attempt is sent only after the
		// record was seen: another entry that finds the record resolves the attempt as never seen.
		return c.readBack(ctx, attempt, err)
	}
}

// Lookup returns the record of the key, if there is one.
func (c *Claim) Lookup(ctx context.Context) (found StoredRecord, ok bool, err error) {
	found, ok, err = c.recorder.read(ctx, c.key)
	if err == nil && ok && found.Record.RequestHash != c.hash {
		return StoredRecord{}, false, ErrKeyReused
	}
	return found, ok, err
}

// readBack finds out whether the write of an attempt has taken effect.
func (c *Claim) readBack(ctx context.Context, attempt string, cause error) error {
	found, ok, err := c.recorder.read(ctx, c.key)
	switch {
	case err != nil:
		return notRecordedError(errors.Join(cause, err))
	case !ok:
		return notRecordedError(cause)
	case found.Record.RequestHash != c.hash:
		return ErrKeyReused
	case found.Record.AttemptID == attempt:
		c.current = found
		return nil
	case c.current.Revision != 0 && found.Revision == c.current.Revision:
		return notRecordedError(cause)
	default:
		return &ExistsError{Found: found}
	}
}

func notRecordedError(cause error) error { return fmt.Errorf("%w: %w", ErrNotRecorded, cause) }
