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

// keyPrefix is the prefix of the store keys of all records.
const keyPrefix = "idempotency/"

// Claim is the use of an idempotency key by one request. It is not safe for concurrent use.
type Claim struct {
	recorder *Recorder
	key      string
	hash     string
	// current is the record that this claim may replace; its revision is 0 when there is none.
	current StoredRecord
}

// NewClaim returns a claim of a caller's idempotency key for a request with the given hash.
func (r *Recorder) NewClaim(service, key, requestHash string) *Claim {
	return &Claim{recorder: r, key: keyPrefix + Hash([]byte(service), []byte(key)), hash: requestHash}
}

// Hash returns a SHA-256 digest of the parts. Each part is preceded by its length, so that parts can't run together.
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

// Adopt allows the claim to replace a record whose attempt has certainly not run and never will.
func (c *Claim) Adopt(found StoredRecord) { c.current = found }

// Assign writes the record that allows an attempt to run at an agent process. There must be no record of the key yet,
// or only the one that this claim last wrote or adopted.
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
		// The write may have taken effect, or may still do so. Either is safe, since the attempt is sent only after its
		// record is known to be stored: an entry that finds the record of an unsent attempt resolves the attempt as never
		// seen.
		return c.readBack(ctx, attempt, err)
	}
}

// Lookup returns the record of the key; ok is false when there is none.
func (c *Claim) Lookup(ctx context.Context) (found StoredRecord, ok bool, err error) {
	found, ok, err = c.recorder.read(ctx, c.key)
	if err == nil && ok && found.Record.RequestHash != c.hash {
		return StoredRecord{}, false, ErrKeyReused
	}
	return found, ok, err
}

// readBack reads the record to determine whether the write of an attempt has taken effect.
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
