package shard

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"github.com/quetzalshed/quetzalshed/store"
)

// maxDeletes bounds the deletions of one step.
const maxDeletes = 16

// deleteObsoleteKeys deletes the keys of jobs that are in the log and of records that the snapshot covers. Failures are
// harmless: a job that is listed again is already known, and records that a snapshot covers are skipped on replay.
func (o *Owner) deleteObsoleteKeys(ctx context.Context, t *term) error {
	o.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(o.jobKeysToDelete)) {
		if o.jobKeysToDelete[id] <= t.machine.DurablePosition() && len(t.obsoleteKeys) < maxDeletes {
			delete(o.jobKeysToDelete, id)
			t.obsoleteKeys = append(t.obsoleteKeys, JobKey(o.config.Shard, id))
		}
	}
	for _, sequence := range t.takeObsoleteRecords() {
		t.obsoleteKeys = append(t.obsoleteKeys, recordKey(o.config.Shard, sequence))
	}
	o.mu.Unlock()
	var errs [maxDeletes]error
	var deletions sync.WaitGroup
	for i := range maxDeletes {
		key, ok := o.nextObsoleteKey(t)
		if !ok {
			break
		}
		deletions.Add(1)
		// Sequential deletions would delay the next commit by the sum of their latencies when the store is slow.
		o.background(func() {
			defer deletions.Done()
			if err := o.store.Delete(ctx, key, store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
				errs[i] = eris.Wrap(err, "deleting an obsolete key")
			}
		})
	}
	deletions.Wait()
	return multierr.Combine(errs[:]...)
}

// nextObsoleteKey removes and returns a key to delete. It returns false if there is none, or if an urgent step is due:
// the deletions after a snapshot take half a second at a store latency of 4 ms, and urgent work would wait for them.
func (o *Owner) nextObsoleteKey(t *term) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.urgent || len(t.obsoleteKeys) == 0 {
		return "", false
	}
	key := t.obsoleteKeys[0]
	t.obsoleteKeys = t.obsoleteKeys[1:]
	return key, true
}
