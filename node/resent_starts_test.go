package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// silentExecutor counts the copies of starts that reach it and answers none of them.
type silentExecutor struct {
	Executor
	starts int
}

func (x *silentExecutor) Start(ctx context.Context, _ string, _ Start) error {
	x.starts++
	<-ctx.Done()
	return errors.New("no response")
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
				orders := &workflow.Orders{
					Epoch: 1, Incarnation: n.incarnation, ReportNumber: n.nextReport(1).Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
					Starts: []workflow.StartOrder{{RunTraits: workflow.RunTraits{Task: "0000000000000001.0.0.0"}, Run: 1}},
				}
				results := make(chan workflow.OrderResult, 1)
				go func() { results <- n.execute(t.Context(), orders).Results[0] }()
				time.Sleep(repeatInterval / 2)
				c.Assert(executor.starts, qt.Equals, 1)
				change(n)
				result := <-results
				c.Check(executor.starts, qt.Equals, 1)
				c.Check(result.Outcome, qt.Equals, workflow.OutcomeUnknown, qt.Commentf("the first copy may have been carried out"))
			})
		})
	}
}
