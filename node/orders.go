package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// orderTimeout bounds one call to the executor.
	orderTimeout = 800 * time.Millisecond
	// parallelOrders bounds the calls to the executor at once.
	parallelOrders = 8
	// leastGrant is what must be left of the grant for a start.
	leastGrant = time.Second
	// maxOrdersBytes bounds the body of orders.
	maxOrdersBytes = 4 << 20
)

var errNotOwner = errors.New("node: the process is not the owner")

// Register adds the paths that the node serves.
func (n *Node) Register(router *mux.Router) {
	router.HandleFunc(owner.OrdersPath, n.handleOrders).Methods(http.MethodPost)
}

func (n *Node) handleOrders(w http.ResponseWriter, r *http.Request) {
	var orders workflow.Orders
	if !rpc.ReadJSON(w, r, maxOrdersBytes, &orders) {
		return
	}
	rpc.WriteJSON(w, http.StatusOK, n.carryOut(r.Context(), &orders))
}

// carryOut calls the executor for each order.
func (n *Node) carryOut(ctx context.Context, orders *workflow.Orders) *workflow.OrdersReply {
	reply := &workflow.OrdersReply{Incarnation: n.incarnation}
	reply.Results = make([]workflow.OrderResult, len(orders.Starts)+len(orders.Stops))
	slots := make(chan struct{}, parallelOrders)
	var calls sync.WaitGroup
	run := func(i int, f func() workflow.OrderResult) {
		slots <- struct{}{}
		calls.Go(func() {
			reply.Results[i] = f()
			<-slots
		})
	}
	for i := range orders.Stops {
		run(i, func() workflow.OrderResult { return n.stop(ctx, orders, &orders.Stops[i]) })
	}
	for i := range orders.Starts {
		run(len(orders.Stops)+i, func() workflow.OrderResult { return n.start(ctx, orders, &orders.Starts[i]) })
	}
	calls.Wait()
	return reply
}

// admit checks a start against what is known now. It returns the deadline on the executor's clock, or a reason.
func (n *Node) admit(orders *workflow.Orders, now time.Time) (deadline int64, reason string) {
	basis, known := n.sent[orders.ReportNumber]
	switch {
	case orders.Epoch < n.epoch || orders.Epoch < n.locator.Epoch():
		return 0, "epoch"
	case n.current == nil || n.current.IncarnationID() != orders.ExecutorIncarnation:
		return 0, "life"
	case n.current.Draining:
		return 0, "draining"
	case orders.Incarnation != n.incarnation || !known || now.Sub(basis) >= owner.Grant:
		return 0, "basis"
	}
	if end := basis.Add(time.Duration(orders.GrantMillis) * time.Millisecond); orders.GrantMillis > 0 && end.After(n.grantEnd) {
		n.grantEnd = end
	}
	if n.grantEnd.Sub(now) < leastGrant {
		return 0, "grant"
	}
	n.epoch = orders.Epoch
	deadline = n.deadline(now)
	if deadline == 0 {
		return 0, "clock"
	}
	return deadline, ""
}

// start starts one run.
func (n *Node) start(ctx context.Context, orders *workflow.Orders, s *workflow.StartOrder) workflow.OrderResult {
	result := workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected}
	n.mu.Lock()
	deadline, reason := n.admit(orders, time.Now())
	fence := int64(0)
	if reason == "" {
		fence = n.fence(orders.Epoch)
		n.traits[s.Task] = s.RunTraits
		n.paces[s.Task] = 100
	}
	n.mu.Unlock()
	if reason != "" {
		n.metrics.rejected.Inc(1)
		n.log.Info("start rejected", "task", s.Task, "run", s.Run, "reason", reason, "epoch", orders.Epoch, "basis", orders.ReportNumber)
		result.Reason = reason
		return result
	}
	begun := time.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.executor.Start(call, orders.ExecutorIncarnation, Start{
		Task: s.Task, Run: s.Run, Spec: orders.Specs[jobOf(s.Task)], Saved: s.Saved, Ticket: s.Ticket, Fence: fence, DeadlineMillis: deadline,
	})
	n.metrics.startTime.RecordDuration(time.Since(begun))
	result.Sequence = n.operation()
	switch {
	case err == nil:
		n.metrics.starts.Inc(1)
		result.Outcome = workflow.OutcomeDone
		n.log.Info("run started", "task", s.Task, "run", s.Run, "executor", orders.ExecutorIncarnation, "epoch", orders.Epoch, "deadline_ms", deadline)
	default:
		var rejected bool
		if result.Reason, rejected = rejection(err); !rejected {
			result.Outcome, result.Reason = workflow.OutcomeUnknown, err.Error()
			n.metrics.unknown.Inc(1)
			n.doubt(result.Sequence)
		} else {
			n.metrics.rejected.Inc(1)
		}
		n.log.Info("run not started", "task", s.Task, "run", s.Run, "executor", orders.ExecutorIncarnation, "outcome", result.Outcome, "reason", result.Reason)
	}
	return result
}

// stop stops one run.
func (n *Node) stop(ctx context.Context, orders *workflow.Orders, s *workflow.StopOrder) workflow.OrderResult {
	result := workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown}
	n.mu.Lock()
	former := orders.Epoch < n.epoch || orders.Epoch < n.locator.Epoch()
	here := n.current != nil && n.current.IncarnationID() == orders.ExecutorIncarnation
	fence := int64(0)
	if !former {
		n.epoch = orders.Epoch
	}
	if here {
		fence = n.fence(orders.Epoch)
	}
	n.mu.Unlock()
	if former || !here {
		result.Reason = "epoch or incarnation"
		return result
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.executor.Stop(call, orders.ExecutorIncarnation, s.Task, s.Run, fence)
	result.Sequence = n.operation()
	if err == nil {
		n.metrics.stops.Inc(1)
		result.Outcome = workflow.OutcomeDone
		wake(n.wakeHold)
	} else {
		result.Reason = err.Error()
	}
	n.log.Info("run stopped", "task", s.Task, "run", s.Run, "executor", orders.ExecutorIncarnation, "outcome", result.Outcome, "reason", result.Reason)
	return result
}

// operation counts an order that was carried out.
func (n *Node) operation() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.operations++
	return n.operations
}

// doubt notes a start without an answer, so that the executor's lists tell soon what became of it.
func (n *Node) doubt(sequence int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unsure = max(n.unsure, sequence)
	wake(n.wakeHold)
}

func jobOf(task string) string {
	id, _ := workflow.ParseTaskID(task)
	return id.Job
}
