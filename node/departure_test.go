package node

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against tasks that are started elsewhere while they still run: the announcement of an end doesn't name the incarnation
// and may be late, and calls may fail for other reasons.
func TestExecutorHasLeftOnceItCannotBeReached(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.handleHoldError("i-1@1000", ErrNotDelivered)
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse, qt.Commentf("the end is not announced"))
	n.Leave("i-1")
	c.Assert(n.nextReport().Executor.Draining, qt.IsTrue)
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse, qt.Commentf("it may still run its tasks"))
	n.handleHoldError("i-1@1000", errors.New("no response"))
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse)
	n.handleHoldError("i-1@500", ErrNotDelivered)
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse, qt.Commentf("a call to another incarnation"))
	n.handleHoldError("i-1@1000", ErrNotDelivered)
	c.Assert(n.nextReport().Executor.Left, qt.IsTrue)
	n.applyLists("i-1@1000", &RunLists{StartedUnixMillis: 1000}, 0)
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse, qt.Commentf("the incarnation still responds"))
}

// Guards against an executor that has left and counts as alive again because of an announcement that it sent before, and
// against a next incarnation under the same ID that counts as ended.
func TestAnnouncementsAfterDeparture(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.Leave("i-1")
	n.handleHoldError("i-1@1000", ErrNotDelivered)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 2, 600)
	c.Assert(n.nextReport().Executor.Left, qt.IsTrue)
	c.Assert(n.nextReport().Executor.Draining, qt.IsTrue)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 2000}, 1, 100)
	c.Assert(n.nextReport().Executor.Left, qt.IsFalse)
	c.Assert(n.nextReport().Executor.Draining, qt.IsFalse)
}

// Guards against a planned stop that waits although there is nothing to report, or forever.
func TestAwaitDepartureReport(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	n.AwaitDepartureReport(t.Context())
	n.Leave("i-1")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	n.AwaitDepartureReport(ctx)
	c.Assert(ctx.Err(), qt.IsNotNil, qt.Commentf("returned before the report"))
	n.handleHoldError("i-1@1000", ErrNotDelivered)
	for range 2 {
		n.applyReply(n.nextReport(), &workflow.ReportReply{Epoch: 1}, time.Now())
	}
	n.AwaitDepartureReport(t.Context())
}
