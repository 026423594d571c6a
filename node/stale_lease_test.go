package node

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	nextIncarnation = "i-1@4000"
	// formerClockMillis and nextClockMillis are readings of the clocks of two incarnations, of which the first is far ahead.
	formerClockMillis = 5_000_000
	nextClockMillis   = 1000
)

// newLeasedNode returns a node whose executor has responded and has a lease from owner 1. No former process of the node had one.
func newLeasedNode(host *clocktest.Host) *Node {
	n := newNodeOn(host)
	report := n.nextReport(1)
	n.applyReply(report, &workflow.ReportReply{Epoch: 1, NoFormerLeases: true, LeaseMillis: testLeaseMillis}, n.clock.Now())
	n.answerHold(testIncarnation, 1000, formerClockMillis)
	return n
}

// answerHold applies the answer of an incarnation to a hold call.
func (n *Node) answerHold(incarnation string, started, clockMillis int64) {
	hold := holdCall{incarnation: incarnation, epoch: n.epoch}
	lists := &RunLists{ClockMillis: clockMillis, StartedUnixMillis: started, EndsComplete: true}
	n.boundStaleLease(&hold, lists)
	n.applyLists(incarnation, lists, 0)
}

// restartExecutor announces the next incarnation of the executor, which answers a call, and returns what a report says of its stale lease.
func (n *Node) restartExecutor(clockMillis int64) *workflow.StaleLease {
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, clockMillis)
	n.answerHold(nextIncarnation, 4000, clockMillis)
	return n.nextReport(1).StaleLease
}

// sendDeadline records a call to the first incarnation with a deadline that is the given time ahead of its clock.
func (n *Node) sendDeadline(ahead time.Duration) int64 {
	number, _ := n.recordLeaseCall(testIncarnation, formerClockMillis+ahead.Milliseconds())
	return number
}

// Guards against a lease that its owner doesn't count: a call for the former incarnation that may have reached the next one.
func TestNextIncarnationMayHoldLeaseOfUnsettledCall(t *testing.T) {
	const longest = DefaultMaxLease * 100 / 98
	for name, test := range map[string]struct {
		call      func(n *Node)
		nextClock int64
		lease     time.Duration
	}{
		"no call":         {func(*Node) {}, nextClockMillis, 0},
		"hold unanswered": {func(n *Node) { n.sendDeadline(6 * time.Second) }, nextClockMillis, longest},
		"hold failed": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, errors.New("broken"))
		}, nextClockMillis, longest},
		"deadline behind the next clock":     {func(n *Node) { n.sendDeadline(6 * time.Second) }, formerClockMillis + 7000, 0},
		"deadline soon after the next clock": {func(n *Node) { n.sendDeadline(6900 * time.Millisecond) }, formerClockMillis + 2000, 5 * time.Second},
		"hold without a deadline":            {func(n *Node) { n.recordLeaseCall(testIncarnation, 0) }, nextClockMillis, 0},
		"hold not delivered": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, ErrRefused)
		}, nextClockMillis, 0},
		"hold answered": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), &RunLists{StartedUnixMillis: 1000}, nil)
		}, nextClockMillis, 0},
		"hold answered by the next incarnation": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), &RunLists{StartedUnixMillis: 4000}, nil)
		}, nextClockMillis, longest},
		"start answered": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, nil)
		}, nextClockMillis, longest},
		"start answered with the clock of the incarnation": {func(n *Node) {
			number := n.sendDeadline(6 * time.Second)
			n.noteAnswerClock(number, formerClockMillis+50)
			n.noteLeaseCall(testIncarnation, number, nil, nil)
		}, nextClockMillis, 0},
		"start answered with another clock": {func(n *Node) {
			number := n.sendDeadline(6 * time.Second)
			n.noteAnswerClock(number, nextClockMillis)
			n.noteLeaseCall(testIncarnation, number, nil, nil)
		}, nextClockMillis, longest},
		"start rejected as old": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, &RejectedError{Reason: reasonOld})
		}, nextClockMillis, longest},
		"start rejected for its token": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, &RejectedError{Reason: "fence"})
		}, nextClockMillis, 0},
		"start answered before an answered hold": {func(n *Node) {
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, nil)
			hold, _ := n.recordLeaseCall(testIncarnation, 0)
			n.noteLeaseCall(testIncarnation, hold, &RunLists{StartedUnixMillis: 1000}, nil)
		}, nextClockMillis, 0},
		"start answered after the hold was sent": {func(n *Node) {
			hold, _ := n.recordLeaseCall(testIncarnation, 0)
			n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, nil)
			n.noteLeaseCall(testIncarnation, hold, &RunLists{StartedUnixMillis: 1000}, nil)
		}, nextClockMillis, longest},
		"call of long ago": {func(n *Node) {
			n.sendDeadline(6 * time.Second)
			time.Sleep(staleCallLimit + time.Second)
		}, nextClockMillis, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newLeasedNode(clocktest.NewHost())
				test.call(n)
				stale := n.restartExecutor(test.nextClock)
				if test.lease == 0 {
					c.Assert(stale, qt.IsNil)
					return
				}
				c.Assert(stale, qt.IsNotNil)
				c.Assert(stale.Unbounded, qt.IsFalse)
				left := time.Duration(stale.LeftMillis) * time.Millisecond
				c.Assert(left >= test.lease && left < test.lease+3*time.Millisecond, qt.IsTrue, qt.Commentf("%v left, want %v", left, test.lease))
				bound := time.Duration(n.nextReport(1).LeaseBound.LeftMillis) * time.Millisecond
				c.Assert(bound >= left-time.Millisecond, qt.IsTrue, qt.Commentf("a new owner counts %v", bound))
				time.Sleep(left)
				c.Assert(n.nextReport(1).StaleLease, qt.IsNil)
			})
		})
	}
}

// Guards against a bound on the stale lease of an incarnation that hasn't seen its own fencing token: stale calls may still reach it.
func TestStaleLeaseIsUnboundedUntilTokenIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		n.sendDeadline(6 * time.Second)
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, nextClockMillis)
		time.Sleep(3 * time.Second)
		c.Assert(n.nextReport(1).StaleLease, qt.DeepEquals, &workflow.StaleLease{Unbounded: true})
		n.answerHold(nextIncarnation, 4000, nextClockMillis)
		stale := n.nextReport(1).StaleLease
		c.Assert(stale.Unbounded, qt.IsFalse)
		c.Assert(stale.LeftMillis > DefaultMaxLease.Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", stale.LeftMillis))
	})
}

// Guards against a node that answers for the calls of its former process: what that has sent, and up to which epoch, isn't known.
func TestNewProcessReportsStaleLeaseOfFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.answerHold(testIncarnation, 1000, formerClockMillis)
		n.epoch = 7
		c.Assert(n.nextReport(7).StaleLease, qt.DeepEquals, &workflow.StaleLease{Unbounded: true, OfFormerProcess: true},
			qt.Commentf("the answered call had the token of no owner"))
		n.answerHold(testIncarnation, 1000, formerClockMillis)
		stale := n.nextReport(7).StaleLease
		c.Assert(stale.Unbounded, qt.IsFalse)
		c.Assert(stale.OfFormerProcess, qt.IsTrue)
		c.Assert(stale.LeftMillis > DefaultMaxLease.Milliseconds(), qt.IsTrue)

		n.applyReply(n.nextReport(7), &workflow.ReportReply{Epoch: 7, NoFormerLeases: true}, n.clock.Now())
		c.Assert(n.restartExecutor(nextClockMillis), qt.IsNil, qt.Commentf("no former process had a lease"))
		time.Sleep(staleCallLimit)
		n = newNode()
		n.epoch = 7
		time.Sleep(staleCallLimit)
		n.answerHold(testIncarnation, 1000, formerClockMillis)
		c.Assert(n.nextReport(7).StaleLease, qt.IsNil, qt.Commentf("calls of a former process have been carried out by now"))
	})
}

// Guards against calls that give the next incarnation a lease while they wait for the end of a run, and against renewals that get no
// answer: the executor may have restarted meanwhile.
func TestOnlyCallsRightAfterAnAnswerRenewTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		renewal := n.nextHold()
		c.Assert(renewal.deadline > 0, qt.IsTrue)
		c.Assert(renewal.wait, qt.Equals, time.Duration(0))
		n.noteRenewal(&renewal)
		waiting := n.nextHold()
		c.Assert(waiting.deadline, qt.Equals, int64(0))
		c.Assert(waiting.wait, qt.Equals, holdWait)

		time.Sleep(time.Second)
		n.extendLease(n.clock.Now(), owner.ExecutorLeaseDuration)
		c.Assert(n.nextHold().deadline, qt.Equals, int64(0), qt.Commentf("the last answer is a second old"))
		n.answerHold(testIncarnation, 1000, formerClockMillis+1000)
		c.Assert(n.nextHold().deadline > 0, qt.IsTrue)
		n.handleHoldError(testIncarnation, errors.New("no answer"), false)
		c.Assert(n.nextHold().deadline, qt.Equals, int64(0), qt.Commentf("the last call got no answer"))
	})
}

// Guards against an acknowledgement that is on its way while the executor restarts: the next incarnation numbers its ends from 1, and
// discards one that it has never listed.
func TestCallsThatWaitAcknowledgeNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newLeasedNode(clocktest.NewHost())
		renewal := n.nextHold()
		n.noteRenewal(&renewal)
		n.ack = 2
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, Ended: []workflow.RunEnd{{Number: 1}, {Number: 2}}, EndsComplete: true}, 0)
		acknowledging := n.nextHold()
		c.Assert(acknowledging.ack, qt.Equals, int64(2))
		c.Assert(acknowledging.wait, qt.Equals, time.Duration(0))
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
		waiting := n.nextHold()
		c.Assert(waiting.ack, qt.Equals, int64(0))
		c.Assert(waiting.wait, qt.Equals, holdWait)
	})
}

// Guards against a copy of a hold call that carries the deadline of the former incarnation when the next one is known.
func TestCopyForFormerIncarnationCarriesNoDeadline(t *testing.T) {
	c := qt.New(t)
	n := newLeasedNode(clocktest.NewHost())
	_, allowed := n.recordLeaseCall(testIncarnation, formerClockMillis+6000)
	c.Assert(allowed, qt.Equals, int64(formerClockMillis+6000))
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, nextClockMillis)
	_, allowed = n.recordLeaseCall(testIncarnation, formerClockMillis+6000)
	c.Assert(allowed, qt.Equals, int64(0))
}
