package workflows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// shortRetention is how long owners keep finished jobs in tests that last beyond it. It exceeds the delay of calls that are carried out
// late, as the default does on a platform.
const shortRetention = 10 * time.Second

// Guards against tasks that run again after their job was deleted, because the response to a read of all inputs from before the
// deletion arrives afterwards.
func TestForgottenJobIsNotAddedByOldRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(callDrainTime)
		defer cancel()
		f := newRetainingFleet(t, ctx, 3, false, shortRetention)
		time.Sleep(startupTime)
		id := f.submit(3)
		f.waitCompleted(10*time.Second, id)
		time.Sleep(shortRetention - time.Second)
		f.Assert(f.phase(id), qt.Equals, workflow.Completed)
		f.owner().store.SetFaults(kvtest.Faults{Delay: storeDelay, ListDelay: shortRetention})
		f.store.Compact()
		time.Sleep(3 * shortRetention)
		f.Assert(f.checker.startCount(), qt.Equals, 3)
		f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
	})
}
