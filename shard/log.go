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

// Record is one entry of the log.
type Record struct {
	Sequence int64 `json:"seq"`
	Epoch    int64 `json:"epoch"`
	// Owner is the unique ID of the term, which identifies an append whose response was lost.
	Owner  string            `json:"owner"`
	Events []lifecycle.Event `json:"events,omitempty"`
	// FormerPeriods is set in epoch records and resignations: the lease periods that the next owner has to wait for.
	FormerPeriods *lifecycle.LeasePeriods `json:"former,omitempty"`
	// Resigned marks the last record of an owner that has resigned and renews no more leases.
	Resigned bool `json:"resigned,omitempty"`
}

// Snapshot is the state after the log record with its sequence.
type Snapshot struct {
	Sequence int64 `json:"seq"`
	Epoch    int64 `json:"epoch"`
	// EpochRecords lists the sequences of the newest epoch records. They stay in the log: the next append of a paused
	// former owner targets the first epoch record after its own records, and must fail.
	EpochRecords  []int64                `json:"epoch_records"`
	State         *lifecycle.State       `json:"state"`
	ModelSummary  ModelSummary           `json:"learned"`
	FormerPeriods lifecycle.LeasePeriods `json:"former"`
}

// maxEpochRecords bounds the epoch records that stay in the log after a snapshot covers them. The append of a paused
// former owner could succeed only after more changes of ownership than this.
const maxEpochRecords = 128

func ownerKey(shard int) string    { return fmt.Sprintf("shards/%d/owner", shard) }
func snapshotKey(shard int) string { return fmt.Sprintf("shards/%d/snapshot", shard) }
func logPrefix(shard int) string   { return fmt.Sprintf("shards/%d/log/", shard) }

// JobKey returns the key under which an entry process stores an accepted job for the owner of a shard.
func JobKey(shard int, id string) string { return jobPrefix(shard) + id }

func jobPrefix(shard int) string { return fmt.Sprintf("jobs/%d/", shard) }

func recordKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%016d", logPrefix(shard), sequence)
}

// replayedLog is the result of reading the snapshot and the log.
type replayedLog struct {
	state            *lifecycle.State
	epoch            int64
	nextSequence     int64
	snapshotSequence int64
	snapshotRevision int64
	epochRecords     []int64
	modelSummary     ModelSummary
	formerPeriods    lifecycle.LeasePeriods
	// storedRecords lists the sequences of the records that are still in the store.
	storedRecords []int64
}

// replay reads the log and the snapshot. The log is read first: a snapshot newer than the listed records only makes
// some of them redundant, whereas an older one could leave a gap.
func replay(ctx context.Context, s store.Store, shard int) (*replayedLog, error) {
	entries, err := s.List(ctx, logPrefix(shard))
	if err != nil {
		return nil, eris.Wrap(err, "listing the log")
	}
	r := &replayedLog{state: lifecycle.NewState(), nextSequence: 1}
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
	r.state, r.epoch, r.nextSequence = snapshot.State, snapshot.Epoch, snapshot.Sequence+1
	r.modelSummary, r.formerPeriods = snapshot.ModelSummary, snapshot.FormerPeriods
	r.snapshotSequence, r.snapshotRevision, r.epochRecords = snapshot.Sequence, entry.Revision, snapshot.EpochRecords
	return nil
}

func (r *replayedLog) apply(entry store.Entry, shard int) error {
	sequence, err := strconv.ParseInt(strings.TrimPrefix(entry.Key, logPrefix(shard)), 10, 64)
	if err != nil {
		return eris.Wrapf(err, "parsing log key %q", entry.Key)
	}
	r.storedRecords = append(r.storedRecords, sequence)
	if sequence <= r.snapshotSequence {
		return nil
	}
	var record Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return eris.Wrapf(err, "record %d", sequence)
	}
	if sequence != r.nextSequence || record.Sequence != sequence {
		return eris.Errorf("record %d is out of order, expected %d", sequence, r.nextSequence)
	}
	if record.Epoch > r.epoch {
		r.epochRecords = append(r.epochRecords, sequence)
	}
	r.epoch, r.nextSequence = record.Epoch, sequence+1
	switch {
	case record.FormerPeriods == nil:
	case record.Resigned:
		r.formerPeriods = *record.FormerPeriods
	default:
		// Several terms can begin within one validity period, so the longest periods apply.
		r.formerPeriods = longestPeriods(r.formerPeriods, *record.FormerPeriods)
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

// maxSnapshotBytes bounds the size of a decompressed snapshot.
const maxSnapshotBytes = 64 << 20

// appendRecord writes a record under the next log key, which must not exist yet. A lost response is resolved by reading
// the record back. It returns errFenced if the key holds a record of another owner.
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
		// A later owner has truncated the log beyond this sequence.
		return errFenced
	default:
		return store.ErrUnknownResult
	}
}
