package shard

import (
	"context"

	"github.com/quetzalshed/quetzalshed/shard/heartbeat"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxOpenTasks bounds the open tasks of a shard, so that its snapshot stays well below the store's value limit of 1 MB.
const maxOpenTasks = 50000

// Heartbeat processes the heartbeat of a worker.
func (o *Owner) Heartbeat(hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	if t == nil {
		return structs.HeartbeatReply{}, ErrNotOwner
	}
	// The clock is read after the mutex is acquired, so that the wait for it can't lead to a renewal after the ownership
	// has expired.
	now := o.clock.Now()
	renew := t.valid(now, o.config.Lifecycle.OwnerValidity)
	if err := heartbeat.Expand(deltaBase(t.machine.Workers()[hb.Worker.Name]), &hb); err != nil {
		return structs.HeartbeatReply{}, err
	}
	reported := hb.Worker
	o.applyInventory(&hb.Worker)
	allowed, _ := o.fleet.MayStart(hb.Worker.FailureDomain)
	reply, err := t.machine.Heartbeat(now, now, hb, renew, allowed)
	if err != nil {
		return reply, err
	}
	t.machine.Workers()[hb.Worker.Name].ReportedWorker = reported
	t.models.observeHeartbeat(&hb, now)
	if !renew {
		// The report is processed anyway, so that tasks suspended by agents aren't requeued once the store is available
		// again.
		return structs.HeartbeatReply{}, ErrNotOwner
	}
	heartbeat.CompactReply(hb, &reply)
	o.fleet.AttachHead(&reply, hb.HeadRevision)
	return reply, nil
}

// deltaBase returns the heartbeat that the next delta heartbeat of a worker may be based on, or nil if there is none
// under this epoch.
func deltaBase(view *lifecycle.WorkerView) *heartbeat.Base {
	if view == nil || !view.EpochConfirmed {
		return nil
	}
	return &heartbeat.Base{
		Incarnation: view.Incarnation, Sequence: view.Sequence, Worker: view.ReportedWorker, Running: view.Running,
	}
}

// applyInventory replaces a worker's reported description by its inventory entry, if there is one. The capacity is the
// minimum of both, since the agent refuses tasks that exceed its own.
func (o *Owner) applyInventory(w *structs.Worker) {
	listed, ok := o.fleet.Worker(w.Name)
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

// accept adds a job that is stored under its key. The caller must hold o.mu.
func (o *Owner) accept(t *term, job structs.Job) error {
	machine := t.machine
	if t.ended {
		return ErrNotOwner
	}
	if len(machine.PendingEvents()) > maxPendingEvents {
		return ErrBusy
	}
	if machine.OpenTasks()+job.Tasks > maxOpenTasks {
		return ErrFull
	}
	lsn := machine.Accept(job)
	if lsn == 0 {
		// The job is already known; its key may be deleted once all events so far are durable.
		lsn = machine.LastPosition()
	}
	if _, waiting := o.jobKeysToDelete[job.ID]; !waiting {
		o.jobKeysToDelete[job.ID] = lsn
	}
	if job.Urgent {
		o.setUrgent()
	}
	return nil
}

// Submit accepts a job that an entry process has stored.
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

// Jobs returns the state of all jobs, ordered by ID.
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

// Cancel cancels a job and returns once the cancellation is durable. Cancellations that arrive within one commit
// interval share a log record.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	done, err := o.BeginCancel(id)
	if err != nil {
		return err
	}
	return done(ctx)
}

// BeginCancel cancels a job and returns a function that waits until the cancellation is durable.
func (o *Owner) BeginCancel(id string) (func(context.Context) error, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	if t == nil {
		return nil, ErrNotOwner
	}
	if len(t.machine.PendingEvents()) > maxPendingEvents {
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
		durable, ended, changed := t.machine.DurablePosition() >= lsn, t.ended, t.changed
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
