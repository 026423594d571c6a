package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// lateStartDelay is how much later a start is carried out that reaches the next incarnation of its executor once the lease of the former
// one has expired.
const lateStartDelay = 9 * time.Second

// startLate submits a job of one task whose start gets no answer and is carried out after a delay, and returns when it is carried out.
func (s *staleLease) startLate(delay time.Duration) time.Time {
	s.Helper()
	s.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, MinDelay: delay, MaxDelay: delay, OrdersOnly: true})
	before := s.executor.DelayedCalls()
	s.submitOne(1000)
	s.waitFor(time.Second, func() bool { return s.executor.DelayedCalls() > before })
	return time.Now().Add(delay)
}

// Guards against a task that runs twice: a start is carried out by the next incarnation of an executor that is cut off before it has
// answered any call of its own, so that nobody knows of that incarnation.
func TestStaleStartRunsOnUnknownIncarnation(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.mute.Store(true)
		s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
		s.cut(false)
		s.Assert(s.checker.starts(s.task), qt.Equals, 1)
		s.assertRunsOnce()
	})
}

// Guards against a task that runs twice: its start gets no answer and is carried out by the next incarnation of its executor, which
// answers no call, after the owner has taken the lease of that for expired.
func TestLateStartRunsOnSilentIncarnation(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		lateAt := s.startLate(lateStartDelay)
		s.restart(nodetest.StaleCalls{}, nil)
		s.cut(false)
		description, _ := s.executor.Describe()
		s.node.Announce(description, 0, 0)
		s.operators.evacuate()
		time.Sleep(time.Until(lateAt) + longTaskTime)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against a start after the acknowledged end of its task: it gets no answer and is carried out by the next incarnation of its
// executor, which has started just before, so that no call with its own fencing token has reached it (issue 2).
func TestLateStartRunsAfterItsTaskIsDone(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		for _, h := range f.hosts {
			h.executor.SetDuration(taskTime)
		}
		lateAt := s.startLate(lateStartDelay)
		s.executor.Crash()
		s.operators.evacuate()
		time.Sleep(time.Until(lateAt) - 10*answerTime)
		s.Assert(s.checker.isTaken(s.task), qt.IsTrue)
		s.executor.Restart()
		time.Sleep(2 * time.Second)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against a late start that the next incarnation of its executor carries out although that has answered calls of its own.
func TestLateStartIsFencedByNextIncarnation(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		lateAt := s.startLate(lateStartDelay)
		s.restart(nodetest.StaleCalls{}, nil)
		s.executor.SetCallFaults(nodetest.CallFaults{})
		s.announceNow()
		time.Sleep(2 * announceInterval)
		s.cut(false)
		s.operators.evacuate()
		time.Sleep(time.Until(lateAt) + longTaskTime)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against an end that is lost, so that its task runs again: an acknowledgement for the former incarnation of an executor is
// carried out late by the next one, which has run a late start and has listed no end yet.
func TestStaleAcknowledgementDiscardsUnlistedEnd(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		const startDelay, ackDelay = 3 * time.Second, 5 * time.Second
		s := newStaleLease(f)
		s.executor.SetDuration(taskTime)
		s.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, MinDelay: ackDelay, MaxDelay: ackDelay, AcknowledgementsOnly: true})
		s.submitOne(1000)
		s.waitFor(3*time.Second, func() bool { return s.executor.DelayedCalls() > 0 })
		acknowledgedAt := time.Now().Add(ackDelay)
		s.startLate(startDelay)
		s.restart(nodetest.StaleCalls{}, nil)
		s.cut(false)
		s.executor.SetCallFaults(nodetest.CallFaults{})
		time.Sleep(time.Until(acknowledgedAt) + answerTime)
		s.Assert(s.checker.starts(s.task), qt.Equals, 1)
		s.executor.SetUnresponsive(false)
		s.operators.evacuate()
		s.waitCompleted(30*time.Second, s.id)
	})
}

// Guards against an executor that is not used until the owner changes: the time of day of its host was set back before it restarted,
// and a hold call for the former incarnation has left a fencing token above those of the next one.
func TestStaleFencingTokenBlocksIncarnationAfterClockWasSetBack(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.executor.SetTimeOfDay(-time.Hour)
		s.restart(nodetest.StaleCalls{WaitingHolds: true, Holds: true}, nil)
		time.Sleep(2 * announceInterval)
		s.submitOne(1000)
		s.awaitRun()
	})
}

// Guards against a task that runs beyond the room of an executor: its start is carried out by the next incarnation, which is smaller and
// rejects no start.
func TestStaleStartExceedsCapacityOfNextIncarnation(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.restart(nodetest.StaleCalls{Starts: true}, func() {
			s.submitOne(3000)
			time.Sleep(executorDownTime / 2)
			s.executor.SetCapacity(structs.Resources{MilliCores: 1000, MemoryMB: 8000})
		})
		s.announceNow()
		time.Sleep(2 * time.Second)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against the same late start where the time of day of the host was set back, so that the fencing tokens of the next incarnation
// are lower.
func TestLateStartIsFencedAfterClockWasSetBack(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		lateAt := s.startLate(lateStartDelay)
		s.executor.SetTimeOfDay(-time.Hour)
		s.restart(nodetest.StaleCalls{}, nil)
		s.executor.SetCallFaults(nodetest.CallFaults{})
		time.Sleep(2 * announceInterval)
		s.cut(false)
		s.operators.evacuate()
		time.Sleep(time.Until(lateAt) + longTaskTime)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// Guards against a task that runs twice: the end that the former incarnation of its executor has announced becomes known late, while the
// next one drains and refuses a connection.
func TestLateDepartureOfFormerIncarnationEndsNoRuns(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.restart(nodetest.StaleCalls{}, nil)
		time.Sleep(2 * announceInterval)
		s.submitOne(1000)
		s.awaitRun()
		s.drain()
		description, _ := s.executor.Describe()
		s.node.Leave(description.ID)
		s.operators.evacuate()
		s.executor.SetRefusing(true)
		time.Sleep(holdRefusalTime)
		s.executor.SetRefusing(false)
		time.Sleep(longTaskTime)
		s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
	})
}

// holdRefusalTime is how long an executor refuses connections so that the next hold call meets a refusal.
const holdRefusalTime = 1200 * time.Millisecond
