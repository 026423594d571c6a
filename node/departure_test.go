package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const testIncarnation = "i-1@1000"

// drain makes the executor announce that it drains.
func (n *Node) drain() {
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000, Draining: true}, 2, 550)
}

// departedNode returns a node whose executor has left.
func departedNode() *Node {
	n := newNode()
	n.drain()
	n.Leave("i-1")
	n.handleHoldError(testIncarnation, ErrRefused, false)
	return n
}

// settles reports whether AwaitDeparture returns before a timeout.
func (n *Node) settles(t *testing.T) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	n.AwaitDeparture(ctx)
	return ctx.Err() == nil
}

// Guards against tasks that are started elsewhere while they still run: the announcement of an end doesn't name the incarnation
// and may be late, and calls may fail for other reasons, or because an executor has not fetched its orders for a while.
func TestExecutorHasLeftOnceItRefusesConnections(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.handleHoldError(testIncarnation, ErrRefused, false)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse, qt.Commentf("the end is not announced"))
	n.drain()
	n.handleHoldError(testIncarnation, ErrRefused, false)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse, qt.Commentf("the end is not announced"))
	n.Leave("i-1")
	c.Assert(n.nextReport(1).Executor.Draining, qt.IsTrue)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse, qt.Commentf("it may still run its tasks"))
	n.handleHoldError(testIncarnation, errors.New("no response"), false)
	n.handleHoldError(testIncarnation, ErrNotDelivered, false)
	n.handleHoldError("i-1@500", ErrRefused, false)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse)
	n.handleHoldError(testIncarnation, ErrRefused, false)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsTrue)
	n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse, qt.Commentf("the incarnation still responds"))
}

// Guards against tasks that are started elsewhere while they run: the announcement of a former incarnation's end is late, and the
// current one, which doesn't drain, refuses connections for as long as it is cut off from its node.
func TestExecutorThatDoesNotDrainHasNotLeftWhileItRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.Leave("i-1")
		n.handleHoldError(testIncarnation, ErrRefused, false)
		n.handleHoldError(testIncarnation, ErrRefused, false)
		c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse)
		for range 3 {
			n.refuse()
			report := n.nextReport(1)
			c.Assert(report.Executor.Left, qt.IsFalse)
			c.Assert(report.ExecutorEnd, qt.Not(qt.IsNil))
			c.Assert(report.Executor.Draining, qt.IsFalse)
		}
		c.Assert(n.settles(t), qt.IsTrue, qt.Commentf("a planned stop has no end to wait for"))
		n.drain()
		c.Assert(n.settles(t), qt.IsFalse)
		c.Assert(n.nextReport(1).Executor.Draining, qt.IsTrue)
		n.refuse()
		c.Assert(n.nextReport(1).Executor.Left, qt.IsTrue, qt.Commentf("it drains, has announced its end, and is gone"))
	})
}

// Guards against an executor that has left and counts as alive again because of an announcement that it sent before, and
// against a next incarnation under the same ID that counts as ended.
func TestAnnouncementsAfterDeparture(t *testing.T) {
	c := qt.New(t)
	n := departedNode()
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 3, 600)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsTrue)
	c.Assert(n.nextReport(1).Executor.Draining, qt.IsTrue)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 2000}, 1, 100)
	c.Assert(n.nextReport(1).Executor.Left, qt.IsFalse)
	c.Assert(n.nextReport(1).Executor.Draining, qt.IsFalse)
}

// Guards against an executor that drains for ever because a late announcement of a former incarnation's end was taken for its
// own.
func TestFalseDepartureIsForgotten(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.Leave("i-1")
	n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 2, 600)
	c.Assert(n.nextReport(1).Executor.EndAnnounced, qt.IsTrue, qt.Commentf("it may end at any moment"))
	c.Assert(n.nextReport(1).Executor.Draining, qt.IsFalse, qt.Commentf("it hasn't announced that itself"))
	c.Assert(n.rejection(n.nextReport(1)), qt.Equals, "draining")
	n.departure.announcedAt = n.departure.announcedAt.Add(-2 * maxDepartureTime)
	n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 3, 700)
	c.Assert(n.nextReport(1).Executor.Draining, qt.IsFalse)
	c.Assert(n.nextReport(1).Executor.EndAnnounced, qt.IsFalse)
	c.Assert(n.rejection(n.nextReport(1)), qt.Equals, "")
	c.Assert(n.settles(t), qt.IsTrue)
}

// Guards against a planned stop that does not wait until the departure of the executor is reported, and against one that waits
// although there is nothing to report.
func TestAwaitDeparture(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	c.Assert(n.settles(t), qt.IsTrue)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000, Draining: true}, 2, 600)
	c.Assert(n.settles(t), qt.IsFalse, qt.Commentf("it will leave"))
	n.Leave("i-1")
	n.applyReply(n.nextReport(1), &workflow.ReportReply{Epoch: 1}, time.Now())
	c.Assert(n.settles(t), qt.IsFalse, qt.Commentf("the report said that it drains"))
	n.handleHoldError(testIncarnation, ErrRefused, false)
	for range 2 {
		n.applyReply(n.nextReport(1), &workflow.ReportReply{Epoch: 1}, time.Now())
		c.Assert(n.settles(t), qt.IsTrue)
	}
}

// Guards against a planned stop that waits for the departure of a former executor, and against a reply that arrives when the
// next one is known already.
func TestNextExecutorSettlesDeparture(t *testing.T) {
	c := qt.New(t)
	n := departedNode()
	late := n.nextReport(1)
	settled := n.departure.settled
	n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 2000, EndsComplete: true}, 0)
	<-settled
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 2, 600)
	n.applyReply(late, &workflow.ReportReply{Epoch: 1}, time.Now())
	c.Assert(n.settles(t), qt.IsTrue)
}
