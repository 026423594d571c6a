package progress_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/progress"
)

// Guards against a call that times out while its response is arriving, and against one that continues after the peer
// has stopped sending.
func TestTimeoutRestartsOnProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		outer, cancelOuter := progress.WithIdleTimeout(t.Context(), time.Second)
		defer cancelOuter()
		ctx, cancel := progress.WithIdleTimeout(outer, 400*time.Millisecond)
		defer cancel()
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			progress.Mark(ctx)
		}
		c.Assert(ctx.Err(), qt.IsNil)
		begun := time.Now()
		<-ctx.Done()
		c.Assert(time.Since(begun), qt.Equals, 400*time.Millisecond)
		c.Assert(context.Cause(ctx), qt.Equals, context.DeadlineExceeded)
		c.Assert(outer.Err(), qt.IsNil)
		<-outer.Done()
		c.Assert(time.Since(begun), qt.Equals, time.Second)
	})
}

// Guards against a peer that keeps a call open forever by sending a byte now and then.
func TestSlowCallEndsAtMaxDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := progress.WithIdleTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			progress.Mark(ctx)
		}
		c.Assert(time.Since(begun) <= 15*time.Second+100*time.Millisecond, qt.IsTrue)
	})
}
