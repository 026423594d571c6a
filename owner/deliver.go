package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// maxDeliveryStart is how long after its first request a delivery may begin further ones. With OrdersTimeout it stays below the time after
// which the engine gives up starts without a result, so that none is sent after the stop that follows.
const maxDeliveryStart = time.Second

// reasonNotSent is the reason for rejecting starts that were planned and not sent.
const reasonNotSent = "not sent in time"

// errOrdersRefused means that a node has refused a request before it executed any order of it.
var errOrdersRefused = errors.New("owner: node refused the orders")

// deliver sends orders to a node, in several requests one after the other if one would be too large, and passes their results to the
// engine. Once a request gets no response, or maxDeliveryStart has passed, the orders of the following ones are not sent.
func (t *term) deliver(d *engine.NodeOrders) {
	requests := splitOrders(d)
	began := t.clock.Now()
	for i, request := range requests {
		if i > 0 && t.clock.Now().Sub(began) >= maxDeliveryStart {
			t.withhold(requests[i:], reasonNotSent)
			return
		}
		if !t.deliverRequest(request) {
			t.withhold(requests[i+1:], workflow.ReasonUnreachable)
			return
		}
	}
}

// withhold reports the orders of requests that are not sent: their starts as rejected, so that the tasks may be placed again.
func (t *term) withhold(requests []*engine.NodeOrders, reason string) {
	for _, d := range requests {
		t.applyResults(d, undeliveredReply(d, workflow.OutcomeRejected, reason))
	}
}

// deliverRequest sends the orders of one request. It returns false if the node has not responded.
func (t *term) deliverRequest(d *engine.NodeOrders) (responded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), OrdersTimeout)
	defer cancel()
	d.Orders.Epoch = t.lease.Record.Epoch
	if !t.lease.Valid() {
		t.withholdStarts(d)
	}
	t.logStarts(d)
	for i := range d.Orders.Stops {
		s := &d.Orders.Stops[i]
		t.log.Info("stop ordered", "task", s.Task, "run", s.Run, "reason", s.Reason, "executor", d.Orders.ExecutorIncarnation, "node", d.Node, "epoch", d.Orders.Epoch)
	}
	t.metrics.orders.Inc(int64(len(d.Orders.Starts) + len(d.Orders.Stops)))
	if len(d.Orders.Starts)+len(d.Orders.Stops) == 0 {
		return true
	}
	reply, err := t.sendOrders(ctx, d)
	if err != nil {
		t.log.Warn("no results of orders", "node", d.Node, "executor", d.Orders.ExecutorIncarnation, "starts", len(d.Orders.Starts), "stops", len(d.Orders.Stops), "error", err)
		reply = undeliveredReply(d, startOutcome(err), workflow.ReasonUnreachable)
	}
	t.applyResults(d, reply)
	return err == nil || errors.Is(err, errOrdersRefused)
}

// withholdStarts removes the starts and the lease renewal from a delivery whose ownership lease may have expired since the
// starts were planned, as another owner may have taken over. The starts were not sent, so they are reported as rejected and the
// tasks may be placed again.
func (t *term) withholdStarts(d *engine.NodeOrders) {
	reply := &workflow.OrdersReply{}
	for i := range d.Orders.Starts {
		s := &d.Orders.Starts[i]
		reply.Results = append(reply.Results, workflow.OrderResult{
			Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: "the ownership may have ended",
		})
	}
	d.Orders.Starts, d.Orders.LeaseMillis = nil, 0
	if len(reply.Results) > 0 {
		t.applyResults(d, reply)
	}
}

// applyResults passes the results of the orders of a delivery to the engine.
func (t *term) applyResults(d *engine.NodeOrders, reply *workflow.OrdersReply) {
	node, executor := d.Node, d.Orders.ExecutorIncarnation
	apply := func(now, _ time.Time) func() {
		for i := range reply.Results {
			r := &reply.Results[i]
			r.Executor = executor
			if r.Outcome != workflow.OutcomeDone {
				t.metrics.rejected.Inc(1)
				t.log.Info("order not accepted", "task", r.Task, "run", r.Run, "stop", r.Stop, "node", node, "outcome", r.Outcome, "reason", r.Reason)
			}
			t.engine.HandleOrderResult(node, reply.Incarnation, r, now)
		}
		return nil
	}
	select {
	case t.events <- apply:
	case <-time.After(OrdersTimeout):
	}
}

// sendOrders sends one request. Errors match errOrdersRefused or rpc.ErrNotSent if no order of it was executed and none will be.
func (t *term) sendOrders(ctx context.Context, d *engine.NodeOrders) (*workflow.OrdersReply, error) {
	response, err := t.rpc.Call(ctx, http.MethodPost, "http://"+d.Address+OrdersPath, nil, &d.Orders)
	if err != nil {
		return nil, err
	}
	switch response.Status {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return nil, eris.Wrapf(errOrdersRefused, "status %d: %.200s", response.Status, response.Body)
	default:
		return nil, eris.Errorf("orders answered with status %d", response.Status)
	}
	reply := &workflow.OrdersReply{}
	if err := response.Decode(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// startOutcome returns the outcome of starts whose request has ended with an error.
func startOutcome(err error) workflow.Outcome {
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, errOrdersRefused) {
		return workflow.OutcomeRejected
	}
	return workflow.OutcomeUnknown
}

// undeliveredReply returns results for orders that the node has not confirmed, with the given outcome for starts.
func undeliveredReply(d *engine.NodeOrders, starts workflow.Outcome, reason string) *workflow.OrdersReply {
	reply := &workflow.OrdersReply{}
	for _, s := range d.Orders.Starts {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: starts, Reason: reason})
	}
	for _, s := range d.Orders.Stops {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown, Reason: reason})
	}
	return reply
}
