package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// startOrders returns the order of one start that is decided on the next report to an owner.
func (n *Node) startOrders() *workflow.Orders {
	return &workflow.Orders{
		Epoch: 1, Incarnation: n.incarnation, ReportNumber: n.nextReport(1).Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
		Starts: []workflow.StartOrder{{RunTraits: workflow.RunTraits{Task: "0000000000000001.0.0.0"}, Run: 1}},
	}
}

// Guards against a start that is sent again after the node has learned of what forbids it: another incarnation under the executor's
// ID, which may be of another kind, a newer owner, the end of the executor, or less capacity.
func TestStartIsNotSentAgainOnceItIsForbidden(t *testing.T) {
	for name, change := range map[string]func(n *Node){
		"next incarnation": func(n *Node) {
			n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000, Labels: []string{"other"}}, 1, 100)
		},
		"newer owner": func(n *Node) { n.nextReport(2) },
		"draining":    (*Node).drain,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n, executor := newNodeOn(clocktest.NewHost()), &silentExecutor{}
				n.executor = executor
				orders := n.startOrders()
				results := make(chan workflow.OrderResult, 1)
				go func() { results <- n.execute(t.Context(), orders).Results[0] }()
				time.Sleep(repeatInterval / 2)
				c.Assert(executor.starts(), qt.Equals, 1)
				change(n)
				result := <-results
				c.Check(executor.starts(), qt.Equals, 1)
				c.Check(result.Outcome, qt.Equals, workflow.OutcomeUnknown, qt.Commentf("the first copy may have been carried out"))
			})
		})
	}
}

// Guards against a start that an executor fetches together with the announcement that forbids it: it drains, or has become smaller or
// of another kind since the owner decided on the start (ROUTE, LIMIT).
func TestQueuedStartIsNotFetchedOnceItIsForbidden(t *testing.T) {
	described := workflow.Executor{ID: "i-1", StartedUnixMillis: 1000, Labels: []string{"large"}, Capacity: structs.Resources{MilliCores: 4000}}
	smaller, otherKind, draining := described, described, described
	smaller.Capacity.MilliCores, otherKind.Labels, draining.Draining = 2000, []string{"small"}, true
	for name, test := range map[string]struct {
		announced workflow.Executor
		starts    int
		outcome   workflow.Outcome
	}{
		"unchanged":    {described, 1, workflow.OutcomeDone},
		"smaller":      {smaller, 0, workflow.OutcomeRejected},
		"another kind": {otherKind, 0, workflow.OutcomeRejected},
		"draining":     {draining, 0, workflow.OutcomeRejected},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n, mailbox := newNodeOn(clocktest.NewHost()), NewMailbox()
				n.executor, n.copies = mailbox, 1
				n.Announce(described, 2, 550)
				mailbox.Fetch(testIncarnation, &RunLists{ClockMillis: 550})
				results := make(chan workflow.OrderResult, 1)
				go func() { results <- n.execute(t.Context(), n.startOrders()).Results[0] }()
				synctest.Wait()
				n.Announce(test.announced, 3, 600)
				c.Check(mailbox.Fetch(testIncarnation, &RunLists{ClockMillis: 600}).Starts, qt.HasLen, test.starts)
				c.Check((<-results).Outcome, qt.Equals, test.outcome)
			})
		})
	}
}
