package shard

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"github.com/quetzalshed/quetzalshed/platform/store"
	"github.com/quetzalshed/quetzalshed/shard/heartbeat"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxOpenTasks bounds the open tasks of a shard, so that its snapshot stays well under the store's limit of 1 MB.
const maxOpenTasks = 50000

// maxDeletes bounds the store calls of one step that remove superfluous keys.
const maxDeletes = 16

// Step does the work of an owner that is due: it takes accepted jobs, places tasks, commits and pushes starts.
func (o *Owner) Step(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	o.mu.Lock()
	t := o.term
	o.mu.Unlock()
	if t == nil {
		return nil
	}
	o.inquire(ctx, t)
	o.takeJobs(ctx, t)
	due := o.decide(t)
	if !due {
		return nil
	}
	err := o.commit(ctx, t)
	o.push(ctx, t)
	return multierr.Append(err, o.clean(ctx, t))
}

// takeJobs lists the accepted jobs when the interval has passed, beside the step.
func (o *Owner) takeJobs(ctx context.Context, t *term) {
	now := o.clock.Now()
	o.mu.Lock()
	due := !o.listing && (o.lastList.IsZero() || now.Sub(o.lastList) >= o.config.ListEvery)
	if due {
		o.lastList, o.listing = now, true
	}
	o.mu.Unlock()
	if !due {
		return
	}
	o.background(func() {
		if err := o.listJobs(ctx, t); err != nil {
			o.log.Debug("accepted jobs were not taken", "error", err)
		}
		o.mu.Lock()
		o.listing = false
		o.mu.Unlock()
	})
}

func (o *Owner) listJobs(ctx context.Context, t *term) error {
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

// accept adds a job that is stored under its key; o.mu is held.
func (o *Owner) accept(t *term, job structs.Job) error {
	machine := t.machine
	if t.ended {
		return ErrNotOwner
	}
	if len(machine.Pending()) > maxPendingEvents {
		return ErrBusy
	}
	if machine.OpenTasks()+job.Tasks > maxOpenTasks {
		return ErrFull
	}
	lsn := machine.Accept(job)
	if lsn == 0 {
		// The job is known; its key may be deleted once everything so far is in the log.
		lsn = machine.Position()
	}
	if _, waiting := o.arrived[job.ID]; !waiting {
		o.arrived[job.ID] = lsn
	}
	if job.Urgent {
		o.setUrgent()
	}
	return nil
}

// setUrgent makes the next step due at once; o.mu is held.
func (o *Owner) setUrgent() {
	o.urgent = true
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// Kicked returns a channel that receives when a step is due before the commit interval ends.
func (o *Owner) Kicked() <-chan struct{} { return o.kick }

// decide expires leases and places tasks when the commit interval has passed or something is urgent.
func (o *Owner) decide(t *term) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if t.ended || (!o.urgent && !o.lastCommit.IsZero() && now.Sub(o.lastCommit) < o.config.CommitEvery) {
		return false
	}
	o.urgent, o.lastCommit = false, now
	t.machine.Expire(now, now)
	if len(t.machine.Pending()) > maxPendingEvents || !t.valid(now, o.config.Lifecycle.OwnerValidity) {
		return true
	}
	t.machine.Reconcile(now, now)
	t.machine.Withdraw(now, o.settled.Out)
	if input, work := o.planInput(t, now); work {
		apply(t, input, o.plan(input, now), now)
	}
	return true
}

// commit appends the pending events. The ownership ends when another owner has written to the log.
func (o *Owner) commit(ctx context.Context, t *term) error {
	o.mu.Lock()
	if t.ended {
		o.mu.Unlock()
		return nil
	}
	b, err := t.nextBatch(o.config.SnapshotEvery, o.clock.Now())
	o.mu.Unlock()
	if err != nil || b == nil {
		return err
	}
	sent := o.clock.Now()
	err = appendRecord(ctx, o.store, o.config.Shard, b.record, b.raw)
	o.mu.Lock()
	if t.ended {
		o.mu.Unlock()
		return nil
	}
	if err != nil {
		if errors.Is(err, errFenced) {
			o.end(t, "fenced by a later owner")
		}
		o.mu.Unlock()
		return eris.Wrap(err, "appending a record")
	}
	t.committed(b, sent)
	o.mu.Unlock()
	if b.snapshot == nil {
		return nil
	}
	return o.writeSnapshot(ctx, t, b)
}

// writeSnapshot replaces the snapshot. Comparing the revision keeps a paused former owner from bringing back an older one.
func (o *Owner) writeSnapshot(ctx context.Context, t *term, b *batch) error {
	entry, err := o.store.Put(ctx, snapshotKey(o.config.Shard), b.snapshot, store.PutOptions{IfRevision: t.snapshotRev})
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownResult) {
		current, readErr := o.store.Get(ctx, snapshotKey(o.config.Shard))
		if readErr != nil {
			return eris.Wrap(readErr, "reading back the snapshot")
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		t.snapshotRev = current.Revision
		if snapshot, err := decodeSnapshot(current.Value); err == nil {
			t.covered = max(t.covered, snapshot.Sequence)
		}
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "writing the snapshot")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.snapshotRev, t.covered = entry.Revision, b.record.Sequence
	return nil
}

// push sends starts without waiting for the next heartbeat. A start that gets lost is part of the next reply.
func (o *Owner) push(ctx context.Context, t *term) {
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
			allowed, _ := o.settled.MayStart(view.Worker.FailureDomain)
			if request, ok := t.machine.Push(name, now, allowed); ok {
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

// clean deletes keys that the log or the snapshot has made superfluous. Failures are harmless: a job that is listed
// again is known, and records that a snapshot covers are skipped.
func (o *Owner) clean(ctx context.Context, t *term) error {
	o.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(o.arrived)) {
		if o.arrived[id] <= t.machine.Durable() && len(t.superfluous) < maxDeletes {
			delete(o.arrived, id)
			t.superfluous = append(t.superfluous, JobKey(o.config.Shard, id))
		}
	}
	for _, sequence := range t.truncatable() {
		t.superfluous = append(t.superfluous, recordKey(o.config.Shard, sequence))
	}
	o.mu.Unlock()
	var errs [maxDeletes]error
	var deletions sync.WaitGroup
	for i := range maxDeletes {
		key, ok := o.nextSuperfluous(t)
		if !ok {
			break
		}
		deletions.Add(1)
		// With a slow store, one deletion after another would delay the next commit by all of them.
		o.background(func() {
			defer deletions.Done()
			if err := o.store.Delete(ctx, key, store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
				errs[i] = eris.Wrap(err, "deleting a superfluous key")
			}
		})
	}
	deletions.Wait()
	return multierr.Combine(errs[:]...)
}

// nextSuperfluous takes a key to delete. It returns false when there is none, or when a step is due at once: the deletions
// after a snapshot take half a second with 4 ms to the store, for which urgent work would wait.
func (o *Owner) nextSuperfluous(t *term) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.urgent || len(t.superfluous) == 0 {
		return "", false
	}
	key := t.superfluous[0]
	t.superfluous = t.superfluous[1:]
	return key, true
}

// Heartbeat answers the report of a worker.
func (o *Owner) Heartbeat(hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	if t == nil {
		return structs.HeartbeatReply{}, ErrNotOwner
	}
	// The clock is read after the wait for the mutex, so that a pause in between can't renew too late.
	now := o.clock.Now()
	renew := t.valid(now, o.config.Lifecycle.OwnerValidity)
	if err := heartbeat.Expand(baseOf(t.machine.Workers()[hb.Worker.Name]), &hb); err != nil {
		return structs.HeartbeatReply{}, err
	}
	stated := hb.Worker
	o.identify(&hb.Worker)
	allowed, _ := o.settled.MayStart(hb.Worker.FailureDomain)
	reply, err := t.machine.Heartbeat(now, now, hb, renew, allowed)
	if err != nil {
		return reply, err
	}
	t.machine.Workers()[hb.Worker.Name].Stated = stated
	t.learned.heartbeat(&hb, now)
	if !renew {
		// The report is kept, so that work which agents have suspended isn't given up once the store is back.
		return structs.HeartbeatReply{}, ErrNotOwner
	}
	heartbeat.Shorten(hb, &reply)
	o.settled.Attach(&reply, hb.HeadRevision)
	return reply, nil
}

// baseOf returns the heartbeat on which the next one of a worker may build, nil when there is none under this epoch.
func baseOf(view *lifecycle.View) *heartbeat.Base {
	if view == nil || !view.Current {
		return nil
	}
	return &heartbeat.Base{
		Incarnation: view.Incarnation, Sequence: view.Sequence, Worker: view.Stated, Running: view.Running,
	}
}

// identify replaces what a worker says of its place and size by what the inventory says, where that is known. The
// capacity is the smaller of both, since the agent refuses what exceeds its own.
func (o *Owner) identify(w *structs.Worker) {
	listed, ok := o.settled.Worker(w.Name)
	if !ok {
		return
	}
	own, address := w.Capacity, w.Address
	*w = listed
	w.Address = address
	w.Capacity = structs.Resources{
		MilliCores:   min(own.MilliCores, listed.Capacity.MilliCores),
		MemoryMB:     min(own.MemoryMB, listed.Capacity.MemoryMB),
		Accelerators: min(own.Accelerators, listed.Capacity.Accelerators),
	}
}

// Submit takes a job that an entry has stored.
func (o *Owner) Submit(job structs.Job) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return ErrNotOwner
	}
	return o.accept(o.term, job)
}

// Status returns the state of a job.
func (o *Owner) Status(id string) (structs.JobStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil || !o.term.valid(o.clock.Now(), o.config.Lifecycle.OwnerValidity) {
		return structs.JobStatus{}, ErrNotOwner
	}
	status, known := o.term.machine.Status(id)
	if !known {
		return status, ErrUnknownJob
	}
	return status, nil
}

// Jobs returns the state of all jobs in the order of their IDs.
func (o *Owner) Jobs() ([]structs.JobStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return nil, ErrNotOwner
	}
	list := []structs.JobStatus{}
	for _, id := range o.term.machine.State().JobIDs() {
		status, _ := o.term.machine.Status(id)
		list = append(list, status)
	}
	return list, nil
}

// Cancel ends a job and returns once the cancellation is in the log. Cancellations that arrive within one commit
// interval share a record.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	done, err := o.BeginCancel(id)
	if err != nil {
		return err
	}
	return done(ctx)
}

// BeginCancel ends a job and returns a function that waits until the cancellation is in the log.
func (o *Owner) BeginCancel(id string) (func(context.Context) error, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	if t == nil {
		return nil, ErrNotOwner
	}
	if len(t.machine.Pending()) > maxPendingEvents {
		return nil, ErrBusy
	}
	lsn, known := t.machine.Cancel(id, o.clock.Now())
	if !known {
		return nil, ErrUnknownJob
	}
	return func(ctx context.Context) error { return o.waitDurable(ctx, t, lsn) }, nil
}

func (o *Owner) waitDurable(ctx context.Context, t *term, lsn int64) error {
	for {
		o.mu.Lock()
		durable, ended, changed := t.machine.Durable() >= lsn, t.ended, t.changed
		o.mu.Unlock()
		switch {
		case durable:
			return nil
		case ended:
			return ErrNotOwner
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
