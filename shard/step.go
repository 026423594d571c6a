package shard

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Step performs the owner's periodic work that is due: it queries workers, accepts stored jobs, plans, commits events,
// pushes starts and deletes obsolete keys.
func (o *Owner) Step(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	o.queryWorkers(ctx, t)
	o.listJobsIfDue(ctx, t)
	due := o.expireAndPlan(t)
	if !due {
		return nil
	}
	err := o.commit(ctx, t)
	o.pushStarts(ctx, t)
	return multierr.Append(err, o.deleteObsoleteKeys(ctx, t))
}

// listJobsIfDue lists the accepted jobs in the background if the list interval has passed.
func (o *Owner) listJobsIfDue(ctx context.Context, t *term) {
	now := o.clock.Now()
	o.mu.Lock()
	due := !o.listingJobs && (o.lastJobList.IsZero() || now.Sub(o.lastJobList) >= o.config.ListEvery)
	if due {
		o.lastJobList, o.listingJobs = now, true
	}
	o.mu.Unlock()
	if !due {
		return
	}
	o.background(func() {
		if err := o.acceptListedJobs(ctx, t); err != nil {
			o.log.Debug("accepted jobs were not processed", "error", err)
		}
		o.mu.Lock()
		o.listingJobs = false
		o.mu.Unlock()
	})
}

func (o *Owner) acceptListedJobs(ctx context.Context, t *term) error {
	entries, err := o.store.List(ctx, jobPrefix(o.config.Shard))
	if err != nil {
		return eris.Wrap(err, "listing accepted jobs")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, entry := range entries {
		var job structs.Job
		if err := json.Unmarshal(entry.Value, &job); err != nil {
			o.log.Warn("accepted job can't be read", "key", entry.Key, "error", err)
			continue
		}
		if err := o.accept(t, job); err != nil {
			return err
		}
	}
	return nil
}

// setUrgent makes the next step due immediately. The caller must hold o.mu.
func (o *Owner) setUrgent() {
	o.urgent = true
	select {
	case o.stepDue <- struct{}{}:
	default:
	}
}

// StepDue returns a channel that receives a value when a step is due before the commit interval has passed.
func (o *Owner) StepDue() <-chan struct{} { return o.stepDue }

// expireAndPlan ends expired attempts and places tasks if the commit interval has passed or work is urgent. It returns
// false if no step is due.
func (o *Owner) expireAndPlan(t *term) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if t.ended || (!o.urgent && !o.lastCommit.IsZero() && now.Sub(o.lastCommit) < o.config.CommitEvery) {
		return false
	}
	o.urgent, o.lastCommit = false, now
	t.machine.Expire(now, now)
	if len(t.machine.PendingEvents()) > maxPendingEvents || !t.valid(now, o.config.Lifecycle.OwnerValidity) {
		return true
	}
	t.machine.ReconcileServices(now, now)
	t.machine.WithdrawStarts(now, o.fleet.OutOfService)
	if input, work := o.planInput(t, now); work {
		applyDecisions(t, input, o.plan(input, now), now)
	}
	return true
}

// commit appends pending events to the log. The ownership ends if another owner has written to the log.
func (o *Owner) commit(ctx context.Context, t *term) error {
	o.mu.Lock()
	if t.ended {
		o.mu.Unlock()
		return nil
	}
	write, err := t.nextRecordWrite(o.config.SnapshotEvery, o.clock.Now())
	o.mu.Unlock()
	if err != nil || write == nil {
		return err
	}
	sent := o.clock.Now()
	err = appendRecord(ctx, o.store, o.config.Shard, write.record, write.raw)
	o.mu.Lock()
	if t.ended {
		o.mu.Unlock()
		return nil
	}
	if err != nil {
		if errors.Is(err, errFenced) {
			o.endTerm(t, "fenced by a later owner")
		}
		o.mu.Unlock()
		return eris.Wrap(err, "appending a record")
	}
	t.committed(write, sent)
	o.mu.Unlock()
	if write.snapshot == nil {
		return nil
	}
	return o.writeSnapshot(ctx, t, write)
}

// writeSnapshot replaces the snapshot. The revision check prevents a paused former owner from restoring an older
// snapshot.
func (o *Owner) writeSnapshot(ctx context.Context, t *term, write *recordWrite) error {
	entry, err := o.store.Put(ctx, snapshotKey(o.config.Shard), write.snapshot, store.PutOptions{IfRevision: t.snapshotRevision})
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownResult) {
		current, readErr := o.store.Get(ctx, snapshotKey(o.config.Shard))
		if readErr != nil {
			return eris.Wrap(readErr, "reading back the snapshot")
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		t.snapshotRevision = current.Revision
		if snapshot, err := decodeSnapshot(current.Value); err == nil {
			t.snapshotSequence = max(t.snapshotSequence, snapshot.Sequence)
		}
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "writing the snapshot")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.snapshotRevision, t.snapshotSequence = entry.Revision, write.record.Sequence
	return nil
}

// pushStarts sends starts to agents without waiting for their next heartbeats. A lost start is repeated in the next
// heartbeat reply.
func (o *Owner) pushStarts(ctx context.Context, t *term) {
	type message struct {
		address string
		request structs.StartRequest
	}
	var messages []message
	o.mu.Lock()
	now := o.clock.Now()
	if t.valid(now, o.config.Lifecycle.OwnerValidity) {
		for _, name := range slices.Sorted(maps.Keys(t.machine.Workers())) {
			view := t.machine.Workers()[name]
			allowed, _ := o.fleet.MayStart(view.Worker.FailureDomain)
			if request, ok := t.machine.StartRequest(name, now, allowed); ok {
				messages = append(messages, message{view.Worker.Address, request})
			}
		}
	}
	o.mu.Unlock()
	for _, m := range messages {
		if err := o.pusher.Push(ctx, m.address, m.request); err != nil {
			o.log.Debug("start was not pushed", "address", m.address, "error", err)
		}
	}
}
