package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// TombstoneLife is how long a tombstone is certain to exist after a cancellation was answered. It covers the seconds by which the store
	// may carry out a write late, and a suspension of the gateway's host, during which the lease runs on.
	TombstoneLife = 30 * time.Second
	// tombstoneLeaseTTL lets the lease of new tombstones be used for a TombstoneLife.
	tombstoneLeaseTTL = 2 * TombstoneLife
	// tombstoneGrantTimeout limits the grant of a lease.
	tombstoneGrantTimeout = 700 * time.Millisecond
	// tombstonesPerSecond and tombstoneBurst limit the writes and keys that clients cause by cancelling jobs that don't exist.
	tombstonesPerSecond = 10
	tombstoneBurst      = 50
)

var (
	// errTombstoneLimit means that clients have cancelled too many jobs that are not stored. The cancellation had no effect.
	errTombstoneLimit = fmt.Errorf("%w: too many jobs that are not stored are cancelled", ErrUnavailable)
	// errJobStored means that a job has been stored, so that it can't get a tombstone.
	errJobStored = errors.New("gateway: job is stored")
)

// tombstones creates tombstones for jobs that are cancelled before they are stored. The store deletes them with their leases.
type tombstones struct {
	store   *kv.Monitor
	writer  *intake.Writer
	limiter *rate.Limiter
	// leaseTurn holds an element while lease and usableUntil are used.
	leaseTurn   chan struct{}
	lease       int64
	usableUntil time.Time
}

// newTombstones returns a creator of tombstones, which works once run is called. Its writer is not that of the submissions: a lease that has
// ended makes whole writes fail.
func newTombstones(store *kv.Monitor, log hclog.Logger) *tombstones {
	return &tombstones{
		store: store, writer: intake.NewWriter(store, log), limiter: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst), leaseTurn: make(chan struct{}, 1),
	}
}

// run writes tombstones until ctx ends.
func (t *tombstones) run(ctx context.Context) { t.writer.Run(ctx) }

// create makes sure that the key of a job that isn't stored holds a tombstone for TombstoneLife. It returns errJobStored if the job is
// stored. Errors match ErrUnavailable or ErrUnknown otherwise.
func (t *tombstones) create(ctx context.Context, id string) error {
	if !t.limiter.Allow() {
		return errTombstoneLimit
	}
	lease, err := t.currentLease(ctx)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	existing, err := t.writer.CreateLeased(ctx, owner.JobPrefix+id, workflow.Tombstone(), lease)
	if err != nil {
		return t.writeError(err, lease)
	}
	if existing != nil && !workflow.IsTombstone(existing.Value) {
		return errJobStored
	}
	return nil
}

// renew gives a tombstone that was found in the store its full life again. It returns errJobStored if the key has changed since.
func (t *tombstones) renew(ctx context.Context, found kv.Item) error {
	lease, err := t.currentLease(ctx)
	if err != nil {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	if found.Lease == lease {
		return nil
	}
	if !t.limiter.Allow() {
		return errTombstoneLimit
	}
	_, err = t.store.Commit(ctx, kv.Transaction{
		Conditions: []kv.Condition{{Key: found.Key, Revision: found.Revision}},
		Puts:       []kv.Put{{Key: found.Key, Value: workflow.Tombstone(), Lease: lease}},
	})
	if errors.Is(err, kv.ErrConflict) {
		return errJobStored
	}
	return t.writeError(err, lease)
}

// writeError returns the error of a write of a tombstone with a lease, and nil if there is none.
func (t *tombstones) writeError(err error, lease int64) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kv.ErrUnknown), errors.Is(err, intake.ErrUnknown):
		return eris.Wrap(ErrUnknown, err.Error())
	case errors.Is(err, kv.ErrLeaseNotFound):
		t.dropLease(lease)
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// currentLease returns a lease that lasts for TombstoneLife at least, and gets one if necessary.
func (t *tombstones) currentLease(ctx context.Context) (int64, error) {
	select {
	case t.leaseTurn <- struct{}{}:
		defer func() { <-t.leaseTurn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if t.lease != 0 && time.Now().Before(t.usableUntil) {
		return t.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tombstoneGrantTimeout)
	defer cancel()
	sentAt := time.Now()
	lease, err := t.store.Grant(ctx, tombstoneLeaseTTL)
	if err != nil {
		return 0, err
	}
	t.lease, t.usableUntil = lease.ID, sentAt.Add(lease.TTL-TombstoneLife)
	return t.lease, nil
}

// dropLease makes the next tombstone get another lease, since the store has ended this one.
func (t *tombstones) dropLease(lease int64) {
	t.leaseTurn <- struct{}{}
	defer func() { <-t.leaseTurn }()
	if t.lease == lease {
		t.lease = 0
	}
}
