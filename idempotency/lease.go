package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/store"
)

// leasePeriod is how long records are attached to the same lease. One lease for many records makes expiry free of writes
// and costs one call per hour.
const leasePeriod = time.Hour

// sharedLease holds the lease that new records are attached to. It is never renewed, so that it lapses, and its records
// with it, once the retention of its newest record has passed.
type sharedLease struct {
	opts Options
	// grantLock is held during the call of the store, so that an hour begins with one grant.
	grantLock chan struct{}

	mu          sync.Mutex
	lease       store.LeaseID
	usableUntil time.Time
}

func (b *sharedLease) usable() (store.LeaseID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lease, b.lease != "" && b.opts.Clock.Now().Before(b.usableUntil)
}

// current returns the lease of the current hour, after granting it if needed. A grant whose response was lost leaves a
// lease behind that lapses by itself.
func (b *sharedLease) current(ctx context.Context) (store.LeaseID, error) {
	if lease, ok := b.usable(); ok {
		return lease, nil
	}
	select {
	case b.grantLock <- struct{}{}:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	defer func() { <-b.grantLock }()
	if lease, ok := b.usable(); ok {
		return lease, nil
	}
	// The hour is counted from before the call, since the store's time to live may start at any point of it.
	start := b.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, b.opts.CallTimeout)
	defer cancel()
	lease, err := b.opts.Store.Grant(ctx, b.opts.Retention+leasePeriod)
	if err != nil {
		return "", err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lease, b.usableUntil = lease, start.Add(leasePeriod)
	return lease, nil
}

// discard drops a lease that the store no longer knows.
func (b *sharedLease) discard(lease store.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == lease {
		b.lease = ""
	}
}
