package owner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// acquire takes the ownership through a client and returns its term.
func acquire(t *testing.T, client *kvtest.Client) *term {
	lease, err := ownership.Acquire(t.Context(), client, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(clocktest.NewHost()), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, lease, qt.IsNotNil)
	term := newTerm(t, rpctest.New())
	term.lease, term.store, term.commitRevision, term.commitDone = lease, client, lease.CommitRevision, make(chan error, 1)
	return term
}

// inherited returns what a term would read of its predecessor's leases, or nil.
func inherited(t *testing.T, term *term) *workflow.OwnerLeases {
	var mark commitMark
	qt.Assert(t, json.Unmarshal(term.lease.Former, &mark), qt.IsNil)
	return mark.Leases
}

// Guards against leases that a successor believes although another owner, which may have renewed them, has owned the jobs in
// between, and against leases that a deposed owner stores.
func TestOnlyDirectPredecessorHandsOverLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := kvtest.New().Client(1)
		first := acquire(t, client)
		first.handOver()
		first.lease.Release()
		second := acquire(t, client)
		c.Assert(inherited(t, second), qt.IsNotNil)
		// The second owner ends without a write.
		second.lease.Release()
		third := acquire(t, client)
		c.Assert(inherited(t, third), qt.IsNil)
		second.handOver()
		third.lease.Release()
		fourth := acquire(t, client)
		c.Assert(inherited(t, fourth), qt.IsNil)
		// The fourth owner ends after a write without leases.
		c.Assert(fourth.write(t.Context(), kv.Transaction{}), qt.IsNil)
		fourth.lease.Release()
		c.Assert(inherited(t, acquire(t, client)), qt.IsNil)
	})
}

// Guards against leases that are not stored because the last write of the term was cancelled and took effect all the same.
func TestLeasesAreHandedOverAfterCancelledWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := kvtest.New().Client(1)
		term := acquire(t, client)
		client.SetFaults(kvtest.Faults{ResponseLoss: 1})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		c.Assert(term.write(ctx, kv.Transaction{Puts: []kv.Put{{Key: "record", Value: []byte("1")}}}), qt.ErrorIs, errTermEnded)
		client.SetFaults(kvtest.Faults{})
		term.handOver()
		term.lease.Release()
		c.Assert(inherited(t, acquire(t, client)), qt.IsNotNil)
	})
}

// Guards against a hand-over that waits for the store for as long as it is away.
func TestHandOverIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := kvtest.New().Client(1)
		term := acquire(t, client)
		client.SetFaults(kvtest.Faults{Unresponsive: true})
		started := time.Now()
		term.handOver()
		qt.Assert(t, time.Since(started) <= handOverTimeout, qt.IsTrue)
	})
}

// Guards against leases that an owner counts as longer than they are, since its host was suspended: tasks of lost executors would
// wait for that time, too, also under its successor.
func TestLeasesOfExecutorsExpireWhileOwnersHostIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, host := newTermOn(t, rpctest.New())
		left := func() int64 { return term.engine.FinalLeases(term.clock.Now()).OthersMillis }
		term.engine.InheritLeases(&workflow.OwnerLeases{OthersMillis: 60_000}, term.clock.Now())
		before := left()
		host.Suspend()
		time.Sleep(5 * time.Second)
		host.Resume()
		c.Assert(before-left(), qt.Equals, int64(5000))
	})
}
