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

// errOrdersRefused means that a node has refused a request before it executed any order of it.
var errOrdersRefused = errors.New("owner: node refused the orders")

// deliver sends orders to a node, in several requests one after the other if one would be too large, and passes their results to the
// engine. Once a request gets no response, the orders of the following ones are not sent.
func (t *term) deliver(d *engine.NodeOrders) {
	requests := splitOrders(d)
	for i, request := range requests {
		if t.deliverRequest(request) {
			continue
		}
		for _, unsent := range requests[i+1:] {
			t.applyResults(unsent, undeliveredReply(unsent, rpc.ErrNotSent))
		}
		return
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
		reply = undeliveredReply(d, err)
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

// undeliveredReply returns results for orders that the node has not confirmed, for the reason that err gives.
func undeliveredReply(d *engine.NodeOrders, err error) *workflow.OrdersReply {
	outcome := workflow.OutcomeUnknown
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, errOrdersRefused) {
		outcome = workflow.OutcomeRejected
	}
	reply := &workflow.OrdersReply{}
	for _, s := range d.Orders.Starts {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: outcome, Reason: workflow.ReasonUnreachable})
	}
	for _, s := range d.Orders.Stops {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown, Reason: workflow.ReasonUnreachable})
	}
	return reply
}
