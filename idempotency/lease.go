package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/store"
)

// leasePeriod is how long new records are attached to the same lease. The store deletes the records when the lease
// expires, so their expiry needs no writes, and the shared lease costs one call per hour.
const leasePeriod = time.Hour

// sharedLease holds the store lease that new records are attached to. The lease is never renewed: it expires, and its
// records with it, once the retention of its newest record has passed.
type sharedLease struct {
	opts Options
	// grantLock is a lock with a capacity of 1 that is held during a grant, so that each period has only one grant.
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

// current returns the lease of the current period, and grants it if needed. A grant whose response was lost leaves an
// unused lease that expires by itself.
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
	// The period is counted from before the call, since the lease's time to live may start at any moment during it.
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

// discard removes a lease that no longer exists in the store.
func (b *sharedLease) discard(lease store.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease == lease {
		b.lease = ""
	}
}
