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

// maxDeletes bounds the store calls of one step that remove superfluous keys.
const maxDeletes = 16

// deleteObsoleteKeys deletes keys that the log or the snapshot has made superfluous. Failures are harmless: a job that is listed
// again is known, and records that a snapshot covers are skipped.
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

// nextObsoleteKey takes a key to delete. It returns false when there is none, or when a step is due at once: the deletions
// after a snapshot take half a second with 4 ms to the store, for which urgent work would wait.
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
