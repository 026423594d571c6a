package shard

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

type fixture struct {
	clock  *clock.Manual
	store  *storetest.Store
	owners *gossip.OwnerTable
}

func newFixture() *fixture {
	f := &fixture{clock: clock.NewManual(time.Unix(1_800_000_000, 0)), owners: gossip.NewOwnerTable()}
	f.store = storetest.New(f.clock)
	return f
}

// candidate returns a candidate that accesses the store through s.
func (f *fixture) candidate(address string, s store.Store) *Owner {
	settings := DefaultConfig(0, address)
	settings.SnapshotEvery = 4
	client := NewClient(f.owners, f.store, f.clock)
	followed := NewFollowerConfig(config.NewFollower(f.clock), f.clock)
	o := NewOwner(settings, s, f.clock, followed, scheduler.Plan, f.owners, client, hclog.NewNullLogger())
	o.RunSynchronously()
	return o
}

func job(id string) structs.Job {
	return structs.Job{
		ID: id, Team: "t", Kind: structs.KindBatch, Tasks: 1, Resources: structs.Resources{MilliCores: 1, MemoryMB: 1},
	}
}

// submitAndCommit submits a job and appends its record.
func (f *fixture) submitAndCommit(c *qt.C, o *Owner, id string) {
	f.clock.Advance(200 * time.Millisecond)
	c.Assert(o.Submit(job(id)), qt.IsNil)
	c.Assert(o.Step(context.Background()), qt.IsNil)
}

// hookedStore calls test hooks before or after store calls.
type hookedStore struct {
	store.Store
	beforePut, afterPut, onKeepAlive, onDelete func(key string)
}

func (h *hookedStore) Delete(ctx context.Context, key string, ifRevision int64) error {
	if h.onDelete != nil {
		h.onDelete(key)
	}
	return h.Store.Delete(ctx, key, ifRevision)
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	if before := h.beforePut; before != nil {
		before(key)
	}
	entry, err := h.Store.Put(ctx, key, value, opts)
	if after := h.afterPut; after != nil {
		after(key)
	}
	return entry, err
}

func (h *hookedStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	err := h.Store.KeepAlive(ctx, id)
	if h.onKeepAlive != nil {
		h.onKeepAlive("")
	}
	return err
}

// Guards against a paused former owner whose append succeeds because the log was truncated beyond its sequence, and
// against one that overwrites the snapshot with an older one.
func TestPausedFormerOwnerIsFenced(t *testing.T) {
	for _, at := range []string{"/log/", "/snapshot"} {
		c := qt.New(t)
		f := newFixture()
		ctx := context.Background()
		hooks := &hookedStore{Store: f.store}
		former, next := f.candidate("127.0.0.1:1", hooks), f.candidate("127.0.0.1:2", f.store)
		c.Assert(former.Acquire(ctx), qt.IsNil)
		f.submitAndCommit(c, former, "first")
		f.submitAndCommit(c, former, "second")
		var newest []byte
		hooks.beforePut = func(key string) {
			if !strings.Contains(key, at) {
				return
			}
			hooks.beforePut = nil
			f.clock.Advance(10 * time.Second)
			c.Assert(next.Acquire(ctx), qt.IsNil)
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
				f.submitAndCommit(c, next, id)
			}
			entry, err := f.store.Get(ctx, snapshotKey(0))
			c.Assert(err, qt.IsNil)
			newest = entry.Value
		}
		for i := range 8 {
			f.clock.Advance(200 * time.Millisecond)
			_ = former.Submit(job("lost" + string(rune('a'+i))))
			_ = former.Step(ctx)
			if newest != nil {
				break
			}
		}
		c.Assert(newest, qt.IsNotNil)
		f.clock.Advance(200 * time.Millisecond)
		_ = former.Submit(job("lostlast"))
		_ = former.Step(ctx)
		_, owns := former.Owns()
		c.Assert(owns, qt.IsFalse)
		entry, err := f.store.Get(ctx, snapshotKey(0))
		c.Assert(err, qt.IsNil)
		c.Assert(entry.Value, qt.DeepEquals, newest)
		c.Assert(next.Resign(ctx), qt.IsNil)
		c.Assert(former.Acquire(ctx), qt.IsNil)
		_, err = former.Status("h")
		c.Assert(err, qt.IsNil)
		_, err = former.Status("lostlast")
		c.Assert(err, qt.ErrorIs, ErrUnknownJob)
	}
}

// Guards against a proof of ownership that is dated by the arrival of the response instead of the sending of the call.
func TestProofIsDatedWhenSent(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	hooks := &hookedStore{Store: f.store}
	o := f.candidate("127.0.0.1:1", hooks)
	c.Assert(o.Acquire(context.Background()), qt.IsNil)
	hooks.onKeepAlive = func(string) { f.clock.Advance(31 * time.Second) }
	c.Assert(o.KeepAlive(context.Background()), qt.IsNil)
	_, err := o.Heartbeat(structs.Heartbeat{Worker: structs.Worker{Name: "w"}, Sequence: 1})
	c.Assert(err, qt.ErrorIs, ErrNotOwner)
}

// Guards against a shard that stays without an owner as long as the store is slow: the steps of an acquisition took longer
// together than the lease, which was not renewed before they had ended (found by TestSlowStore beside a loaded machine).
func TestAcquisitionOutlastsSlowStore(t *testing.T) {
	for slow := int64(200); slow <= 1900; slow += 100 {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			o := candidateAtSlowStore(slow)
			stop := keepAlive(t.Context(), o)
			defer stop()
			c.Assert(o.Acquire(t.Context()), qt.IsNil, qt.Commentf("calls take %d ms", slow))
			time.Sleep(3 * o.config.LeaseTTL)
			_, owns := o.Owns()
			c.Assert(owns, qt.IsTrue, qt.Commentf("calls take %d ms", slow))
		})
	}
}

// candidateAtSlowStore returns a candidate on the system's clock, at a store whose calls take the given time in milliseconds.
func candidateAtSlowStore(slow int64) *Owner {
	system := clock.System{}
	owners := gossip.NewOwnerTable()
	s := storetest.New(system)
	s.SetFaults(storetest.Faults{SlowMillis: slow})
	followed := NewFollowerConfig(config.NewFollower(system), system)
	client := NewClient(owners, s, system)
	o := NewOwner(DefaultConfig(0, "127.0.0.1:1"), s, system, followed, scheduler.Plan, owners, client, hclog.NewNullLogger())
	o.RunSynchronously()
	return o
}

// keepAlive renews the lease of an owner at its own pace, as its module does, until stop is called.
func keepAlive(ctx context.Context, o *Owner) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	calls.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(o.config.KeepAliveEvery)
			calls.Go(func() { _ = o.KeepAlive(ctx) })
		}
	})
	return func() {
		cancel()
		calls.Wait()
	}
}

// Guards against events that are lost or duplicated when store requests or responses are lost.
func TestLostResponsesOfAppends(t *testing.T) {
	for name, faults := range map[string]storetest.Faults{
		"after":  {LoseResponses: 1},
		"before": {LoseRequests: 1},
		"late":   {HoldRequests: 1},
		"down":   {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			ctx := context.Background()
			o := f.candidate("127.0.0.1:1", f.store)
			c.Assert(o.Acquire(ctx), qt.IsNil)
			f.submitAndCommit(c, o, "a")
			f.clock.Advance(200 * time.Millisecond)
			c.Assert(o.Submit(job("b")), qt.IsNil)
			f.store.SetFaults(faults)
			_ = o.Step(ctx)
			f.store.SetFaults(storetest.Faults{})
			f.store.ReleaseHeld()
			f.submitAndCommit(c, o, "c")
			f.submitAndCommit(c, o, "d")
			c.Assert(o.Resign(ctx), qt.IsNil)
			c.Assert(o.Acquire(ctx), qt.IsNil)
			jobs, err := o.Jobs()
			c.Assert(err, qt.IsNil)
			c.Assert(jobs, qt.HasLen, 4)
		})
	}
}

// Guards against incompatible changes between the owner's HTTP API and its client, and against calls that report
// success although the result isn't certain.
func TestClientAndRoutes(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	var o *Owner
	router := mux.NewRouter().UseEncodedPath()
	RegisterRoutes(router, func(int) *Owner { return o })
	server := httptest.NewServer(router)
	defer server.Close()
	o = f.candidate(server.Listener.Addr().String(), f.store)
	client := NewClient(f.owners, f.store, f.clock)
	_, err := client.Status(ctx, 0, "a")
	c.Assert(err, qt.ErrorIs, ErrNoOwner)
	c.Assert(o.Acquire(ctx), qt.IsNil)
	c.Assert(client.Submit(ctx, 0, job("a")), qt.IsNil)
	_, err = client.Status(ctx, 0, "b")
	c.Assert(err, qt.ErrorIs, ErrUnknownJob)
	reply, err := client.Heartbeat(ctx, 0, structs.Heartbeat{Worker: structs.Worker{Name: "w"}, Sequence: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(reply.Epoch, qt.Equals, int64(1))
	done := make(chan error, 1)
	go func() {
		_, err := client.Cancel(ctx, 0, "a")
		done <- err
	}()
	for err = errors.New("not yet"); err != nil; {
		f.clock.Advance(time.Second)
		_ = o.Step(ctx)
		select {
		case err = <-done:
			c.Assert(err, qt.IsNil)
		case <-time.After(5 * time.Millisecond):
		}
	}
	status, err := client.Status(ctx, 0, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(status.Done && status.Cancelled, qt.IsTrue)
	c.Assert(o.Resign(ctx), qt.IsNil)
	_, err = client.Jobs(ctx, 0)
	c.Assert(err, qt.ErrorIs, ErrNotOwner)
}

// Guards against a new owner that waits for a former one which has resigned, and against one that doesn't wait for the
// longer validity of an even earlier owner.
func TestWaitsForFormerOwners(t *testing.T) {
	for _, test := range []struct {
		resign bool
		// after is the time from the former owner's first record to its end; an earlier owner had a longer validity.
		after, wait time.Duration
	}{
		{true, 70 * time.Second, 7 * time.Second},
		// The earliest owner's 60 s, minus the 20.2 s that have passed, plus the task's lease with its margin.
		{true, 20 * time.Second, 46800 * time.Millisecond},
		{false, 20 * time.Second, 67 * time.Second},
	} {
		c := qt.New(t)
		f := newFixture()
		ctx := context.Background()
		former, next := f.candidate("127.0.0.1:1", f.store), f.candidate("127.0.0.1:2", f.store)
		first := f.candidate("127.0.0.1:3", f.store)
		first.config.Lifecycle.OwnerValidity = time.Minute
		c.Assert(first.Acquire(ctx), qt.IsNil)
		f.clock.Advance(4 * time.Second)
		c.Assert(former.Acquire(ctx), qt.IsNil)
		f.submitAndCommit(c, former, "a")
		former.mu.Lock()
		former.term.machine.Place(structs.TaskID{JobID: "a"}, "w", structs.Resources{MilliCores: 1, MemoryMB: 1})
		former.mu.Unlock()
		c.Assert(former.commit(ctx, former.term), qt.IsNil)
		f.clock.Advance(test.after)
		if test.resign {
			c.Assert(former.Resign(ctx), qt.IsNil)
		}
		f.clock.Advance(4 * time.Second)
		c.Assert(next.Acquire(ctx), qt.IsNil)
		c.Assert(next.term.machine.LiveAttempts(), qt.HasLen, 1)
		for _, live := range next.term.machine.LiveAttempts() {
			c.Assert(live.ExpiresAt.Sub(f.clock.Now()), qt.Equals, test.wait)
		}
	}
}

// Guards against deletions after a snapshot that delay urgent work, exceed the limit of a step, or are lost when they
// are postponed.
func TestUrgentWorkInterruptsDeletions(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	ctx := context.Background()
	hooks := &hookedStore{Store: f.store}
	o := f.candidate("127.0.0.1:1", hooks)
	const records = 40
	o.config.SnapshotEvery = records
	c.Assert(o.Acquire(ctx), qt.IsNil)
	deleted := 0
	hooks.onDelete = func(string) { deleted++ }
	// The epoch record is the first record; the snapshot is due with the record of the last job.
	for i := range records - 2 {
		f.submitAndCommit(c, o, fmt.Sprintf("job-%d", i))
	}
	before := deleted
	hooks.onDelete = func(string) {
		deleted++
		urgent := job("urgent")
		urgent.Urgent = true
		c.Assert(o.Submit(urgent), qt.IsNil)
	}
	f.submitAndCommit(c, o, "last")
	c.Assert(deleted, qt.Equals, before+1)
	hooks.onDelete = func(string) { deleted++ }
	for range 10 {
		before = deleted
		c.Assert(o.Step(ctx), qt.IsNil)
		c.Assert(deleted-before <= maxDeletes, qt.IsTrue)
		f.clock.Advance(200 * time.Millisecond)
	}
	entries, err := f.store.List(ctx, jobPrefix(0))
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 0)
	entries, err = f.store.List(ctx, logPrefix(0))
	c.Assert(err, qt.IsNil)
	// The epoch record and the record of the urgent job remain.
	c.Assert(entries, qt.HasLen, 2)
}
