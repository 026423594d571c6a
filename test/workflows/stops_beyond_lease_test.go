package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// The node stops the runs of an executor whose stale lease lasts beyond the granted one, of which an owner that it can't reach doesn't
// know. These tests disturb that stop.

const (
	// slowAnswerTime is how long a slow executor takes to answer a call, within the time limits of the node's calls.
	slowAnswerTime = 700 * time.Millisecond
	// wakeTime is how long after the end of a granted lease the process of a node that was paused goes on.
	wakeTime = 3 * time.Second
)

// faultTimes are how long before the end of a granted lease, which was renewed when its host was cut off, a fault of the node begins.
// earlyFaultTimes are those that may leave no time for a stop.
var (
	faultTimes      = []time.Duration{2 * time.Second, time.Second, 500 * time.Millisecond, 0}
	earlyFaultTimes = []time.Duration{5 * time.Second, 4 * time.Second, 3 * time.Second}
)

// testStopBeyondLease runs a test for each stop time: a stale start has been carried out, its host is cut off, and disturb is called.
func testStopBeyondLease(t *testing.T, stopTimes []time.Duration, disturb func(s *staleLease)) {
	for _, stopTime := range stopTimes {
		t.Run(stopTime.String(), func(t *testing.T) {
			runWithStopTime(t, 4, stopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.runStaleStartAndCutHostOff()
				disturb(s)
				s.assertRunsOnce()
			})
		})
	}
}

// holdOrders makes the executor hold orders for a time before it carries them out, without an answer.
func (s *staleLease) holdOrders(d time.Duration) {
	s.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, MinDelay: d, MaxDelay: d, OrdersOnly: true})
}

// awaitFaultTime waits until a time before the granted lease of the executor ends.
func (s *staleLease) awaitFaultTime(before time.Duration) {
	time.Sleep(time.Until(s.cutAt.Add(owner.ExecutorLeaseDuration - before)))
}

// Guards against a task that runs twice: the owner hands over, and the next one counts the lease that it inherits.
func TestRunBeyondLeaseOutlastsInheritedLease(t *testing.T) {
	for _, change := range ownerChanges[:2] {
		t.Run(change.name, func(t *testing.T) { testStopBeyondLease(t, stopTimes, change.apply) })
	}
}

// Guards against the same with an owner that takes over from one that was killed.
func TestRunBeyondLeaseOutlastsTakeover(t *testing.T) {
	for _, change := range ownerChanges[2:] {
		t.Run(change.name, func(t *testing.T) { testStopBeyondLease(t, stopTimes, change.apply) })
	}
}

// Guards against the same where the executor carries out the stop, and no answer arrives.
func TestStopBeyondLeaseGetsNoAnswer(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) {
		s.executor.SetCallFaults(nodetest.CallFaults{AnswerLost: 1, OrdersOnly: true})
	})
}

// Guards against the same where no call gets an answer, so that the executor's lists aren't known either.
func TestRunBeyondLeaseOfExecutorWithoutAnswersIsNotStopped(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) { s.executor.SetCallFaults(nodetest.CallFaults{AnswerLost: 1}) })
}

// Guards against the same with an executor that answers slowly, so that a hold call is under way when the stop is due.
func TestStopBeyondLeaseWaitsForSlowAnswer(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) { s.executor.SetAnswerDelay(slowAnswerTime) })
}

// Guards against the same where the executor holds the stop before it carries it out.
func TestStopBeyondLeaseIsHeld(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) { s.holdOrders(heldStopTime) })
}

// Guards against the same where the first stop is lost, and a later one isn't.
func TestFirstStopBeyondLeaseIsLost(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) {
		s.holdOrders(lostStopTime)
		s.waitFor(2*owner.ExecutorLeaseDuration, func() bool { return s.executor.DelayedCalls() > 0 })
		s.executor.SetCallFaults(nodetest.CallFaults{})
	})
}

// Guards against the same where all stops are lost.
func TestStopsBeyondLeaseAreLost(t *testing.T) {
	testStopBeyondLease(t, stopTimes, func(s *staleLease) { s.holdOrders(lostStopTime) })
}

// Guards against the same where the executor is cut off from its node as well.
func TestRunBeyondLeaseOfSilentExecutorIsNotStopped(t *testing.T) {
	testStopBeyondLease(t, stopTimes, (*staleLease).cutAll)
}

// Guards against the same where the process of the node is paused when the stop is due.
func TestNodeIsPausedWhenStopIsDue(t *testing.T) { testPauseOfNode(t, faultTimes) }

// Guards against the same where the process of the node is paused before the stop is due.
func TestNodeIsPausedBeforeStopIsDue(t *testing.T) { testPauseOfNode(t, earlyFaultTimes) }

func testPauseOfNode(t *testing.T, faultTimes []time.Duration) {
	for _, before := range faultTimes {
		t.Run(before.String(), func(t *testing.T) {
			testStopBeyondLease(t, stopTimes, func(s *staleLease) {
				s.awaitFaultTime(before)
				s.suspension.suspend(before + wakeTime)
			})
		})
	}
}

// Guards against the same where the process of the node is killed when the stop is due, for good or until the next one starts.
func TestNodeIsKilledWhenStopIsDue(t *testing.T) { testKillOfNode(t, faultTimes) }

// Guards against the same where the process of the node is killed before the stop is due.
func TestNodeIsKilledBeforeStopIsDue(t *testing.T) { testKillOfNode(t, earlyFaultTimes) }

func testKillOfNode(t *testing.T, faultTimes []time.Duration) {
	for name, starts := range map[string]bool{"for good": false, "next process starts": true} {
		for _, before := range faultTimes {
			t.Run(name+", "+before.String(), func(t *testing.T) {
				testStopBeyondLease(t, stopTimes, func(s *staleLease) {
					s.awaitFaultTime(before)
					s.kill()
					if starts {
						s.start()
						s.stopCandidacy()
					}
				})
			})
		}
	}
}

// Guards against starts beyond the room of an executor, or beyond the limit of a step there, that is in touch again while its run, whose
// end the owner has counted, is still being stopped.
func TestExecutorReturnsWhileRunBeyondLeaseIsStopped(t *testing.T) {
	for _, stopTime := range []time.Duration{0, longestStopTime} {
		t.Run(stopTime.String(), func(t *testing.T) {
			for after := owner.ExecutorLeaseDuration - time.Second; after < owner.ExecutorLeaseDuration+2*time.Second; after += 200 * time.Millisecond {
				runWithStopTime(t, 4, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					s.runStaleStartOf(func() { s.submitWide(2) })
					time.Sleep(time.Until(s.cutAt.Add(after)))
					s.network.SetPartitioned(s.host.name, false)
					time.Sleep(longTaskTime)
					s.Assert(s.checker.foundViolations(), qt.HasLen, 0, qt.Commentf("in touch again after %v", after))
				})
			}
		})
	}
}

// submitWide submits a job with more tasks than the executor has places for: each needs most of its room.
func (s *staleLease) submitWide(count int) {
	job := s.newJob(count)
	job.Steps[0] = oneOnEach(count)
	job.Steps[0].Label, job.Steps[0].EstimateMillis, job.Steps[0].Need.MilliCores = runsOnLabel, longTaskTime.Milliseconds(), 3000
	s.submitUntilAccepted(job)
	s.id, s.task = job.ID, workflow.TaskID{Job: job.ID}.String()
}
