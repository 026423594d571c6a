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

// refuse makes the executor refuse connections until it counts as ended.
func (n *Node) refuse() {
	for range minRefusals {
		time.Sleep(minRefusalTime / (minRefusals - 1))
		n.handleHoldError(testIncarnation, ErrRefused, true)
	}
}

func hasEnded(n *Node) bool { return n.nextReport(1).ExecutorEnd != nil }

// Guards against an executor that counts as ended because it has just started, is silent or resets connections.
func TestExecutorHasEndedOnceItKeepsRefusingConnections(t *testing.T) {
	errReset := errors.New("connection reset")
	for _, test := range []struct {
		name    string
		results []error
		pause   time.Duration
		ended   bool
	}{
		{"refused", []error{errReset, ErrRefused, ErrRefused, ErrRefused}, minRefusalTime / 2, true},
		{"refused twice", []error{errReset, ErrRefused, ErrRefused}, time.Second, false},
		{"refused within a moment", []error{ErrRefused, ErrRefused, ErrRefused, ErrRefused}, minRefusalTime / 5, false},
		{"reset", []error{errReset, errReset, errReset, errReset}, time.Second, false},
		{"not reached", []error{ErrNotDelivered, ErrNotDelivered, ErrNotDelivered}, time.Second, false},
		{"in turn", []error{ErrRefused, ErrRefused, errReset, ErrRefused, ErrRefused, context.DeadlineExceeded, ErrRefused}, time.Second, false},
		{"by a former incarnation", []error{ErrRefused, ErrRefused, ErrOtherIncarnation, ErrRefused}, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNode()
				for _, err := range test.results {
					n.handleHoldError(testIncarnation, err, isBroken(err))
					time.Sleep(test.pause)
				}
				n.handleHoldError("i-1@500", ErrRefused, true)
				c.Assert(hasEnded(n), qt.Equals, test.ended)
			})
		})
	}
}

// Guards against an executor that counts as ended although it has announced itself since it first refused a connection.
func TestAnnouncedExecutorHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.handleHoldError(testIncarnation, ErrRefused, true)
		time.Sleep(minRefusalTime / 2)
		n.handleHoldError(testIncarnation, ErrRefused, true)
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 2, 600)
		time.Sleep(minRefusalTime / 2)
		n.handleHoldError(testIncarnation, ErrRefused, true)
		c.Assert(hasEnded(n), qt.IsFalse)
		n.refuse()
		c.Assert(hasEnded(n), qt.IsTrue, qt.Commentf("it refuses connections for long since"))
	})
}

// Guards against an end that is forgotten, and against one that outlasts a sign of life.
func TestEndOfExecutorIsWithdrawnOnlyByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.refuse()
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, 2, 600)
		n.handleHoldError(testIncarnation, ErrOtherIncarnation, false)
		n.handleHoldError(testIncarnation, errors.New("no response"), false)
		c.Assert(hasEnded(n), qt.IsTrue)
		_, reason := n.checkStart(&workflow.Orders{Epoch: 1, ExecutorIncarnation: testIncarnation}, time.Now())
		c.Assert(reason, qt.Equals, workflow.ReasonUnreachable)
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
		c.Assert(hasEnded(n), qt.IsFalse, qt.Commentf("the incarnation lists its runs"))
		n.refuse()
		c.Assert(hasEnded(n), qt.IsTrue)
		n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 2000}, 1, 100)
		c.Assert(hasEnded(n), qt.IsFalse, qt.Commentf("another incarnation"))
	})
}

// Guards against a run that is started elsewhere while it runs, since its executor has accepted it after the connections were refused,
// and against one that waits for the end of the lease under the next owner, since its executor had not listed it yet.
func TestEndOfExecutorCoversOrdersBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		listed := n.countStart(testIncarnation, &workflow.StartOrder{RunTraits: workflow.RunTraits{Task: "listed"}, Run: 1}, true)
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, listed)
		n.countStart(testIncarnation, &workflow.StartOrder{RunTraits: workflow.RunTraits{Task: "rejected"}, Run: 1}, false)
		n.countStart("i-1@500", &workflow.StartOrder{RunTraits: workflow.RunTraits{Task: "former"}, Run: 1}, true)
		accepted := n.countStart(testIncarnation, &workflow.StartOrder{RunTraits: workflow.RunTraits{Task: "accepted"}, Run: 2}, true)
		n.refuse()
		c.Assert(n.nextReport(1).ExecutorEnd, qt.DeepEquals, &workflow.ExecutorEnd{
			CoveredSequence: accepted, Started: []workflow.RunState{{Task: "accepted", Run: 2}},
		})
		n.countOrder(false)
		c.Assert(hasEnded(n), qt.IsTrue)
		n.countOrder(true)
		c.Assert(hasEnded(n), qt.IsFalse)
	})
}

// unknownExecutor is the address of an executor that has not announced itself.
type unknownExecutor struct {
	Executor
	err   error
	calls int
}

func (x *unknownExecutor) Connect(context.Context) error {
	x.calls++
	return x.err
}

// Guards against a new process of a node that can't know that the host's executor has ended, since that never announces itself to it,
// and against connections that are opened all the time.
func TestEndOfUnknownExecutorIsObserved(t *testing.T) {
	for _, test := range []struct {
		err   error
		ended bool
	}{{ErrRefused, true}, {ErrNotDelivered, false}, {nil, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			n.forgetIncarnation()
			<-n.wakeHold
			executor := &unknownExecutor{err: test.err}
			n.executor = executor
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			n.holdLoop(ctx)
			report := n.nextReport(1)
			c.Assert(report.Executor, qt.IsNil)
			c.Assert(report.ExecutorEnd != nil, qt.Equals, test.ended)
			c.Assert(executor.calls <= 11, qt.IsTrue, qt.Commentf("%d calls", executor.calls))
			n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 3000}, 1, 100)
			c.Assert(hasEnded(n), qt.IsFalse)
		})
	}
}
