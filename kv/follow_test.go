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
)

// deaf is a store whose watches hear nothing for a while and answer with the newest revision all the same.
type deaf struct {
	kv.Store
	store *kvtest.Store
	deaf  atomic.Bool
}

func (d *deaf) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if d.deaf.Load() {
		time.Sleep(wait)
		return nil, d.store.Revision(), nil
	}
	return d.Store.Watch(ctx, prefix, after, wait)
}

// Guards against a change that is lost for good, since a watch was answered with a revision after it before the change
// was passed on.
func TestFollowerHearsChangesThatAWatchHasSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := kvtest.New()
		source := &deaf{Store: store.Client(1), store: store}
		source.deaf.Store(true)
		seen := make(chan kv.Event, 16)
		follower := &kv.Follower{
			Store: source, Prefix: "p/", Wait: 500 * time.Millisecond, Log: hclog.NewNullLogger(),
			Reset:   func([]kv.Item) {},
			Changed: func(e kv.Event) { seen <- e },
		}
		go follower.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		_, err := store.Client(2).Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "p/a", Value: []byte("1")}}})
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		source.deaf.Store(false)
		time.Sleep(time.Second)
		c.Assert(seen, qt.HasLen, 1)
		c.Assert((<-seen).Key, qt.Equals, "p/a")
	})
}

// Guards against a change that is heard seconds after the end of a silent outage, since the last watch of the outage waits
// for its whole time.
func TestFollowerHearsChangesSoonAfterASilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := kvtest.New()
		client := store.Client(1)
		heard := make(chan time.Time, 1)
		follower := &kv.Follower{
			Store: client, Prefix: "p/", Wait: 4 * time.Second, Log: hclog.NewNullLogger(),
			Reset:   func([]kv.Item) {},
			Changed: func(kv.Event) { heard <- time.Now() },
		}
		go follower.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		client.Set(kvtest.Faults{Silent: true})
		time.Sleep(12 * time.Second)
		client.Set(kvtest.Faults{})
		ended := time.Now()
		_, err := store.Client(2).Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "p/a", Value: []byte("1")}}})
		c.Assert(err, qt.IsNil)
		gap := (<-heard).Sub(ended)
		c.Assert(gap < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("heard after %v", gap))
	})
}

// Guards against repetitions that a slow store never answers in time, and against ones that all wait for a silent store.
func TestRetriesAreShortAndLong(t *testing.T) {
	var timeouts []time.Duration
	for failures := range 6 {
		ctx, cancel := kv.RetryContext(t.Context(), failures)
		timeout := time.Duration(0)
		if deadline, bounded := ctx.Deadline(); bounded {
			timeout = time.Until(deadline).Round(10 * time.Millisecond)
		}
		timeouts = append(timeouts, timeout)
		cancel()
	}
	short, long := 400*time.Millisecond, 800*time.Millisecond
	qt.Assert(t, timeouts, qt.DeepEquals, []time.Duration{0, short, long, 0, short, long})
}
