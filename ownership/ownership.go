// Package ownership finds and holds the single owner of the jobs. The owner holds a key under a lease of the store; the
// revision of its takeover orders owners and fences the writes and orders of former ones.
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

// Keys of the store.
const (
	// OwnerKey holds the OwnerRecord under the owner's lease.
	OwnerKey = "qz/owner/holder"
	// ownerPrefix is what locators watch.
	ownerPrefix = "qz/owner/"
	// CommitKey changes with each write of an owner, so that a write that is carried out late finds another revision.
	CommitKey = "qz/commit"
	// NodePrefix holds the addresses of all processes.
	NodePrefix = "qz/nodes/"
)

const (
	// watchTimeout is how long a watch of the owner waits.
	watchTimeout = 4 * time.Second
	// minRefreshInterval is the least time between two readings of the owner's key that were asked for by failed calls.
	minRefreshInterval = 250 * time.Millisecond
)

// Locator knows the present owner.
type Locator struct {
	store kv.Store
	log   hclog.Logger

	mu      sync.Mutex
	owner   workflow.OwnerRecord
	present bool
	// absentAt is when the key was last known not to exist; zero while it exists.
	absentAt time.Time
	changed  chan struct{}
	lastRefresh  time.Time
}

// NewLocator returns a locator that knows no owner yet.
func NewLocator(store kv.Store, log hclog.Logger) *Locator {
	return &Locator{store: store, log: log, changed: make(chan struct{})}
}

// Run follows the owner's key until ctx ends.
func (l *Locator) Run(ctx context.Context) {
	follower := &kv.Follower{
		Store: l.store, Prefix: ownerPrefix, Wait: watchTimeout, Log: l.log,
		Reset: func(items []kv.Item) {
			for _, item := range items {
				if item.Key == OwnerKey {
					l.updateFromItem(item)
					return
				}
			}
			l.clearOwner(0)
		},
		Changed: func(event kv.Event) {
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

func (l *Locator) updateFromItem(item kv.Item) {
	var record workflow.OwnerRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		l.log.Error("record of the owner can't be read", "revision", item.Revision, "error", err)
		return
	}
	record.Epoch = item.Created
	l.Update(record)
}

// Update takes over an owner that is newer than the known one. It returns false if it is older.
func (l *Locator) Update(record workflow.OwnerRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Epoch < l.owner.Epoch {
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

// clearOwner notes that there is no owner. A deletion that is older than the known owner is ignored.
func (l *Locator) clearOwner(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision != 0 && revision < l.owner.Epoch {
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

// Current returns the owner, if one is known.
func (l *Locator) Current() (workflow.OwnerRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner, l.present
}

// Changed returns a channel that is closed at the next change.
func (l *Locator) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Epoch returns the highest epoch seen.
func (l *Locator) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.Epoch
}

// Refresh reads the owner's key again after a call to the owner has failed.
func (l *Locator) Refresh(ctx context.Context) {
	l.mu.Lock()
	if time.Since(l.lastRefresh) < minRefreshInterval {
		l.mu.Unlock()
		return
	}
	l.lastRefresh = time.Now()
	l.mu.Unlock()
	item, found, _, err := l.store.Get(ctx, OwnerKey)
	switch {
	case err != nil:
		l.log.Debug("owner can't be read", "error", err)
	case found:
		l.updateFromItem(item)
	default:
		l.clearOwner(0)
	}
}
