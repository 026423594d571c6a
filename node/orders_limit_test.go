package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// silentExecutor answers no call. It records when starts are sent.
type silentExecutor struct {
	Executor
	mu   sync.Mutex
	sent []time.Time
}

func (s *silentExecutor) Start(ctx context.Context, _ string, _ Start) error {
	s.mu.Lock()
	s.sent = append(s.sent, time.Now())
	s.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// starts returns the number of starts that were sent.
func (s *silentExecutor) starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// Guards against starts that are sent seconds after their owner has given them up, and that no stop precedes: they waited behind others
// that got no answer, and the host of the owner was lost, so that the node didn't hear of it (TWICE).
func TestStartsAreNotSentAfterOwnerHasGivenThemUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n, silent := newNode(), &silentExecutor{}
		n.executor = silent
		orders := &workflow.Orders{
			Epoch: 1, Incarnation: n.incarnation, ReportNumber: n.nextReport(1).Number, LeaseMillis: testLeaseMillis, ExecutorIncarnation: testIncarnation,
		}
		for i := range 8 * maxParallelOrders {
			orders.Starts = append(orders.Starts, workflow.StartOrder{RunTraits: workflow.RunTraits{Task: fmt.Sprintf("t%d", i)}, Run: 1})
		}
		began := time.Now()
		reply := n.execute(t.Context(), orders)
		c.Assert(len(silent.sent) > maxParallelOrders, qt.IsTrue)
		for _, at := range silent.sent {
			c.Assert(at.Sub(began) < owner.OrdersTimeout, qt.IsTrue, qt.Commentf("a start was sent after %v", at.Sub(began)))
		}
		c.Assert(reply.Results[0].Outcome, qt.Equals, workflow.OutcomeUnknown)
		c.Assert(reply.Results[len(reply.Results)-1].Outcome, qt.Equals, workflow.OutcomeRejected, qt.Commentf("the last start was never sent"))
	})
}
