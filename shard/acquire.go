package shard

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Acquire tries once to become the owner. It returns nil if another process owns the shard.
func (o *Owner) Acquire(ctx context.Context) error {
	o.stepMu.Lock()
	defer o.stepMu.Unlock()
	if _, owns := o.Owns(); owns {
		return nil
	}
	entry, err := o.store.Get(ctx, ownerKey(o.config.Shard))
	if err == nil {
		o.publishOwner(entry)
		return nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return eris.Wrap(err, "reading the owner key")
	}
	id := rand.Text()
	lease, err := o.store.Grant(ctx, o.config.LeaseTTL)
	if err != nil {
		return eris.Wrap(err, "granting a lease")
	}
	acquiring, renewal := o.renewWhileAcquiring(ctx, lease)
	t, revision, err := o.claimAndBegin(acquiring, id, lease)
	provenAt := renewal.stop()
	if err != nil || t == nil {
		_ = o.store.Revoke(ctx, lease)
		return err
	}
	t.provenAt = provenAt
	o.startTerm(t)
	// The epoch in the owner key tells agents without gossip where to send heartbeats; a failure only delays that.
	raw, err := json.Marshal(ownerValue{Term: id, Address: o.config.Address, Epoch: t.machine.Epoch()})
	if err != nil {
		return eris.Wrap(err, "encoding the owner key")
	}
	_, err = o.store.Put(ctx, ownerKey(o.config.Shard), raw, store.PutOptions{IfRevision: revision, Lease: lease})
	return eris.Wrap(err, "publishing the epoch")
}

// claimAndBegin claims the owner key and begins a term. The term is nil if another process holds the key.
func (o *Owner) claimAndBegin(ctx context.Context, id string, lease store.LeaseID) (*term, int64, error) {
	revision, err := o.claimOwnerKey(ctx, id, lease)
	if err != nil || revision == 0 {
		return nil, 0, err
	}
	t, err := o.beginTerm(ctx, id, lease)
	return t, revision, err
}

// publishOwner updates the directory with the owner that the store names.
func (o *Owner) publishOwner(entry store.Entry) {
	var value ownerValue
	if json.Unmarshal(entry.Value, &value) == nil && value.Epoch > 0 {
		o.owners.Publish(structs.ShardOwner{Shard: o.config.Shard, Epoch: value.Epoch, Address: value.Address})
	}
}

// claimOwnerKey creates the owner key and returns its revision, or 0 if another process holds the key. A lost response is
// resolved by reading the key back.
func (o *Owner) claimOwnerKey(ctx context.Context, id string, lease store.LeaseID) (int64, error) {
	raw, err := json.Marshal(ownerValue{Term: id, Address: o.config.Address})
	if err != nil {
		return 0, eris.Wrap(err, "encoding the owner key")
	}
	entry, err := o.store.Put(ctx, ownerKey(o.config.Shard), raw, store.PutOptions{Lease: lease})
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	if errors.Is(err, store.ErrUnknownResult) {
		entry, readErr := o.store.Get(ctx, ownerKey(o.config.Shard))
		if readErr != nil {
			return 0, eris.Wrap(err, "claiming the shard")
		}
		var value ownerValue
		if json.Unmarshal(entry.Value, &value) == nil && value.Term == id {
			return entry.Revision, nil
		}
		return 0, nil
	}
	return entry.Revision, eris.Wrap(err, "claiming the shard")
}

func (o *Owner) startTerm(t *term) {
	o.mu.Lock()
	o.term = t
	o.jobKeysToDelete = map[string]int64{}
	o.lastQuery = map[string]time.Time{}
	o.lastJobList, o.lastCommit = time.Time{}, time.Time{}
	o.mu.Unlock()
	epoch := t.machine.Epoch()
	o.owners.Publish(structs.ShardOwner{Shard: o.config.Shard, Epoch: epoch, Address: o.config.Address})
	o.log.Info("shard ownership began", "shard", o.config.Shard, "epoch", epoch, "jobs", len(t.machine.State().Jobs))
}
