package owner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

const (
	// rowsPerJob is the number of rows that deleting one job takes: its input, its cancellation and its state.
	rowsPerJob = 3
	// commitRetryDelay is the pause before a write whose result is unknown is retried.
	commitRetryDelay = 50 * time.Millisecond
	// maxCommitBytes limits the values of one transaction together. A batch of long records would take most of the memory of a small host.
	maxCommitBytes = 1 << 20
	// maxChangesPerCommit leaves room for the condition on the commit key and for its update.
	maxChangesPerCommit = kv.MaxTransactionRows - 2
)

// commitMark is the value of the commit key. It identifies the last write of an owner, so that a write without a response can
// be recognized as applied.
type commitMark struct {
	Epoch int64 `json:"epoch"`
	Count int64 `json:"count"`
	// Leases is what the next owner has to know of the executors' leases.
	Leases *workflow.OwnerLeases `json:"leases,omitempty"`
}

// commit stores a batch, and returns nil only if all of it is known to be stored. A large batch is split into several transactions; the
// rows of one job are never split.
func (t *term) commit(ctx context.Context, b *batch) error {
	if err := t.writeRecords(ctx, b.changes); err != nil {
		return err
	}
	deletions := b.deletions
	for len(deletions) > 0 {
		n := min(len(deletions), maxChangesPerCommit/rowsPerJob)
		var keys []string
		for _, id := range deletions[:n] {
			keys = append(keys, JobPrefix+id, CancelPrefix+id, StatePrefix+id)
		}
		if err := t.write(ctx, kv.Transaction{Deletions: keys}); err != nil {
			return err
		}
		deletions = deletions[n:]
	}
	return nil
}

// writeRecords stores the records of jobs, in transactions whose values have maxCommitBytes together unless one record is longer.
func (t *term) writeRecords(ctx context.Context, changes []engine.Change) error {
	var puts []kv.Put
	bytes := 0
	for _, c := range changes {
		value := t.encodeRecord(&c)
		if len(puts) == maxChangesPerCommit || len(puts) > 0 && bytes+len(value) > maxCommitBytes {
			if err := t.writePuts(ctx, puts); err != nil {
				return err
			}
			puts, bytes = nil, 0
		}
		puts, bytes = append(puts, kv.Put{Key: StatePrefix + c.Job, Value: value}), bytes+len(value)
	}
	if len(puts) == 0 {
		return nil
	}
	return t.writePuts(ctx, puts)
}

// encodeRecord encodes the record of a job as a value that the store takes.
func (t *term) encodeRecord(c *engine.Change) []byte {
	value, dropped := c.Record.EncodeWithin(t.maxValueBytes)
	if dropped > 0 {
		t.metrics.droppedCheckpoints.Inc(int64(dropped))
		t.log.Debug("checkpoints not stored, the record is too long", "job", c.Job, "dropped", dropped, "tasks", len(c.Record.Tasks))
	}
	return value
}

// writePuts writes rows in one transaction. If the store refuses it, each row is written by itself, so that one that the store doesn't take
// keeps none of the others from being stored.
func (t *term) writePuts(ctx context.Context, puts []kv.Put) error {
	err := t.write(ctx, kv.Transaction{Puts: puts[:len(puts):len(puts)]})
	if !errors.Is(err, errWriteRefused) || len(puts) == 1 {
		return err
	}
	var refused error
	for i := range puts {
		err := t.write(ctx, kv.Transaction{Puts: puts[i : i+1 : i+1]})
		if errors.Is(err, errWriteRefused) {
			refused = eris.Wrapf(err, "key %s, %d bytes", puts[i].Key, len(puts[i].Value))
			continue
		}
		if err != nil {
			return err
		}
	}
	return refused
}

// write retries a transaction until it is known to be applied. It returns errWriteRefused if the store refuses it for what it contains, and
// another error if ctx ends before or the ownership is lost. Each transaction is conditional on the revision of the previous one, so that
// neither a former owner nor a delayed write can overwrite newer records.
func (t *term) write(ctx context.Context, transaction kv.Transaction) error {
	t.commitCount++
	mark := commitMark{t.lease.Record.Epoch, t.commitCount, t.leases}
	value, err := json.Marshal(mark)
	if err != nil {
		return err
	}
	transaction.Puts = append(transaction.Puts, kv.Put{Key: ownership.CommitKey, Value: value})
	started := time.Now()
	for attempt := 1; ; attempt++ {
		transaction.Conditions = []kv.Condition{{Key: ownership.CommitKey, Revision: t.commitRevision}}
		call, cancel := kv.RetryContext(ctx, attempt-1)
		revision, err := t.store.Commit(call, transaction)
		cancel()
		if err == nil {
			t.commitRevision = revision
			if attempt > 1 {
				t.log.Info("write stored after repetition", "attempts", attempt, "took_ms", time.Since(started).Milliseconds(), "revision", revision)
			}
			return nil
		}
		if ctx.Err() != nil {
			return termError(ctx)
		}
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			applied, err := t.alreadyApplied(conflict, mark)
			if err != nil || applied {
				return err
			}
			continue
		}
		if errors.Is(err, kv.ErrConflict) {
			return errOwnershipLost
		}
		if errors.Is(err, kv.ErrInvalid) {
			t.log.Error("the store refuses a write", "epoch", mark.Epoch, "count", mark.Count, "rows", len(transaction.Puts), "error", err)
			return eris.Wrap(errWriteRefused, err.Error())
		}
		if attempt == 1 {
			t.log.Warn("write not stored, repeating", "epoch", mark.Epoch, "count", mark.Count, "rows", len(transaction.Puts), "error", err)
		}
		select {
		case <-ctx.Done():
			return termError(ctx)
		case <-time.After(commitRetryDelay):
		}
	}
}

// alreadyApplied reports whether an earlier attempt of a write was applied, judged by the value of the commit key. It returns
// errOwnershipLost if the key holds any other mark.
func (t *term) alreadyApplied(conflict *kv.ConflictError, mark commitMark) (bool, error) {
	item, found := conflict.Find(ownership.CommitKey)
	if !found {
		return false, errOwnershipLost
	}
	var stored commitMark
	if err := json.Unmarshal(item.Value, &stored); err != nil || stored.Epoch != mark.Epoch {
		t.log.Info("commit key was changed by another owner", "epoch", mark.Epoch, "revision", item.Revision)
		return false, errOwnershipLost
	}
	if stored.Count > mark.Count {
		return false, errOwnershipLost
	}
	// A lower count is that of an earlier write of this term whose result was unknown when the term ended.
	t.commitRevision = item.Revision
	return stored.Count == mark.Count, nil
}
