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

// reportReplyTimeout is how long the reply to a report may wait for a write. The renewed lease must reach the node even
// while the store is slow.
const reportReplyTimeout = 300 * time.Millisecond

// cancelTimeout is how long a cancellation waits to be stored. After that, the gateway stores it under a separate key.
const cancelTimeout = 600 * time.Millisecond

// applyAndWait applies an event in the loop of the term and waits for a limited time until its changes are stored. Variables
// that apply sets may be read only if isApplied is true.
func (t *term) applyAndWait(ctx context.Context, wait time.Duration, apply func(now, wall time.Time)) (isApplied, isStored bool) {
	applied, stored := make(chan struct{}), make(chan struct{})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case t.events <- func(now, wall time.Time) func() {
		apply(now, wall)
		close(applied)
		return func() { close(stored) }
	}:
	case <-timer.C:
		return false, false
	case <-ctx.Done():
		return false, false
	}
	select {
	case <-applied:
	case <-timer.C:
		return false, false
	case <-ctx.Done():
		return false, false
	}
	select {
	case <-stored:
		return true, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return true, false
}

// cancel cancels a job and waits until the cancellation is stored.
func (t *term) cancel(ctx context.Context, id string) (found, stored bool) {
	applied, stored := t.applyAndWait(ctx, cancelTimeout, func(now, wall time.Time) {
		if _, found = t.engine.Phase(id); found {
			t.engine.Cancel(id, now, wall)
		}
	})
	if !applied {
		return true, false
	}
	return found, stored
}

// report handles the report of a node. It returns false if the engine did not process the report in time, or if it says that
// an executor has left and this is not stored in time.
func (t *term) report(ctx context.Context, r *workflow.Report) (workflow.ReportReply, bool) {
	var traits []workflow.RunTraits
	var losses map[string]map[string]float64
	granted, noFormerLeases := false, false
	applied, stored := t.applyAndWait(ctx, reportReplyTimeout, func(now, wall time.Time) {
		var ack int64
		ack, granted = t.engine.HandleReport(r, now, wall)
		noFormerLeases = t.engine.IsFirstProcess(r.Node, r.Incarnation)
		t.logDepartures()
		t.logContradictions(now)
		t.logSuperseded(now)
		t.logMisplaced(now)
		losses = t.engine.HeadroomLosses(r.Node)
		if r.TraitsUnknown {
			traits = t.engine.Traits(r.Node)
		}
		if ack > 0 {
			incarnation := r.Executor.IncarnationID()
			t.afterCommit = append(t.afterCommit, func() { t.acknowledge(incarnation, ack) })
		}
	})
	// A node may stop after a reply to the report that its executor has left.
	if !applied || r.Executor != nil && r.Executor.Left && !stored {
		return workflow.ReportReply{}, false
	}
	reply := workflow.ReportReply{Epoch: t.lease.Record.Epoch, Traits: traits, HeadroomLosses: losses, NoFormerLeases: noFormerLeases}
	if r.Executor != nil {
		reply.Ack = t.ackedNumber(r.Executor.IncarnationID())
	}
	if granted && t.lease.Valid() {
		reply.LeaseMillis = ExecutorLeaseDuration.Milliseconds()
	}
	return reply, true
}

func (t *term) acknowledge(incarnation string, number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked[incarnation] = max(t.acked[incarnation], number)
}

func (t *term) ackedNumber(incarnation string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked[incarnation]
}

// query runs read in the loop of the term, where it may access the engine. Variables that read sets may be used only if query
// returns true.
func (t *term) query(ctx context.Context, read func()) bool {
	done := make(chan struct{})
	select {
	case t.events <- func(_, _ time.Time) func() {
		read()
		close(done)
		return nil
	}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// knows reports whether a job is stored, as far as the owner has read the store.
func (t *term) knows(ctx context.Context, id string) (known bool) {
	return t.query(ctx, func() { _, known = t.engine.Phase(id) }) && known
}

// deliver sends orders to a node and passes their results to the engine.
func (t *term) deliver(d *engine.NodeOrders) {
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
		return
	}
	reply, err := t.sendOrders(ctx, d)
	if err != nil {
		t.log.Warn("no response to orders", "node", d.Node, "executor", d.Orders.ExecutorIncarnation, "starts", len(d.Orders.Starts), "stops", len(d.Orders.Stops), "error", err)
		reply = undeliveredReply(d, err)
	}
	t.applyResults(d, reply)
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

func (t *term) sendOrders(ctx context.Context, d *engine.NodeOrders) (*workflow.OrdersReply, error) {
	response, err := t.rpc.Call(ctx, http.MethodPost, "http://"+d.Address+OrdersPath, nil, &d.Orders)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, eris.Errorf("orders answered with status %d", response.Status)
	}
	reply := &workflow.OrdersReply{}
	if err := response.Decode(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// undeliveredReply returns results for orders to which the node did not respond.
func undeliveredReply(d *engine.NodeOrders, err error) *workflow.OrdersReply {
	outcome := workflow.OutcomeUnknown
	if errors.Is(err, rpc.ErrNotSent) {
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
