package owner

import (
	"context"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// batch holds the changes of one flush, and the callbacks and orders that must wait until they are stored.
type batch struct {
	changes     []engine.Change
	deletions   []string
	afterCommit []func()
	deliveries  []engine.NodeOrders
	started     time.Time
}

// flush plans tasks and starts to store the changes. If nothing has changed, it releases the batch at once.
func (t *term) flush(ctx context.Context) {
	t.engine.Plan(t.clock.Now(), time.Now())
	t.updateLoad()
	t.logWaits()
	t.logIdle()
	b := &batch{
		changes: t.engine.TakeDirty(), deliveries: t.engine.TakeOrders(), afterCommit: t.afterCommit, deletions: t.deletions,
		started: time.Now(),
	}
	t.afterCommit, t.deletions = nil, nil
	if len(b.changes) == 0 && len(b.deletions) == 0 {
		t.release(b)
		return
	}
	t.lastFlush = b.started
	t.committing = b
	go func() { t.commitDone <- t.commit(ctx, b) }()
}

// finishCommit marks the changes of a commit as stored and releases its batch.
func (t *term) finishCommit(err error) error {
	b := t.committing
	t.committing = nil
	if err != nil {
		return err
	}
	t.metrics.commits.Inc(1)
	t.metrics.changes.Inc(int64(len(b.changes)))
	t.metrics.commitTime.RecordDuration(time.Since(b.started))
	t.engine.MarkStored(b.changes)
	for _, c := range b.changes {
		if c.Record.Phase.Final() {
			t.log.Info("job ended", "job", c.Job, "phase", c.Record.Phase, "epoch", t.lease.Record.Epoch, "revision", t.commitRevision)
		}
	}
	for _, id := range b.deletions {
		t.engine.Forget(id)
		t.deletedJobs.add(id, t.commitRevision, time.Now())
	}
	t.release(b)
	return nil
}

// release calls the callbacks of a stored batch and delivers its orders.
func (t *term) release(b *batch) {
	for _, after := range b.afterCommit {
		after()
	}
	for i := range b.deliveries {
		go t.deliver(&b.deliveries[i])
	}
}
