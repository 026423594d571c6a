package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
)

const (
	// heldStopTime is how long an executor was seen to hold a stop before it carried it out.
	heldStopTime = 1800 * time.Millisecond
	// lostStopTime is longer than any lease, so that a stop that is held for it has no effect.
	lostStopTime = time.Minute
)

// stopFaults are the ways in which an owner doesn't see what becomes of a stop that it has ordered.
var stopFaults = []struct {
	name   string
	faults nodetest.CallFaults
}{
	{"stop is answered", nodetest.CallFaults{}},
	{"answer to stop is lost", nodetest.CallFaults{AnswerLost: 1, OrdersOnly: true}},
	{"stop is held", nodetest.CallFaults{Delayed: 1, MinDelay: heldStopTime, MaxDelay: heldStopTime, OrdersOnly: true}},
	{"stop is lost", nodetest.CallFaults{Delayed: 1, MinDelay: lostStopTime, MaxDelay: lostStopTime, OrdersOnly: true}},
}

// delayStartUntilStop makes the executor carry out the task's start only when it is told to stop the run, since it doesn't list it. The
// stop has a fault.
func (s *staleLease) delayStartUntilStop(fault nodetest.CallFaults) {
	s.Helper()
	s.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, OrdersOnly: true, StartsUntilStop: true})
	s.submitOne(1000)
	s.waitFor(orderTime, func() bool { return s.executor.DelayedCalls() > 0 })
	time.Sleep(orderTime)
	s.executor.SetCallFaults(fault)
	s.operators.evacuate()
}

// orderTime is how long a node repeats an order without an answer.
const orderTime = 800 * time.Millisecond

// Guards against a task that runs twice: its start gets no answer and is carried out just before the run is stopped, and the owner takes
// the stop for the end of the run.
func TestStopOfLateStartCountsAsEnd(t *testing.T) {
	for _, fault := range stopFaults {
		for _, stopTime := range stopTimes {
			t.Run(fault.name+", "+stopTime.String(), func(t *testing.T) {
				runWithStopTime(t, 3, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					s.delayStartUntilStop(fault.faults)
					time.Sleep(longTaskTime)
					s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
				})
			})
		}
	}
}

// Guards against the same with an executor that is cut off from its node after the stop was ordered, or with its host from the owner.
func TestStopOfLateStartBeforeCutCountsAsEnd(t *testing.T) {
	for _, fault := range stopFaults {
		for name, withNode := range map[string]bool{"executor is cut off": false, "host is cut off": true} {
			t.Run(fault.name+", "+name, func(t *testing.T) {
				for after := time.Duration(0); after <= 2*time.Second; after += 200 * time.Millisecond {
					runWithStopTime(t, 3, longestStopTime, func(f *fleet) {
						s := newStaleLease(f)
						s.delayStartUntilStop(fault.faults)
						time.Sleep(after)
						s.cut(withNode)
						time.Sleep(longTaskTime)
						s.Assert(s.checker.foundViolations(), qt.HasLen, 0, qt.Commentf("cut off after %v", after))
					})
				}
			})
		}
	}
}

// Guards against a start beyond the capacity of an executor, or beyond the limit of a step there, beside a run that is being stopped: its
// job was cancelled, and nobody has seen its end.
func TestPlaceOfStoppingRunIsFree(t *testing.T) {
	for _, fault := range stopFaults {
		for _, change := range append([]ownerChange{{name: "owner stays"}}, ownerChanges...) {
			t.Run(fault.name+", "+change.name, func(t *testing.T) {
				for _, stopTime := range []time.Duration{0, longestStopTime} {
					runWithStopTime(t, 4, stopTime, func(f *fleet) {
						s := newStaleLease(f)
						s.submitOne(3000)
						s.awaitRun()
						cancelled := s.id
						s.submitOne(3000)
						s.executor.SetCallFaults(fault.faults)
						s.Assert(f.gateway.Cancel(f.ctx, cancelled), qt.IsNil)
						if change.end != nil {
							change.apply(s)
						}
						time.Sleep(lapseTime)
						s.executor.SetCallFaults(nodetest.CallFaults{})
						s.waitFor(lapseTime, func() bool { return s.checker.starts(s.task) > 0 })
						s.Assert(s.checker.foundViolations(), qt.HasLen, 0, qt.Commentf("a stop takes %v", stopTime))
					})
				}
			})
		}
	}
}

// Guards against the same beside a superseded run.
func TestPlaceOfSupersededRunIsFree(t *testing.T) {
	for _, fault := range stopFaults {
		t.Run(fault.name, func(t *testing.T) {
			for _, stopTime := range stopTimes {
				runWithStopTime(t, 3, stopTime, func(f *fleet) {
					s := newSupersedingFleet(f, 1, oneOnEach(2))
					s.runAgain()
					s.others[0].executor.SetCallFaults(fault.faults)
					s.reconnect()
					time.Sleep(2 * heldStopTime)
					s.others[0].executor.SetCallFaults(nodetest.CallFaults{})
					s.waitCompleted(time.Minute, s.job.ID)
				})
			}
		})
	}
}
