package shard

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/store"
)

// Limits on events.
const (
	maxRecordEvents = 2000
	// maxPendingEvents bounds the events that wait while the store is unavailable; beyond it no jobs are accepted and
	// no tasks are planned.
	maxPendingEvents = 20000
)

// term is one period of ownership of a shard. Its fields are guarded by the owner's mutex.
type term struct {
	id      string
	lease   store.LeaseID
	machine *lifecycle.Machine
	models  *models
	// ownPeriods holds the lease periods of this owner. formerPeriods holds the longest of these and those of earlier
	// owners, the last of which can be valid until formerValidUntil.
	ownPeriods, formerPeriods lifecycle.LeasePeriods
	formerValidUntil          time.Time
	// provenAt is when the newest store call that proved the ownership was sent.
	provenAt     time.Time
	nextSequence int64
	// unresolved is the record whose append has no known result yet; the same bytes are written again.
	unresolved       *recordWrite
	snapshotSequence int64
	snapshotRevision int64
	epochRecords     []int64
	storedRecords    []int64
	// obsoleteKeys holds the keys that are still to be deleted.
	obsoleteKeys []string
	// changed is closed and replaced whenever records become durable or the term ends.
	changed chan struct{}
	ended   bool
}

// recordWrite is a record that is being appended to the log.
type recordWrite struct {
	record Record
	raw    []byte
	count  int
	// snapshot is the encoded state after this record, or nil if no snapshot is due.
	snapshot []byte
}

// ownerValue is the stored value of the owner key.
type ownerValue struct {
	Term    string `json:"term"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
}

// beginTerm replays the log and appends the epoch record of a new term.
func (o *Owner) beginTerm(ctx context.Context, id string, lease store.LeaseID) (*term, error) {
	const maxReplays = 5
	for range maxReplays {
		r, err := replay(ctx, o.store, o.config.Shard)
		if err != nil {
			return nil, err
		}
		own := o.config.Lifecycle.LeasePeriods()
		record := Record{Sequence: r.nextSequence, Epoch: r.epoch + 1, Owner: id, FormerPeriods: &own}
		raw, err := json.Marshal(record)
		if err != nil {
			return nil, eris.Wrap(err, "encoding the epoch record")
		}
		err = appendRecord(ctx, o.store, o.config.Shard, record, raw)
		if errors.Is(err, errFenced) {
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "appending the epoch record")
		}
		now := o.clock.Now()
		machine := lifecycle.NewMachine(o.config.Lifecycle, r.formerPeriods, o.config.Shard, record.Epoch, r.state, now)
		model := newModels(o.fleet.OperatorRules(), r.modelSummary, now)
		machine.OnAttemptEnd = func(ended lifecycle.AttemptEnd) { model.observeAttemptEnd(ended, o.clock.Now()) }
		return &term{
			id: id, lease: lease, machine: machine, models: model, ownPeriods: own, formerPeriods: longestPeriods(r.formerPeriods, own),
			formerValidUntil: now.Add(r.formerPeriods.OwnerValidity), nextSequence: record.Sequence + 1, snapshotSequence: r.snapshotSequence,
			snapshotRevision: r.snapshotRevision, epochRecords: append(r.epochRecords, record.Sequence),
			storedRecords: append(r.storedRecords, record.Sequence), changed: make(chan struct{}),
		}, nil
	}
	return nil, eris.New("the log kept changing during the replay")
}

// nextRecordWrite returns the unresolved record if there is one, otherwise a new record of the pending events, or nil
// if there are none.
func (t *term) nextRecordWrite(snapshotEvery int64, now time.Time) (*recordWrite, error) {
	if t.unresolved != nil {
		return t.unresolved, nil
	}
	pending := t.machine.PendingEvents()
	if len(pending) == 0 {
		return nil, nil
	}
	count := min(len(pending), maxRecordEvents)
	write := &recordWrite{count: count}
	write.record = Record{Sequence: t.nextSequence, Epoch: t.machine.Epoch(), Owner: t.id, Events: slices.Clone(pending[:count])}
	var err error
	if write.raw, err = json.Marshal(write.record); err != nil {
		return nil, eris.Wrap(err, "encoding a record")
	}
	if count == len(pending) && t.nextSequence-t.snapshotSequence >= snapshotEvery {
		write.snapshot, err = encodeSnapshot(Snapshot{
			Sequence: t.nextSequence, Epoch: t.machine.Epoch(), EpochRecords: t.epochRecords, State: t.machine.State(),
			ModelSummary: t.models.summary(now), FormerPeriods: t.successorWait(now),
		})
		if err != nil {
			return nil, err
		}
	}
	t.unresolved = write
	return write, nil
}

// committed marks a record as durable; sent is when its append was sent.
func (t *term) committed(write *recordWrite, sent time.Time) {
	t.unresolved = nil
	t.machine.Committed(write.count)
	t.storedRecords = append(t.storedRecords, write.record.Sequence)
	t.nextSequence++
	t.provenAt = sent
	t.signal()
}

func (t *term) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// resignation returns the record that tells the next owner not to wait for this one, or nil while a record is
// unresolved.
func (t *term) resignation(now time.Time) *Record {
	if t.unresolved != nil {
		return nil
	}
	// Earlier owners may still be valid.
	former := t.formerPeriods
	former.OwnerValidity = max(0, t.formerValidUntil.Sub(now))
	return &Record{Sequence: t.nextSequence, Epoch: t.machine.Epoch(), Owner: t.id, Resigned: true, FormerPeriods: &former}
}

// successorWait returns the lease periods that the next owner has to wait for if this one doesn't resign.
func (t *term) successorWait(now time.Time) lifecycle.LeasePeriods {
	if now.After(t.formerValidUntil) {
		return t.ownPeriods
	}
	return t.formerPeriods
}

// valid reports whether the owner may renew leases.
func (t *term) valid(now time.Time, validity time.Duration) bool {
	return !t.ended && now.Sub(t.provenAt) < validity
}

// takeObsoleteRecords removes the sequences of records that a snapshot covers from storedRecords and returns them.
// Recent epoch records are retained.
func (t *term) takeObsoleteRecords() []int64 {
	if extra := len(t.epochRecords) - maxEpochRecords; extra > 0 {
		t.epochRecords = slices.Delete(t.epochRecords, 0, extra)
	}
	var drop, keep []int64
	for _, sequence := range t.storedRecords {
		if sequence <= t.snapshotSequence && !slices.Contains(t.epochRecords, sequence) {
			drop = append(drop, sequence)
		} else {
			keep = append(keep, sequence)
		}
	}
	t.storedRecords = keep
	return drop
}
