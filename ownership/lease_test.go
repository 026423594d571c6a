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

// confirmingStore confirms each renewal, as a store that ends leases late does.
type confirmingStore struct{ kv.Store }

func (confirmingStore) KeepAlive(context.Context, int64) error { return nil }

// Guards against an owner that acts on a lease that expired while its host was suspended: the monotonic clock does not advance
// during that time.
func TestLeaseExpiresDuringHostSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		store := confirmingStore{kvtest.New().Client(1)}
		lease, err := Acquire(t.Context(), store, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(host), hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		c.Assert(lease.Valid(), qt.IsTrue)
		host.Suspend()
		time.Sleep(3 * time.Second)
		c.Assert(lease.Valid(), qt.IsFalse)
		host.Resume()
		c.Assert(lease.Valid(), qt.IsFalse)
		time.Sleep(100 * time.Millisecond)
		lease.renew(t.Context(), make(chan struct{}, 1))
		c.Assert(lease.Valid(), qt.IsTrue, qt.Commentf("a confirmed renewal makes the lease valid again"))
		time.Sleep(LeaseTTL)
		c.Assert(lease.Valid(), qt.IsFalse)
	})
}

// Guards against a renewal that counts from when its response was processed: the host was suspended between the two.
func TestRenewalCountsFromCallAcrossSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		store := &suspendingStore{Store: confirmingStore{kvtest.New().Client(1)}, host: host}
		lease, err := Acquire(t.Context(), store, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(host), hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		lease.renew(t.Context(), make(chan struct{}, 1))
		c.Assert(lease.Valid(), qt.IsFalse)
	})
}

// suspendingStore suspends the host during each renewal.
type suspendingStore struct {
	kv.Store
	host *clocktest.Host
}

func (s *suspendingStore) KeepAlive(ctx context.Context, id int64) error {
	s.host.Suspend()
	defer s.host.Resume()
	time.Sleep(2 * time.Second)
	return s.Store.KeepAlive(ctx, id)
}

// Guards against jobs without an owner as long as the store is slow: between the grant of the lease and its first renewal were
// two calls and a pause, and together they took longer than the lease.
func TestOwnershipIsTakenWhileStoreIsSlow(t *testing.T) {
	for delay := 100 * time.Millisecond; delay <= 700*time.Millisecond; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			client := kvtest.New().Client(1)
			client.SetFaults(kvtest.Faults{Delay: delay})
			lease, err := Acquire(t.Context(), client, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(clocktest.NewHost()), hclog.NewNullLogger())
			c.Assert(err, qt.IsNil, qt.Commentf("calls take %v", delay))
			c.Assert(lease, qt.IsNotNil, qt.Commentf("calls take %v", delay))
			ctx, cancel := context.WithTimeout(t.Context(), 4*LeaseTTL)
			defer cancel()
			c.Assert(lease.KeepAlive(ctx), qt.IsFalse, qt.Commentf("the lease has ended, calls take %v", delay))
		})
	}
}

// Guards against an owner that sends starts after it has given the ownership up, while another process may have taken over.
func TestReleasedLeaseIsNotValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := kvtest.New().Client(1)
		lease, err := Acquire(t.Context(), client, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(clocktest.NewHost()), hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		client.SetFaults(kvtest.Faults{Unresponsive: true})
		go lease.Release()
		synctest.Wait()
		c.Assert(lease.Valid(), qt.IsFalse)
		client.SetFaults(kvtest.Faults{})
		lease.renew(t.Context(), make(chan struct{}, 1))
		c.Assert(lease.Valid(), qt.IsFalse)
		time.Sleep(releaseTimeout)
	})
}
