package shard

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/store"
)

// errFenced means that another owner has written to the log, so this ownership has ended.
var errFenced = errors.New("shard: another owner has written to the log")

// Record is one value of the log.
type Record struct {
	Sequence int64 `json:"seq"`
	Epoch    int64 `json:"epoch"`
	// Owner is unique to one ownership, so that an append whose response was lost can be recognised.
	Owner  string            `json:"owner"`
	Events []lifecycle.Event `json:"events,omitempty"`
	// FormerPeriods is part of epoch records and resignations: what the next owner has to wait for.
	FormerPeriods *lifecycle.LeasePeriods `json:"former,omitempty"`
	// Resigned marks the last record of an owner that renews nothing any more.
	Resigned bool `json:"resigned,omitempty"`
}

// Snapshot is the state after a number of records.
type Snapshot struct {
	Sequence int64 `json:"seq"`
	Epoch    int64 `json:"epoch"`
	// EpochRecords lists the sequences of the newest epoch records. They are kept in the log: a paused former owner's
	// next append goes to the first of them after its own records, and must fail.
	EpochRecords []int64          `json:"epoch_records"`
	State        *lifecycle.State `json:"state"`
	Learned      ModelSummary          `json:"learned"`
	FormerPeriods       lifecycle.LeasePeriods `json:"former"`
}

// maxEpochRecords bounds the epoch records that stay in the log after they are covered by a snapshot. A former owner
// would have to be paused for longer than this many changes of ownership to find the place of its append free.
const maxEpochRecords = 128

func ownerKey(shard int) string    { return fmt.Sprintf("shards/%d/owner", shard) }
func snapshotKey(shard int) string { return fmt.Sprintf("shards/%d/snapshot", shard) }
func logPrefix(shard int) string   { return fmt.Sprintf("shards/%d/log/", shard) }

// JobKey returns the key under which an entry stores an accepted job for the owner of a shard.
func JobKey(shard int, id string) string { return jobPrefix(shard) + id }

func jobPrefix(shard int) string { return fmt.Sprintf("jobs/%d/", shard) }

func recordKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%016d", logPrefix(shard), sequence)
}

// replayedLog is the content of a log.
type replayedLog struct {
	state        *lifecycle.State
	epoch        int64
	next         int64
	snapshotSequence      int64
	snapshotRevision  int64
	epochRecords []int64
	learned      ModelSummary
	former       lifecycle.LeasePeriods
	// storedRecords lists the sequences of records that are still in the store.
	storedRecords []int64
}

// replay reads the log and the snapshot. The log is read first: a snapshot that is newer than the listed records only
// makes some of them superfluous, whereas an older one could leave a gap.
func replay(ctx context.Context, s store.Store, shard int) (*replayedLog, error) {
	entries, err := s.List(ctx, logPrefix(shard))
	if err != nil {
		return nil, eris.Wrap(err, "listing the log")
	}
	r := &replayedLog{state: lifecycle.NewState(), next: 1}
	if err := r.loadSnapshot(ctx, s, shard); err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if err := r.apply(entry, shard); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *replayedLog) loadSnapshot(ctx context.Context, s store.Store, shard int) error {
	entry, err := s.Get(ctx, snapshotKey(shard))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "reading the snapshot")
	}
	snapshot, err := decodeSnapshot(entry.Value)
	if err != nil {
		return eris.Wrap(err, "decoding the snapshot")
	}
	r.state, r.epoch, r.next = snapshot.State, snapshot.Epoch, snapshot.Sequence+1
	r.learned, r.former = snapshot.Learned, snapshot.FormerPeriods
	r.snapshotSequence, r.snapshotRevision, r.epochRecords = snapshot.Sequence, entry.Revision, snapshot.EpochRecords
	return nil
}

func (r *replayedLog) apply(entry store.Entry, shard int) error {
	sequence, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, logPrefix(shard)), 10, 64)
	if err != nil {
		return eris.Wrapf(err, "log key %q", entry.Key)
	}
	r.storedRecords = append(r.storedRecords, sequence)
	if sequence <= r.snapshotSequence {
		return nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return eris.Wrapf(err, "record %d", sequence)
	}
	if sequence != r.next || record.Sequence != sequence {
		return eris.Errorf("record %d is out of order, expected %d", sequence, r.next)
	}
	if record.Epoch > r.epoch {
		r.epochRecords = append(r.epochRecords, sequence)
	}
	r.epoch, r.next = record.Epoch, sequence+1
	switch {
	case record.FormerPeriods == nil:
	case record.Resigned:
		r.former = *record.FormerPeriods
	default:
		// Terms can follow each other within one validity, so the longest wait counts.
		r.former = longestPeriods(r.former, *record.FormerPeriods)
	}
	for _, event := range record.Events {
		if err := r.state.Apply(event); err != nil {
			return eris.Wrapf(err, "record %d", sequence)
		}
	}
	return nil
}

func longestPeriods(a, b lifecycle.LeasePeriods) lifecycle.LeasePeriods {
	return lifecycle.LeasePeriods{
		OwnerValidity: max(a.OwnerValidity, b.OwnerValidity), Lease: max(a.Lease, b.Lease),
		ServiceLease: max(a.ServiceLease, b.ServiceLease),
	}
}

func encodeSnapshot(s Snapshot) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, eris.Wrap(err, "encoding the snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing the snapshot")
	}
	return b.Bytes(), nil
}

func decodeSnapshot(raw []byte) (Snapshot, error) {
	var s Snapshot
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return s, eris.Wrap(err, "decompressing")
	}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(&s); err != nil {
		return s, eris.Wrap(err, "parsing")
	}
	if s.State == nil || s.State.Jobs == nil {
		s.State = lifecycle.NewState()
	}
	return s, nil
}

// maxSnapshotBytes bounds a decompressed snapshot.
const maxSnapshotBytes = 64 << 20

// appendRecord writes a record that must be the next of the log. A lost response is resolved by reading the record
// back. It returns errFenced when another owner's record has that place.
func appendRecord(ctx context.Context, s store.Store, shard int, record Record, raw []byte) error {
	key := recordKey(shard, record.Sequence)
	_, err := s.Put(ctx, key, raw, store.PutOptions{})
	if err == nil {
		return nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownResult) {
		return err
	}
	entry, readErr := s.Get(ctx, key)
	switch {
	case readErr == nil && bytes.Equal(entry.Value, raw):
		return nil
	case readErr == nil:
		return errFenced
	case errors.Is(readErr, store.ErrNotFound) && errors.Is(err, store.ErrConflict):
		// A later owner has truncated the log past this place.
		return errFenced
	default:
		return store.ErrUnknownResult
	}
}
