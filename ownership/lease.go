package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// leaseTTL is how long an owner that says nothing keeps the ownership.
	leaseTTL = 2 * time.Second
	// renewInterval leaves three renewals to one that is lost.
	renewInterval = 500 * time.Millisecond
	// releaseTimeout bounds the release at a planned stop.
	releaseTimeout = time.Second
)

// Tenure is one ownership.
type Tenure struct {
	Record workflow.OwnerRecord
	// CommitRevision is the revision of CommitKey after the takeover.
	CommitRevision int64

	store      kv.Store
	lease      int64
	log        hclog.Logger
	validUntil atomic.Int64
	started    time.Time
}

// Acquire takes the ownership if nobody has it. It returns nil without an error if another process was faster.
func Acquire(ctx context.Context, store kv.Store, self workflow.OwnerRecord, log hclog.Logger) (*Tenure, error) {
	asked := time.Now()
	lease, err := store.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	commit, _, _, err := store.Get(ctx, CommitKey)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return nil, err
	}
	revision, err := store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: OwnerKey}, {Key: CommitKey, Revision: commit.Revision}},
		Puts:       []kv.Put{{Key: OwnerKey, Value: value, Lease: lease.ID}, {Key: CommitKey, Value: value}},
	})
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrLeaseNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	self.Epoch = revision
	t := &Tenure{Record: self, CommitRevision: revision, store: store, lease: lease.ID, log: log, started: time.Now()}
	t.validUntil.Store(int64(asked.Add(lease.TTL).Sub(t.started)))
	return t, nil
}

// Valid tells whether no other process can hold the ownership yet.
func (t *Tenure) Valid(now time.Time) bool { return int64(now.Sub(t.started)) < t.validUntil.Load() }

// Keep renews the lease until it has ended or ctx ends. It returns true if the lease has ended.
func (t *Tenure) Keep(ctx context.Context) bool {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		asked := time.Now()
		err := t.store.KeepAlive(ctx, t.lease)
		switch {
		case errors.Is(err, kv.ErrLeaseNotFound):
			return true
		case err != nil:
			t.log.Debug("lease of the owner not renewed", "epoch", t.Record.Epoch, "error", err)
		default:
			t.validUntil.Store(int64(asked.Add(leaseTTL).Sub(t.started)))
		}
	}
}

// Release gives the ownership up, so that another process takes over at once.
func (t *Tenure) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := t.store.Revoke(ctx, t.lease); err != nil {
		t.log.Warn("ownership not released, it lapses", "epoch", t.Record.Epoch, "error", err)
	}
}
