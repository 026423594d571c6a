package kv

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Timing of a follower.
const (
	// followRetryDelay is the delay after a failed call.
	followRetryDelay = 100 * time.Millisecond
	// recoveryWatchTimeout is the watch timeout after a failed watch. It is short, so that the follower soon notices the end
	// of an outage in which the store doesn't respond: a watch sent during it ends only after its own timeout and the
	// client's.
	recoveryWatchTimeout = 100 * time.Millisecond
	// minRevisionAge is how long ago the store must have returned a revision before a watch continues from it. The response
	// to a watch can carry the store's latest revision without all changes up to it.
	minRevisionAge = 5 * time.Second
	// slowTransferThreshold is how long a response to a watch may take beyond the watch timeout. Above it, a LatestOnly
	// follower reads the current items instead of each change, since over a slow link the changes of a large value would
	// queue up.
	slowTransferThreshold = 600 * time.Millisecond
)

// Follower reads the keys under a prefix, watches them for changes, and passes both on to its callbacks.
type Follower struct {
	Store  Store
	Prefix string
	// WatchTimeout is how long one watch request waits for changes.
	WatchTimeout time.Duration
	// LatestOnly allows skipping intermediate changes, so that only the latest state is passed on.
	LatestOnly bool
	Log        hclog.Logger
	// OnReset receives all items after each complete read of the prefix.
	OnReset func(items []Item)
	// OnChange receives each later change in order of revision.
	OnChange func(event Event)
	// OnFresh, if set, is called after each successful call with the time at which the call was sent: the follower has passed
	// on the state as of that time.
	OnFresh func(sentAt time.Time)

	lastRevision int64
	// lastModified is the highest revision of an item at the last complete read.
	lastModified    int64
	recentRevisions []observedRevision
}

type observedRevision struct {
	at       time.Time
	revision int64
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	slow := false
	for ctx.Err() == nil {
		changed, ok := f.reload(ctx)
		if ok && !(slow && changed) {
			slow = f.watch(ctx)
		}
	}
}

// reload reads all items. changed reports whether an item has changed since the last complete read; ok is false on failure.
func (f *Follower) reload(ctx context.Context) (changed, ok bool) {
	sentAt := time.Now()
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		f.pauseAfterFailure(ctx, "list", err)
		return false, false
	}
	newest := latestRevision(items)
	changed = newest != f.lastModified
	f.lastRevision, f.lastModified, f.recentRevisions = revision, newest, nil
	f.OnReset(items)
	f.reportFresh(sentAt)
	return changed, true
}

// latestRevision returns the highest revision of the items.
func latestRevision(items []Item) int64 {
	newest := int64(0)
	for i := range items {
		newest = max(newest, items[i].Revision)
	}
	return newest
}

// watch passes on changes until ctx ends or the store has compacted the history. If LatestOnly is set and changes arrive too
// slowly, it returns true.
func (f *Follower) watch(ctx context.Context) (slow bool) {
	wait, failures := f.WatchTimeout, 0
	for ctx.Err() == nil {
		sentAt := time.Now()
		call, cancel := RetryContext(ctx, failures)
		events, revision, err := f.Store.Watch(call, f.Prefix, f.lastRevision, wait)
		cancel()
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("watch history is compacted, reading all keys again", "prefix", f.Prefix, "after", f.lastRevision)
			return false
		}
		if err != nil {
			f.pauseAfterFailure(ctx, "watch", err)
			wait = min(f.WatchTimeout, recoveryWatchTimeout)
			failures++
			continue
		}
		for i := range events {
			if events[i].Revision > f.lastRevision {
				f.lastRevision = events[i].Revision
			}
			f.OnChange(events[i])
		}
		f.advanceRevision(sentAt, revision)
		f.reportFresh(sentAt)
		if took := time.Since(sentAt); f.LatestOnly && len(events) > 0 && took > wait+slowTransferThreshold {
			f.Log.Info("changes arrive slowly, reading the newest state", "prefix", f.Prefix, "events", len(events), "took_ms", took.Milliseconds())
			return true
		}
		wait, failures = f.WatchTimeout, 0
	}
	return false
}

// advanceRevision sets the revision to watch from to the latest returned one that is at least minRevisionAge old.
func (f *Follower) advanceRevision(now time.Time, revision int64) {
	f.recentRevisions = append(f.recentRevisions, observedRevision{now, revision})
	for len(f.recentRevisions) > 0 && now.Sub(f.recentRevisions[0].at) >= minRevisionAge {
		f.lastRevision = max(f.lastRevision, f.recentRevisions[0].revision)
		f.recentRevisions = f.recentRevisions[1:]
	}
}

func (f *Follower) reportFresh(sentAt time.Time) {
	if f.OnFresh != nil {
		f.OnFresh(sentAt)
	}
}

func (f *Follower) pauseAfterFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Log.Debug("store call failed", "call", call, "prefix", f.Prefix, "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(followRetryDelay):
	}
}
