package kv

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Periods of a follower.
const (
	// followRetry is the pause after a failed call.
	followRetry = 100 * time.Millisecond
	// recoveryWait is how long a watch waits after one that failed, so that the end of a silent outage is noticed soon: a
	// watch that is sent into it ends only with its wait and a timeout.
	recoveryWait = 100 * time.Millisecond
	// revisionAge is how old a store's revision must be before a watch continues from it. A store can answer a watch with
	// its newest revision while it has not passed on changes before it.
	revisionAge = 5 * time.Second
	// slowTransfer is how long an answer takes, beyond the wait for a change, from which the newest items are read instead of
	// the changes that led to them: over a slow link the changes of a large value would queue up behind each other.
	slowTransfer = 600 * time.Millisecond
)

// Follower keeps a copy of the keys under a prefix.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is how long one watch waits for changes.
	Wait time.Duration
	// Newest tells that only the newest state counts, and not each change that led to it.
	Newest bool
	Log    hclog.Logger
	// Reset receives all items after each complete reading.
	Reset func(items []Item)
	// Changed receives each later change, the oldest first.
	Changed func(event Event)
	// Fresh is called whenever the copy is known to have been complete at a time; it may be nil.
	Fresh func(asked time.Time)

	seen int64
	// newest is the revision of the item that had changed last at the last complete reading.
	newest    int64
	revisions []agedRevision
}

type agedRevision struct {
	at       time.Time
	revision int64
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	slow := false
	for ctx.Err() == nil {
		changed, ok := f.read(ctx)
		if ok && !(slow && changed) {
			slow = f.watch(ctx)
		}
	}
}

// read takes over all items. It tells whether one has changed since the last reading; ok is false after a failure.
func (f *Follower) read(ctx context.Context) (changed, ok bool) {
	asked := time.Now()
	items, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		f.failed(ctx, "list", err)
		return false, false
	}
	newest := newestChange(items)
	changed = newest != f.newest
	f.seen, f.newest, f.revisions = revision, newest, nil
	f.Reset(items)
	f.fresh(asked)
	return changed, true
}

// newestChange returns the revision of the item that changed last.
func newestChange(items []Item) int64 {
	newest := int64(0)
	for i := range items {
		newest = max(newest, items[i].Revision)
	}
	return newest
}

// watch passes on changes until the history is lost, or arrives too slowly where only the newest state counts.
func (f *Follower) watch(ctx context.Context) (slow bool) {
	wait, failures := f.Wait, 0
	for ctx.Err() == nil {
		asked := time.Now()
		call, cancel := RetryContext(ctx, failures)
		events, revision, err := f.Store.Watch(call, f.Prefix, f.seen, wait)
		cancel()
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("history lost, reading all keys again", "prefix", f.Prefix, "after", f.seen)
			return false
		}
		if err != nil {
			f.failed(ctx, "watch", err)
			wait = min(f.Wait, recoveryWait)
			failures++
			continue
		}
		for i := range events {
			if events[i].Revision > f.seen {
				f.seen = events[i].Revision
			}
			f.Changed(events[i])
		}
		f.age(asked, revision)
		f.fresh(asked)
		if took := time.Since(asked); f.Newest && len(events) > 0 && took > wait+slowTransfer {
			f.Log.Info("changes arrive slowly, reading the newest state", "prefix", f.Prefix, "events", len(events), "took_ms", took.Milliseconds())
			return true
		}
		wait, failures = f.Wait, 0
	}
	return false
}

// age continues from the newest revision that is old enough.
func (f *Follower) age(now time.Time, revision int64) {
	f.revisions = append(f.revisions, agedRevision{now, revision})
	for len(f.revisions) > 0 && now.Sub(f.revisions[0].at) >= revisionAge {
		f.seen = max(f.seen, f.revisions[0].revision)
		f.revisions = f.revisions[1:]
	}
}

func (f *Follower) fresh(asked time.Time) {
	if f.Fresh != nil {
		f.Fresh(asked)
	}
}

func (f *Follower) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Log.Debug("store call failed", "call", call, "prefix", f.Prefix, "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(followRetry):
	}
}
