package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// LeaseTTL is how long an owner that does not renew its lease keeps the ownership.
	LeaseTTL = 1500 * time.Millisecond
	// renewInterval allows several renewals within one LeaseTTL, as some may be lost. Renewals run concurrently.
	renewInterval = 350 * time.Millisecond
	// renewTimeout limits one renewal.
	renewTimeout = 900 * time.Millisecond
	// releaseTimeout limits the release of the ownership at a planned stop.
	releaseTimeout = time.Second
)

// Lease is a lease on the ownership of the jobs. The store deletes OwnerKey when it ends.
type Lease struct {
	Record workflow.OwnerRecord
	// CommitRevision is the revision of CommitKey right after the ownership was acquired.
	CommitRevision int64
	// Former is the value of CommitKey that the last owner left, if any; there has been no owner since. It was read at
	// FormerReadAt.
	Former       []byte
	FormerReadAt time.Time

	store   kv.Store
	leaseID int64
	clock   *clock.Boot
	log     hclog.Logger

	mu         sync.Mutex
	validUntil time.Time
	released   bool
}

// Acquire takes the ownership if there is no owner. It returns nil without an error if another process has it or was faster. The
// lease is measured by the given clock.
func Acquire(ctx context.Context, store kv.Store, self workflow.OwnerRecord, boot *clock.Boot, log hclog.Logger) (*Lease, error) {
	value, err := json.Marshal(self)
	if err != nil {
		return nil, err
	}
	commit, _, _, err := store.Get(ctx, CommitKey)
	if err != nil {
		return nil, err
	}
	readAt := boot.Now()
	// The lease is granted last, since it runs while the store answers the calls that follow.
	sentAt := boot.Now()
	lease, err := store.Grant(ctx, LeaseTTL)
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
	l := &Lease{Record: self, CommitRevision: revision, Former: commit.Value, FormerReadAt: readAt, store: store, leaseID: lease.ID, clock: boot, log: log}
	l.extend(sentAt.Add(lease.TTL))
	return l, nil
}

// RevokeFormer revokes the ownership that a former process with the same node name and address still holds, if any. It must be
// called before this process takes part in elections, as it would revoke its own ownership otherwise.
func RevokeFormer(ctx context.Context, store kv.Store, node, address string, log hclog.Logger) error {
	item, found, _, err := store.Get(ctx, OwnerKey)
	if err != nil || !found {
		return err
	}
	var record workflow.OwnerRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return eris.Wrapf(err, "decode the owner record at revision %d", item.Revision)
	}
	if record.Node != node || record.Address != address {
		return nil
	}
	log.Info("ownership of a former process ended", "epoch", item.Created)
	return store.Revoke(ctx, item.Lease)
}

// Valid reports whether the lease is certainly still held, so that no other process can have the ownership yet.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.released && l.clock.Now().Before(l.validUntil)
}

// KeepAlive renews the lease until the store reports that it has ended, and then returns true. It returns false when ctx ends.
func (l *Lease) KeepAlive(ctx context.Context) bool {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	ended := make(chan struct{}, 1)
	// Much of the lease may be over by now if the store is slow.
	go l.renew(ctx, ended)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ended:
			return true
		case <-ticker.C:
			go l.renew(ctx, ended)
		}
	}
}

func (l *Lease) renew(ctx context.Context, ended chan<- struct{}) {
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := l.clock.Now()
	err := l.store.KeepAlive(call, l.leaseID)
	switch {
	case errors.Is(err, kv.ErrLeaseNotFound):
		select {
		case ended <- struct{}{}:
		default:
		}
	case err != nil:
		l.log.Debug("ownership lease not renewed", "epoch", l.Record.Epoch, "error", err)
	default:
		l.extend(sentAt.Add(LeaseTTL))
	}
}

// extend moves the end of the validity forward. Earlier ends are ignored, as renewals may complete out of order.
func (l *Lease) extend(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.validUntil) {
		l.validUntil = until
	}
}

// Release revokes the lease, so that another process can take over at once. The lease is not valid from then on, so that no start is sent
// that waits for its turn.
func (l *Lease) Release() {
	l.mu.Lock()
	l.released = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.store.Revoke(ctx, l.leaseID); err != nil {
		l.log.Warn("ownership not released, it ends when the lease expires", "epoch", l.Record.Epoch, "error", err)
	}
}
