package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// slowResponses is a store whose responses to reads are delayed after the store has read.
type slowResponses struct {
	kv.Store
	delay time.Duration
}

func (s *slowResponses) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(s.delay):
	}
}

func (s *slowResponses) Get(ctx context.Context, key string) (kv.Item, bool, int64, error) {
	item, found, revision, err := s.Store.Get(ctx, key)
	s.wait(ctx)
	return item, found, revision, err
}

func (s *slowResponses) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	items, revision, err := s.Store.List(ctx, prefix)
	s.wait(ctx)
	return items, revision, err
}

// acquire takes the ownership through a client without faults.
func acquire(c *qt.C, store *kvtest.Store) *Lease {
	lease, err := Acquire(context.Background(), store.Client(1), workflow.OwnerRecord{Node: "n", Address: "10.0.0.1:7"}, clock.NewBoot(clocktest.NewHost()), hclog.NewNullLogger())
	c.Assert(err, qt.IsNil)
	c.Assert(lease, qt.IsNotNil)
	return lease
}

// Guards against a new owner that ends its term, since a read that was sent before the election finds no owner.
func TestOldReadDoesNotRemoveNewOwner(t *testing.T) {
	for name, read := range map[string]func(context.Context, *Locator){
		"refresh": func(ctx context.Context, l *Locator) { l.Refresh(ctx) },
		"follow":  func(ctx context.Context, l *Locator) { l.Run(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := kvtest.New()
				locator := NewLocator(&slowResponses{store.Client(2), 300 * time.Millisecond}, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go read(ctx, locator)
				time.Sleep(100 * time.Millisecond)
				lease := acquire(c, store)
				locator.Update(lease.Record)
				changed := locator.Changed()
				time.Sleep(400 * time.Millisecond)
				select {
				case <-changed:
					_, present := locator.Current()
					c.Fatalf("the owner has changed, present: %v", present)
				default:
				}
			})
		})
	}
}

// Guards against a former owner that is taken for the current one, so that no process takes part in an election: a read that
// was sent before its ownership ended, or its announcement, arrives afterwards.
func TestFormerOwnerIsNotFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := kvtest.New()
		reader := &slowResponses{Store: store.Client(2)}
		locator := NewLocator(reader, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go locator.Run(ctx)
		lease := acquire(c, store)
		time.Sleep(100 * time.Millisecond)
		_, present := locator.Current()
		c.Assert(present, qt.IsTrue)
		reader.delay = 300 * time.Millisecond
		go locator.Refresh(ctx)
		time.Sleep(100 * time.Millisecond)
		lease.Release()
		time.Sleep(100 * time.Millisecond)
		_, present = locator.Current()
		c.Assert(present, qt.IsFalse)
		time.Sleep(200 * time.Millisecond)
		_, present = locator.Current()
		c.Assert(present, qt.IsFalse, qt.Commentf("after a read"))
		c.Assert(locator.Update(lease.Record), qt.IsFalse)
		_, present = locator.Current()
		c.Assert(present, qt.IsFalse, qt.Commentf("after an announcement"))
	})
}

// Guards against an owner that is never found again after a read that found none: the same process takes the ownership again.
func TestNextOwnershipOfSameProcessIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := kvtest.New()
		locator := NewLocator(store.Client(2), hclog.NewNullLogger())
		for range 3 {
			lease := acquire(c, store)
			locator.Refresh(t.Context())
			owner, present := locator.Current()
			c.Assert(present, qt.IsTrue)
			c.Assert(owner, qt.Equals, lease.Record)
			lease.Release()
			time.Sleep(minRefreshInterval)
			locator.Refresh(t.Context())
			_, present = locator.Current()
			c.Assert(present, qt.IsFalse)
			time.Sleep(minRefreshInterval)
		}
	})
}
