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

// Bounds of one record.
const (
	maxRecordEvents = 2000
	// maxPendingEvents bounds the events that wait while the store is down; beyond it nothing new is planned or accepted.
	maxPendingEvents = 20000
)

// term is one ownership of a shard. Its fields are guarded by the owner's mutex.
type term struct {
	id      string
	lease   store.LeaseID
	machine *lifecycle.Machine
	learned *learned
	// own holds the periods of this owner, former the longest of it and the ones before, of which the last can be valid
	// until inherited.
	own, former lifecycle.Former
	inherited   time.Time
	// proof is when the newest store call was sent that proved the ownership.
	proof time.Time
	next  int64
	// inflight is the record whose append has not been resolved; it is repeated unchanged.
	inflight     *batch
	covered      int64
	snapshotRev  int64
	epochRecords []int64
	kept         []int64
	// superfluous holds keys that are still to be deleted.
	superfluous []string
	// changed is closed and replaced whenever records become durable or the term ends.
	changed chan struct{}
	ended   bool
}

// batch is a record on its way to the log.
type batch struct {
	record Record
	raw    []byte
	count  int
	// snapshot is the state after this record, nil when none is due.
	snapshot []byte
}

// ownerValue is the value of the owner key.
type ownerValue struct {
	Term    string `json:"term"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
}

// begin writes the epoch record of a new term after the replay of the log.
func (o *Owner) begin(ctx context.Context, id string, lease store.LeaseID, proof time.Time) (*term, error) {
	const maxReplays = 5
	for range maxReplays {
		r, err := replay(ctx, o.store, o.config.Shard)
		if err != nil {
			return nil, err
		}
		own := o.config.Lifecycle.Former()
		record := Record{Sequence: r.next, Epoch: r.epoch + 1, Owner: id, Former: &own}
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
		machine := lifecycle.NewMachine(o.config.Lifecycle, r.former, o.config.Shard, record.Epoch, r.state, now)
		model := newLearned(o.settled.Policy(), r.learned, now)
		machine.Observe = func(ended lifecycle.Observation) { model.ended(ended, o.clock.Now()) }
		return &term{
			id: id, lease: lease, machine: machine, learned: model, own: own, former: longest(r.former, own),
			inherited: now.Add(r.former.OwnerValidity), proof: proof, next: record.Sequence + 1, covered: r.covered,
			snapshotRev: r.snapshotRev, epochRecords: append(r.epochRecords, record.Sequence),
			kept: append(r.kept, record.Sequence), changed: make(chan struct{}),
		}, nil
	}
	return nil, eris.New("the log kept changing during the replay")
}

// nextBatch returns the unresolved record, or a new one from the pending events, or nil.
func (t *term) nextBatch(snapshotEvery int64, now time.Time) (*batch, error) {
	if t.inflight != nil {
		return t.inflight, nil
	}
	pending := t.machine.Pending()
	if len(pending) == 0 {
		return nil, nil
	}
	count := min(len(pending), maxRecordEvents)
	b := &batch{count: count}
	b.record = Record{Sequence: t.next, Epoch: t.machine.Epoch(), Owner: t.id, Events: slices.Clone(pending[:count])}
	var err error
	if b.raw, err = json.Marshal(b.record); err != nil {
		return nil, eris.Wrap(err, "encoding a record")
	}
	if count == len(pending) && t.next-t.covered >= snapshotEvery {
		b.snapshot, err = encodeSnapshot(Snapshot{
			Sequence: t.next, Epoch: t.machine.Epoch(), EpochRecords: t.epochRecords, State: t.machine.State(),
			Learned: t.learned.summary(now), Former: t.waits(now),
		})
		if err != nil {
			return nil, err
		}
	}
	t.inflight = b
	return b, nil
}

// committed notes that a batch is in the log.
func (t *term) committed(b *batch, sent time.Time) {
	t.inflight = nil
	t.machine.Committed(b.count)
	t.kept = append(t.kept, b.record.Sequence)
	t.next++
	t.proof = sent
	t.signal()
}

func (t *term) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// resignation returns the record that tells the next owner not to wait for this one, or nil when a record is unresolved.
func (t *term) resignation(now time.Time) *Record {
	if t.inflight != nil {
		return nil
	}
	// Owners before this one may still be valid.
	former := t.former
	former.OwnerValidity = max(0, t.inherited.Sub(now))
	return &Record{Sequence: t.next, Epoch: t.machine.Epoch(), Owner: t.id, Resigned: true, Former: &former}
}

// waits returns what the next owner has to wait for if this one doesn't resign.
func (t *term) waits(now time.Time) lifecycle.Former {
	if now.After(t.inherited) {
		return t.own
	}
	return t.former
}

// valid tells whether the owner may renew leases.
func (t *term) valid(now time.Time, validity time.Duration) bool {
	return !t.ended && now.Sub(t.proof) < validity
}

// truncatable returns the records that a snapshot has made superfluous, and keeps the rest.
func (t *term) truncatable() []int64 {
	if extra := len(t.epochRecords) - maxEpochRecords; extra > 0 {
		t.epochRecords = slices.Delete(t.epochRecords, 0, extra)
	}
	var drop, keep []int64
	for _, sequence := range t.kept {
		if sequence <= t.covered && !slices.Contains(t.epochRecords, sequence) {
			drop = append(drop, sequence)
		} else {
			keep = append(keep, sequence)
		}
	}
	t.kept = keep
	return drop
}
