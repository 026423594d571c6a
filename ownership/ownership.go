// Package ownership elects and locates the single owner of the jobs. The owner holds a key under a lease of the store. The
// revision at which it created the key is its epoch, which fences the writes and orders of former owners.
package ownership

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Store keys.
const (
	// OwnerKey holds the OwnerRecord of the owner and exists as long as its lease.
	OwnerKey = "qz/owner/holder"
	// ownerPrefix is the prefix that locators watch.
	ownerPrefix = "qz/owner/"
	// CommitKey changes with each write of an owner. Each write is conditional on its revision, so that a delayed write fails.
	CommitKey = "qz/commit"
	// NodePrefix is the prefix of the keys with the addresses of all processes.
	NodePrefix = "qz/nodes/"
)

const (
	// watchTimeout is how long one watch call waits for a change of the owner.
	watchTimeout = 4 * time.Second
	// minRefreshInterval is the minimum time between two reads of the owner's key by Refresh.
	minRefreshInterval = 250 * time.Millisecond
)

// Locator tracks the current owner.
type Locator struct {
	store kv.Store
	log   hclog.Logger

	mu      sync.Mutex
	owner   workflow.OwnerRecord
	present bool
	// ended is the epoch up to which all ownerships are known to have ended.
	ended int64
	// absentAt is when the key was last known not to exist; zero while it exists.
	absentAt    time.Time
	changed     chan struct{}
	lastRefresh time.Time
}

// NewLocator returns a locator that has not found an owner yet.
func NewLocator(store kv.Store, log hclog.Logger) *Locator {
	return &Locator{store: store, log: log, changed: make(chan struct{})}
}

// Run watches the owner's key until ctx ends.
func (l *Locator) Run(ctx context.Context) {
	follower := &kv.Follower{
		Store: l.store, Prefix: ownerPrefix, WatchTimeout: watchTimeout, Log: l.log,
		OnReset: func(items []kv.Item) { l.reset(ctx, items) },
		OnChange: func(event kv.Event) {
			if event.Key != OwnerKey {
				return
			}
			if event.Deleted {
				l.clearOwner(event.Revision)
				return
			}
			l.updateFromItem(event.Item)
		},
	}
	follower.Run(ctx)
}

// reset applies a complete read of the prefix. If it doesn't contain the known owner, the key is read again, since the owner may
// have been found after the read was sent.
func (l *Locator) reset(ctx context.Context, items []kv.Item) {
	for _, item := range items {
		if item.Key == OwnerKey {
			l.updateFromItem(item)
			return
		}
	}
	owner, present := l.Current()
	if present {
		l.read(ctx)
		return
	}
	l.clearOwner(owner.Epoch)
}

func (l *Locator) updateFromItem(item kv.Item) {
	var record workflow.OwnerRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		l.log.Error("invalid owner record ignored", "revision", item.Revision, "error", err)
		return
	}
	record.Epoch = item.Created
	l.Update(record)
}

// Update sets the owner unless its epoch is older than that of the known owner, or its ownership is known to have ended. It
// returns false in these cases.
func (l *Locator) Update(record workflow.OwnerRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Epoch < l.owner.Epoch || record.Epoch <= l.ended {
		return false
	}
	if record.Epoch == l.owner.Epoch && l.present {
		return true
	}
	l.owner, l.present, l.absentAt = record, true, time.Time{}
	l.log.Info("owner found", "owner", record.Node, "address", record.Address, "epoch", record.Epoch)
	l.notifyChanged()
	return true
}

// clearOwner records that all ownerships up to an epoch have ended. A later owner stays.
func (l *Locator) clearOwner(ended int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = max(l.ended, ended)
	if l.owner.Epoch > ended {
		return
	}
	if l.present || l.absentAt.IsZero() {
		l.log.Info("no owner", "former", l.owner.Node, "former_epoch", l.owner.Epoch)
	}
	l.present, l.absentAt = false, time.Now()
	l.notifyChanged()
}

func (l *Locator) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Current returns the current owner, and false if there is none.
func (l *Locator) Current() (workflow.OwnerRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner, l.present
}

// Changed returns a channel that is closed at the next change of the owner.
func (l *Locator) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Epoch returns the highest epoch seen so far.
func (l *Locator) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Epoch
}

// Refresh reads the owner's key again, at most once per minRefreshInterval. It is called after a call to the owner has failed.
func (l *Locator) Refresh(ctx context.Context) {
	l.mu.Lock()
	if time.Since(l.lastRefresh) < minRefreshInterval {
		l.mu.Unlock()
		return
	}
	l.lastRefresh = time.Now()
	l.mu.Unlock()
	l.read(ctx)
}

// read reads the owner's key. If the key doesn't exist, the owner that was known before the read has ended; one that was found
// meanwhile may be newer.
func (l *Locator) read(ctx context.Context) {
	known := l.Epoch()
	item, found, _, err := l.store.Get(ctx, OwnerKey)
	switch {
	case err != nil:
		l.log.Debug("owner key not read", "error", err)
	case found:
		l.updateFromItem(item)
	default:
		l.clearOwner(known)
	}
}
