package shard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/store"
)

// acquireRenewals is how often the lease is renewed in KeepAliveEvery while the ownership is being acquired. The first
// renewal has to take effect before the lease ends, also at a store that takes nearly as long as that.
const acquireRenewals = 2

// renewal renews the lease of an acquisition. Its steps are calls of the store one after the other, and together they may take
// longer than the lease while the store is slow.
type renewal struct {
	quit chan struct{}

	mu sync.Mutex
	// provenAt is when the newest renewal that succeeded was sent.
	provenAt time.Time
}

// renewWhileAcquiring renews a lease until stop is called. The returned context ends as soon as the lease has lapsed.
func (o *Owner) renewWhileAcquiring(ctx context.Context, lease store.LeaseID) (context.Context, *renewal) {
	acquiring, cancel := context.WithCancelCause(ctx)
	r := &renewal{quit: make(chan struct{}), provenAt: o.clock.Now()}
	go func() {
		defer cancel(nil)
		ticker := time.NewTicker(o.config.KeepAliveEvery / acquireRenewals)
		defer ticker.Stop()
		for {
			select {
			case <-r.quit:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			sent := o.clock.Now()
			// A call that is in progress when the acquisition ends is completed: the owner's next renewal may come too late.
			switch err := o.store.KeepAlive(ctx, lease); {
			case err == nil:
				r.prove(sent)
			case errors.Is(err, store.ErrLeaseNotFound):
				cancel(err)
				return
			}
		}
	}()
	return acquiring, r
}

func (r *renewal) prove(sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.provenAt = sent
}

// stop ends the renewals and returns when the newest one that succeeded was sent.
func (r *renewal) stop() time.Time {
	close(r.quit)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.provenAt
}
