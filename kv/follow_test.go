package kv_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/progress"
)

// staleWatchStore is a store whose watches return the latest revision without any changes while stale is set.
type staleWatchStore struct {
	kv.Store
	store *kvtest.Store
	stale atomic.Bool
}

func (s *staleWatchStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if s.stale.Load() {
		time.Sleep(wait)
		return nil, s.store.Revision(), nil
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against a change that is never received because an earlier watch response had a later revision but not the change.
func TestFollowerReceivesChangesThatAWatchSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := kvtest.New()
		source := &staleWatchStore{Store: store.Client(1), store: store}
		source.stale.Store(true)
		seen := make(chan kv.Event, 16)
		follower := &kv.Follower{
			Store: source, Prefix: "p/", WatchTimeout: 500 * time.Millisecond, Log: hclog.NewNullLogger(),
			OnReset:  func([]kv.Item) {},
			OnChange: func(e kv.Event) { seen <- e },
		}
		go follower.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		_, err := store.Client(2).Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "p/a", Value: []byte("1")}}})
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		source.stale.Store(false)
		time.Sleep(time.Second)
		c.Assert(seen, qt.HasLen, 1)
		c.Assert((<-seen).Key, qt.Equals, "p/a")
	})
}

// Guards against a change that is received only seconds after the end of an outage in which the store doesn't respond. The
// last watch sent during the outage could delay it by the full watch timeout.
func TestFollowerReceivesChangesSoonAfterAnUnresponsiveOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := kvtest.New()
		client := store.Client(1)
		heard := make(chan time.Time, 1)
		follower := &kv.Follower{
			Store: client, Prefix: "p/", WatchTimeout: 4 * time.Second, Log: hclog.NewNullLogger(),
			OnReset:  func([]kv.Item) {},
			OnChange: func(kv.Event) { heard <- time.Now() },
		}
		go follower.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		client.SetFaults(kvtest.Faults{Unresponsive: true})
		time.Sleep(12 * time.Second)
		client.SetFaults(kvtest.Faults{})
		ended := time.Now()
		_, err := store.Client(2).Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "p/a", Value: []byte("1")}}})
		c.Assert(err, qt.IsNil)
		gap := (<-heard).Sub(ended)
		c.Assert(gap < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("received after %v", gap))
	})
}

// Guards against retries that all time out before a slow store responds, and against ones that all wait for the full timeout
// of a store that doesn't respond.
func TestRetryTimeoutsCycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unbounded = time.Minute
		var timeouts []time.Duration
		for failures := range 6 {
			outer, cancelOuter := context.WithTimeout(t.Context(), unbounded)
			ctx, cancel := kv.RetryContext(outer, failures)
			begun := time.Now()
			<-ctx.Done()
			timeouts = append(timeouts, time.Since(begun))
			cancel()
			cancelOuter()
		}
		short, long := 400*time.Millisecond, 800*time.Millisecond
		qt.Assert(t, timeouts, qt.DeepEquals, []time.Duration{unbounded, short, long, unbounded, short, long})
	})
}

const (
	// slowLinkBytesPerStep is the number of bytes that arrive per slowLinkStep: 2 Mbit/s.
	slowLinkBytesPerStep = 25_000
	slowLinkStep         = 100 * time.Millisecond
	// idleTimeout is how long a call over the slow link waits while nothing arrives.
	idleTimeout = 1200 * time.Millisecond
)

// slowLink is a connection to a store with limited bandwidth.
type slowLink struct{ kv.Store }

func (s slowLink) transfer(ctx context.Context, bytes int) error {
	for ; bytes > 0; bytes -= slowLinkBytesPerStep {
		select {
		case <-ctx.Done():
			return kv.ErrUnknown
		case <-time.After(slowLinkStep):
		}
		progress.Mark(ctx)
	}
	return nil
}

func (s slowLink) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	ctx, cancel := progress.WithIdleTimeout(ctx, idleTimeout)
	defer cancel()
	items, revision, err := s.Store.List(ctx, prefix)
	for _, item := range items {
		if err == nil {
			err = s.transfer(ctx, len(item.Value))
		}
	}
	return items, revision, err
}

func (s slowLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	ctx, cancel := progress.WithIdleTimeout(ctx, wait+idleTimeout)
	defer cancel()
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	for _, e := range events {
		if err == nil {
			err = s.transfer(ctx, len(e.Value))
		}
	}
	return events, revision, err
}

// Guards against a large configuration that never arrives over a slow link because each attempt times out, and against one
// that arrives late because all earlier versions are transferred too.
func TestFollowerReceivesLargeValuesOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := kvtest.New()
		var held atomic.Int64
		follower := &kv.Follower{
			Store: slowLink{store.Client(1)}, Prefix: "p/", WatchTimeout: 700 * time.Millisecond, LatestOnly: true, Log: hclog.NewNullLogger(),
			OnReset: func(items []kv.Item) {
				for _, item := range items {
					held.Store(int64(item.Value[0]))
				}
			},
			OnChange: func(e kv.Event) { held.Store(int64(e.Value[0])) },
		}
		go follower.Run(ctx)
		time.Sleep(3500 * time.Millisecond)
		write := func(version byte) {
			value := make([]byte, 400_000)
			value[0] = version
			_, err := store.Client(2).Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "p/config", Value: value}}})
			c.Assert(err, qt.IsNil)
		}
		write(1)
		time.Sleep(3 * time.Second)
		c.Assert(held.Load(), qt.Equals, int64(1))
		// Each transfer takes 1.6 s. After the transfer in progress, one more is needed for the latest version.
		for version := byte(2); version <= 8; version++ {
			write(version)
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(2900 * time.Millisecond)
		c.Assert(held.Load(), qt.Equals, int64(8))
	})
}
