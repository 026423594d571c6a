package workflows_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
)

// slowStoreDelay is the duration of a call to a slow store.
const slowStoreDelay = 240 * time.Millisecond

// Guards against tasks that are done and are started again because their executor has more ends than it lists at a time, while the
// ends that it lists are not stored yet (review/1: TWICE).
func TestTasksBeyondListedEndsRunOnce(t *testing.T) {
	checkManyEnds(t, false)
}

// Guards against tasks that are started again after they are done when executors fetch their orders.
func TestTasksBeyondListedEndsRunOnceWithFetchedOrders(t *testing.T) {
	checkManyEnds(t, true)
}

// checkManyEnds runs jobs whose tasks end together on executors that list few ends at a time, while the store is slow.
func checkManyEnds(t *testing.T, fetching bool) {
	const tasks = 40
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(callDrainTime)
		defer cancel()
		f := newFleetOf(t, ctx, 2, fetching)
		for _, h := range f.hosts {
			h.executor.SetEndsPerResponse(8)
		}
		time.Sleep(startupTime)
		f.setStoreFaults(kvtest.Faults{Delay: slowStoreDelay})
		var ids []string
		for range 2 {
			job := f.newJob(tasks)
			job.Steps[0].Need.MilliCores = 100
			f.submitUntilAccepted(job)
			ids = append(ids, job.ID)
		}
		f.waitCompleted(20*time.Second, ids...)
		f.Check(f.checker.startCount(), qt.Equals, len(ids)*tasks)
	})
}
