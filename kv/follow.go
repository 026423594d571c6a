package kv

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Periods of a follower.
const (
	// followRetryDelay is the pause after a failed call.
	followRetryDelay = 100 * time.Millisecond
	// recoveryWatchTimeout is how long a watch waits after one that failed, so that the end of a silent outage is noticed soon: a
	// watch that is sent into it ends only with its wait and a timeout.
	recoveryWatchTimeout = 100 * time.Millisecond
	// minRevisionAge is how old a store's revision must be before a watch continues from it. A store can answer a watch with
	// its newest revision while it has not passed on changes before it.
	minRevisionAge = 5 * time.Second
	// slowTransferThreshold is how long an answer takes, beyond the wait for a change, from which the newest items are read instead of
	// the changes that led to them: over a slow link the changes of a large value would queue up behind each other.
	slowTransferThreshold = 600 * time.Millisecond
)

// Follower keeps a copy of the keys under a prefix.
type Follower struct {
	Store  Store
	Prefix string
	// WatchTimeout is how long one watch waits for changes.
	WatchTimeout time.Duration
	// LatestOnly tells that only the newest state counts, and not each change that led to it.
	LatestOnly bool
	Log        hclog.Logger
	// OnReset receives all items after each complete reading.
	OnReset func(items []Item)
	// OnChange receives each later change, the oldest first.
	OnChange func(event Event)
	// OnFresh is called whenever the copy is known to have been complete at a time; it may be nil.
	OnFresh func(asked time.Time)

	lastRevision int64
	// lastModified is the revision of the item that had changed last at the last complete reading.
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

// reload takes over all items. It tells whether one has changed since the last reading; ok is false after a failure.
func (f *Follower) reload(ctx context.Context) (changed, ok bool) {
	asked := time.Now()
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		f.pauseAfterFailure(ctx, "list", err)
		return false, false
	}
	newest := latestRevision(items)
	changed = newest != f.lastModified
	f.lastRevision, f.lastModified, f.recentRevisions = revision, newest, nil
	f.OnReset(items)
	f.reportFresh(asked)
	return changed, true
}

// latestRevision returns the revision of the item that changed last.
func latestRevision(items []Item) int64 {
	newest := int64(0)
	for i := range items {
		newest = max(newest, items[i].Revision)
	}
	return newest
}

// watch passes on changes until the history is lost, or arrives too slowly where only the newest state counts.
func (f *Follower) watch(ctx context.Context) (slow bool) {
	wait, failures := f.WatchTimeout, 0
	for ctx.Err() == nil {
		asked := time.Now()
		call, cancel := RetryContext(ctx, failures)
		events, revision, err := f.Store.Watch(call, f.Prefix, f.lastRevision, wait)
		cancel()
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("history lost, reading all keys again", "prefix", f.Prefix, "after", f.lastRevision)
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
		f.advanceRevision(asked, revision)
		f.reportFresh(asked)
		if took := time.Since(asked); f.LatestOnly && len(events) > 0 && took > wait+slowTransferThreshold {
			f.Log.Info("changes arrive slowly, reading the newest state", "prefix", f.Prefix, "events", len(events), "took_ms", took.Milliseconds())
			return true
		}
		wait, failures = f.WatchTimeout, 0
	}
	return false
}

// advanceRevision continues from the newest revision that is old enough.
func (f *Follower) advanceRevision(now time.Time, revision int64) {
	f.recentRevisions = append(f.recentRevisions, observedRevision{now, revision})
	for len(f.recentRevisions) > 0 && now.Sub(f.recentRevisions[0].at) >= minRevisionAge {
		f.lastRevision = max(f.lastRevision, f.recentRevisions[0].revision)
		f.recentRevisions = f.recentRevisions[1:]
	}
}

func (f *Follower) reportFresh(asked time.Time) {
	if f.OnFresh != nil {
		f.OnFresh(asked)
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
