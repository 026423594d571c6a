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

func (l *sharedLease) usable() (store.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease != "" && l.opts.Clock.Now().Before(l.usableUntil)
}

// current returns the lease of the current period, and grants it if needed. A grant whose response was lost leaves an
// unused lease that expires by itself.
func (l *sharedLease) current(ctx context.Context) (store.LeaseID, error) {
	if lease, ok := l.usable(); ok {
		return lease, nil
	}
	select {
	case l.grantLock <- struct{}{}:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	defer func() { <-l.grantLock }()
	if lease, ok := l.usable(); ok {
		return lease, nil
	}
	// The period is counted from before the call, since the lease's time to live may start at any moment during it.
	start := l.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	lease, err := l.opts.Store.Grant(ctx, l.opts.Retention+leasePeriod)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.usableUntil = lease, start.Add(leasePeriod)
	return lease, nil
}

// discard removes a lease that no longer exists in the store.
func (l *sharedLease) discard(lease store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == lease {
		l.lease = ""
	}
}
