package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/clock/clocktest"
)

// Guards against a clock for leases that stops while the host is suspended, or whose times have a monotonic reading, which package time
// would then use for comparisons.
func TestBootClockGoesOnDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		boot := clock.NewBoot(host)
		before, monotonic := boot.Now(), host.Now()
		time.Sleep(time.Second)
		host.Suspend()
		time.Sleep(5 * time.Second)
		c.Check(boot.Now().Sub(before), qt.Equals, 6*time.Second, qt.Commentf("during the suspension"))
		host.Resume()
		time.Sleep(time.Second)
		c.Check(boot.Now().Sub(before), qt.Equals, 7*time.Second)
		c.Check(host.Now().Sub(monotonic), qt.Equals, 2*time.Second)
		c.Check(boot.Now(), qt.Equals, boot.Now().Round(0))
	})
}

// unreadable is a host whose time since boot can't be read.
type unreadable struct{ *clocktest.Host }

func (unreadable) SinceBoot() (time.Duration, bool) { return 0, false }

// Guards against a clock that stops if the time since boot can't be read.
func TestBootClockFallsBackToMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		boot := clock.NewBoot(unreadable{clocktest.NewHost()})
		before := boot.Now()
		time.Sleep(2 * time.Second)
		c.Check(boot.Now().Sub(before), qt.Equals, 2*time.Second)
		c.Check(boot.CountsSuspensions(), qt.IsFalse)
	})
}

// Guards against a host whose time since boot can't be read, or runs at another speed than its monotonic clock.
func TestBootClockOfSystem(t *testing.T) {
	c := qt.New(t)
	boot := clock.NewBoot(clock.System{})
	c.Assert(boot.CountsSuspensions(), qt.IsTrue)
	before, monotonic := boot.Now(), time.Now()
	time.Sleep(50 * time.Millisecond)
	difference := boot.Now().Sub(before) - time.Since(monotonic)
	c.Check(difference.Abs() < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", difference))
}
