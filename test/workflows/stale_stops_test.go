package workflows_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
)

// Guards against a node that stops the run of a stale start sooner than it has to: the host is cut off from the owner for as long as a
// takeover lasts, and the owner goes on with the run.
func TestRunOfStaleStartOutlastsShortCut(t *testing.T) {
	const cutTime = 3 * time.Second
	for _, stopTime := range []time.Duration{0, 900 * time.Millisecond} {
		t.Run(stopTime.String(), func(t *testing.T) {
			runWithStopTime(t, 3, stopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
				s.announceNow()
				s.awaitRun()
				time.Sleep(time.Second)
				s.cut(true)
				time.Sleep(cutTime)
				s.network.SetPartitioned(s.host.name, false)
				s.waitCompleted(2*longTaskTime, s.id)
				s.Assert(s.checker.starts(s.task), qt.Equals, 1)
			})
		})
	}
}

// Guards against a task that runs twice as in TestStaleStartIsStoppedAfterNextRunStarts, beside a node that begins to stop the run only when
// the granted lease has ended: it was paused, or is of a former version.
func TestOwnerWaitsForStopOfStaleStartsRun(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 4 * time.Second, 4800 * time.Millisecond} {
		for _, stopTime := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v, paused for %v", stopTime, pause), func(t *testing.T) {
				runWithStopTime(t, 3, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					s.runStaleStartAndCutHostOff()
					time.Sleep(300 * time.Millisecond)
					s.suspension.suspend(pause)
					s.assertRunsOnce()
				})
			})
		}
	}
}

// Guards against the same where the executor carries the stop out late, or gives no answer to it: a stop without an answer proves nothing.
func TestStopOfStaleStartsRunIsHeldUp(t *testing.T) {
	for name, faults := range map[string]nodetest.CallFaults{
		"held up":     {OrdersOnly: true, Delayed: 1, MinDelay: 1800 * time.Millisecond},
		"lost":        {OrdersOnly: true, Delayed: 0.7, MinDelay: time.Minute},
		"answer lost": {OrdersOnly: true, AnswerLost: 1},
	} {
		for _, stopTime := range stopTimes {
			t.Run(fmt.Sprintf("%s, %v", name, stopTime), func(t *testing.T) {
				runWithStopTime(t, 3, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					s.runStaleStartAndCutHostOff()
					s.executor.SetCallFaults(faults)
					s.assertRunsOnce()
				})
			})
		}
	}
}
