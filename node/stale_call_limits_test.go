package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a stale lease that a new process of the node doesn't report because another executor was announced first: the one with
// the former ID has started after the process and may receive calls of the former process.
func TestStaleLeaseIsForgottenAfterAnnouncementOfAnotherExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// The first announcement names i-1.
		n := newNode()
		n.epoch = 7
		time.Sleep(time.Second)
		started := time.Now().UnixMilli()
		n.Announce(workflow.Executor{ID: "i-2", StartedUnixMillis: started}, 1, nextClockMillis)
		n.answerHold(workflow.FormatIncarnationID("i-2", started), started, nextClockMillis)
		c.Assert(n.nextReport(7).StaleLease, qt.IsNotNil)
	})
}

// Guards against a stale lease that isn't reported because the host was suspended for long: a call that was on its way is carried out
// after the suspension.
func TestStaleCallIsForgottenDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		host := clocktest.NewHost()
		n := newLeasedNode(host)
		n.sendDeadline(6 * time.Second)
		host.Suspend()
		time.Sleep(2 * staleCallLimit)
		host.Resume()
		c.Assert(n.restartExecutor(nextClockMillis), qt.IsNotNil)
	})
}

// Guards against a start with an unreadable rejection that is taken for one without effect: the executor may have taken its deadline, as
// it does for the reasons "old" and "room".
func TestStaleStartWithUnreadableRejectionIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, &RejectedError{Reason: "conflict"})
		c.Assert(n.restartExecutor(nextClockMillis), qt.IsNotNil)
	})
}

// Guards against a report of a stale lease of an executor that hasn't restarted: the answer to a start took 300 ms, and the owner starts
// nothing there for some 3.4 s.
func TestSlowAnswerToStartIsTakenForStaleLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		c.Assert(n.nextReport(1).StaleLease, qt.IsNil)
		number := n.sendDeadline(6 * time.Second)
		time.Sleep(300 * time.Millisecond)
		n.noteAnswerClock(number, formerClockMillis)
		n.noteLeaseCall(testIncarnation, number, nil, nil)
		c.Assert(n.nextReport(1).StaleLease, qt.IsNil)
	})
}

// Guards against a lease that lapses before the end that the owner has granted: an extension by less than minRenewal is never passed on,
// not even right before the lease that the executor has confirmed ends.
func TestLastExtensionOfLeaseIsNeverPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		renewal := n.nextHold()
		n.noteRenewal(&renewal)
		time.Sleep(minRenewal - time.Millisecond)
		n.extendLease(n.clock.Now(), time.Duration(testLeaseMillis)*time.Millisecond)
		time.Sleep(n.renewedUntil.Sub(n.clock.Now()) - 200*time.Millisecond)
		n.answerHold(testIncarnation, 1000, formerClockMillis+n.clock.Now().Sub(n.clockAt).Milliseconds())
		c.Assert(n.leaseEnd.Sub(n.renewedUntil) > 400*time.Millisecond, qt.IsTrue)
		c.Assert(n.nextHold().deadline > 0, qt.IsTrue, qt.Commentf("%v are left, %v are granted", n.renewedUntil.Sub(n.clock.Now()), n.leaseEnd.Sub(n.clock.Now())))
	})
}

// Guards against a bound on the stale lease by a token of a former owner: a new process of the node has heard of that one late, and its
// former process may have sent calls with tokens of the present owner.
func TestStaleLeaseIsBoundedByTokenOfFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.epoch = 6
		n.answerHold(testIncarnation, 1000, formerClockMillis)
		stale := n.nextReport(7).StaleLease
		c.Assert(stale, qt.IsNotNil)
		c.Assert(stale.Unbounded, qt.IsTrue, qt.Commentf("calls with tokens of owner 7 may still reach the executor"))
	})
}

// Guards against a lease that is renewed only when it is about to end: the calls that set paces take longer than renewalWindow.
func TestUnansweredPaceCallsHoldUpRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		renewal := n.nextHold()
		n.noteRenewal(&renewal)
		time.Sleep(time.Second)
		n.extendLease(n.clock.Now(), time.Duration(testLeaseMillis)*time.Millisecond)
		n.answerHold(testIncarnation, 1000, formerClockMillis+1000)
		time.Sleep(paceTimeout)
		c.Assert(n.nextHold().deadline > 0, qt.IsTrue)
	})
}

// Guards against an executor that gets no start for seconds after all hosts have lost power: it had seen no token when the new process of
// its node first called it, so that no call of the former process had reached it.
func TestUntouchedExecutorHoldsNoStaleLease(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			n.epoch = 7
			probe := n.nextHold()
			c.Assert(probe.epoch, qt.Equals, int64(0))
			c.Assert(probe.fence < 1<<incarnationBits, qt.IsTrue)
			if rejected {
				n.handleHoldError(testIncarnation, &RejectedError{Reason: reasonFence}, false)
			} else {
				n.boundStaleLease(&probe, &RunLists{StartedUnixMillis: 1000})
			}
			hold := n.nextHold()
			c.Assert(hold.epoch, qt.Equals, int64(7))
			n.boundStaleLease(&hold, &RunLists{StartedUnixMillis: 1000})
			c.Assert(n.nextReport(7).StaleLease != nil, qt.Equals, rejected)
		})
	}
}

// Guards against a probe that tells of a time long before the first answer to a call with a token of an owner: stale calls may have arrived since.
func TestOldProbeProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.epoch = 7
		probe := n.nextHold()
		n.boundStaleLease(&probe, &RunLists{StartedUnixMillis: 1000})
		time.Sleep(maxProbeAge + time.Millisecond)
		hold := n.nextHold()
		n.boundStaleLease(&hold, &RunLists{StartedUnixMillis: 1000})
		c.Assert(n.nextReport(7).StaleLease, qt.IsNotNil)
	})
}
