package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against an owner that acts on a lease that expired while its host was suspended: the monotonic clock does not advance
// during that time.
func TestLeaseExpiresDuringHostSuspend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lease, err := Acquire(t.Context(), kvtest.New().Client(1), workflow.OwnerRecord{Node: "n"}, hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		boot := lease.sinceBoot
		c.Assert(lease.Valid(time.Now()), qt.IsTrue)
		lease.sinceBoot = func() time.Duration { return boot() + 3*time.Second }
		c.Assert(lease.Valid(time.Now()), qt.IsFalse)
		time.Sleep(100 * time.Millisecond)
		lease.renew(t.Context(), make(chan struct{}, 1))
		c.Assert(lease.Valid(time.Now()), qt.IsTrue, qt.Commentf("a confirmed renewal makes the lease valid again"))
		time.Sleep(LeaseTTL)
		c.Assert(lease.Valid(time.Now()), qt.IsFalse)
	})
}

// Guards against jobs without an owner as long as the store is slow: between the grant of the lease and its first renewal were
// two calls and a pause, and together they took longer than the lease.
func TestOwnershipIsTakenWhileStoreIsSlow(t *testing.T) {
	for delay := 100 * time.Millisecond; delay <= 700*time.Millisecond; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			client := kvtest.New().Client(1)
			client.SetFaults(kvtest.Faults{Delay: delay})
			lease, err := Acquire(t.Context(), client, workflow.OwnerRecord{Node: "n"}, hclog.NewNullLogger())
			c.Assert(err, qt.IsNil, qt.Commentf("calls take %v", delay))
			c.Assert(lease, qt.IsNotNil, qt.Commentf("calls take %v", delay))
			ctx, cancel := context.WithTimeout(t.Context(), 4*LeaseTTL)
			defer cancel()
			c.Assert(lease.KeepAlive(ctx), qt.IsFalse, qt.Commentf("the lease has ended, calls take %v", delay))
		})
	}
}
