package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
)

// Guards against a task that runs twice as in TestOwnerWaitsForStopOfStaleStartsRun: the owner has seen the run in the lists of the former
// incarnation, and a copy of its start that was held up reaches the next one, of which the owner hasn't heard. The node was paused, and
// begins to stop the run before the granted lease ends: that was renewed at most a report's interval before the host was cut off.
func TestOwnerWaitsForStopOfListedRunsRepeatedStart(t *testing.T) {
	const reportInterval, heldUp = 900 * time.Millisecond, 4 * time.Second
	for _, stopTime := range []time.Duration{0, 400 * time.Millisecond, longestStopTime} {
		t.Run(stopTime.String(), func(t *testing.T) {
			for after := time.Duration(0); after < 2*reportInterval; after += 50 * time.Millisecond {
				runWithStopTime(t, 3, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					s.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, MinDelay: heldUp, MaxDelay: heldUp, OrdersOnly: true})
					s.submitOne(1000)
					s.waitFor(orderTime, func() bool { return s.executor.DelayedCalls() > 0 })
					carriedOutAt := time.Now().Add(heldUp)
					s.executor.SetCallFaults(nodetest.CallFaults{})
					s.awaitRun()
					time.Sleep(reportInterval + after)
					s.mute.Store(true)
					s.executor.Crash()
					s.cut(true)
					time.Sleep(executorDownTime)
					s.executor.Restart()
					time.Sleep(time.Until(carriedOutAt) + answerTime)
					s.Assert(s.checker.starts(s.task), qt.Equals, 2, qt.Commentf("the next incarnation has carried out the start"))
					s.announceNow()
					time.Sleep(grantTime)
					s.suspension.suspend(time.Until(s.cutAt.Add(owner.ExecutorLeaseDuration - reportInterval)))
					s.assertRunsOnce()
				})
			}
		})
	}
}
