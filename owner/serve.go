package owner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// replyWait is how long the reply to a report may wait for a write. The grant must reach the node while the store is
// slow.
const replyWait = 300 * time.Millisecond

// cancelWait is how long a cancellation waits to be stored. The entry then stores it as a key of its own.
const cancelWait = 600 * time.Millisecond

// do applies an event and then waits until its changes are stored, for a limited time. What apply sets may only be read
// if the event was applied.
func (t *term) do(ctx context.Context, wait time.Duration, apply func(now, wall time.Time)) (isApplied, isStored bool) {
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

// cancel ends a job and waits until that is stored.
func (t *term) cancel(ctx context.Context, id string) (found, stored bool) {
	applied, stored := t.do(ctx, cancelWait, func(_, wall time.Time) {
		if _, found = t.engine.Phase(id); found {
			t.engine.Cancel(id, wall)
		}
	})
	if !applied {
		return true, false
	}
	return found, stored
}

// report handles the report of a node. It returns false if the engine was too busy to take it over.
func (t *term) report(ctx context.Context, r *workflow.Report) (workflow.ReportReply, bool) {
	var traits []workflow.RunTraits
	var losses map[string]map[string]float64
	granted := false
	applied, _ := t.do(ctx, replyWait, func(now, wall time.Time) {
		var ack int64
		ack, granted = t.engine.HandleReport(r, now, wall)
		losses = t.engine.HeadroomLosses(r.Node)
		if r.TraitsUnknown {
			traits = t.engine.Traits(r.Node)
		}
		if ack > 0 {
			life := r.Executor.IncarnationID()
			t.waiting = append(t.waiting, func() { t.acknowledge(life, ack) })
		}
	})
	if !applied {
		return workflow.ReportReply{}, false
	}
	reply := workflow.ReportReply{Epoch: t.tenure.Record.Epoch, Traits: traits, HeadroomLosses: losses}
	if r.Executor != nil {
		reply.Ack = t.acknowledged(r.Executor.IncarnationID())
	}
	if granted && t.tenure.Valid(time.Now()) {
		reply.GrantMillis = Grant.Milliseconds()
	}
	return reply, true
}

func (t *term) acknowledge(life string, number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked[life] = max(t.acked[life], number)
}

func (t *term) acknowledged(life string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked[life]
}

// ask reads from the engine. What read sets may only be read if ask returns true.
func (t *term) ask(ctx context.Context, read func()) bool {
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

// deliver sends orders to a node and takes over the results.
func (t *term) deliver(d *engine.NodeOrders) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	d.Orders.Epoch = t.tenure.Record.Epoch
	if !t.tenure.Valid(time.Now()) {
		t.withhold(d)
	}
	for i := range d.Orders.Starts {
		s := &d.Orders.Starts[i]
		t.log.Info("start ordered", "task", s.Task, "run", s.Run, "executor", d.Orders.ExecutorIncarnation, "node", d.Node, "epoch", d.Orders.Epoch, "basis", d.Orders.ReportNumber)
	}
	for i := range d.Orders.Stops {
		s := &d.Orders.Stops[i]
		t.log.Info("stop ordered", "task", s.Task, "run", s.Run, "reason", s.Reason, "executor", d.Orders.ExecutorIncarnation, "node", d.Node, "epoch", d.Orders.Epoch)
	}
	t.metrics.orders.Inc(int64(len(d.Orders.Starts) + len(d.Orders.Stops)))
	if len(d.Orders.Starts)+len(d.Orders.Stops) == 0 {
		return
	}
	reply, err := t.push(ctx, d)
	if err != nil {
		t.log.Warn("orders without an answer", "node", d.Node, "executor", d.Orders.ExecutorIncarnation, "starts", len(d.Orders.Starts), "stops", len(d.Orders.Stops), "error", err)
		reply = undelivered(d, err)
	}
	t.results(d.Node, reply)
}

// withhold takes the starts and the grant out of a delivery: the process was delayed since they were decided, and another
// owner may have taken over. Nothing was sent, so the tasks may start again.
func (t *term) withhold(d *engine.NodeOrders) {
	reply := &workflow.OrdersReply{}
	for i := range d.Orders.Starts {
		s := &d.Orders.Starts[i]
		reply.Results = append(reply.Results, workflow.OrderResult{
			Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeRejected, Reason: "the ownership may have ended",
		})
	}
	d.Orders.Starts, d.Orders.GrantMillis = nil, 0
	if len(reply.Results) > 0 {
		t.results(d.Node, reply)
	}
}

// results passes the results of orders on to the engine.
func (t *term) results(node string, reply *workflow.OrdersReply) {
	apply := func(now, _ time.Time) func() {
		for i := range reply.Results {
			r := &reply.Results[i]
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
	case <-time.After(pushTimeout):
	}
}

func (t *term) push(ctx context.Context, d *engine.NodeOrders) (*workflow.OrdersReply, error) {
	answer, err := t.rpc.Call(ctx, http.MethodPost, "http://"+d.Address+OrdersPath, nil, &d.Orders)
	if err != nil {
		return nil, err
	}
	reply := &workflow.OrdersReply{}
	if err := answer.Decode(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// undelivered makes the results of orders that a node has not answered.
func undelivered(d *engine.NodeOrders, err error) *workflow.OrdersReply {
	outcome := workflow.OutcomeUnknown
	if errors.Is(err, rpc.ErrNotSent) {
		outcome = workflow.OutcomeRejected
	}
	reply := &workflow.OrdersReply{}
	for _, s := range d.Orders.Starts {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: outcome, Reason: "unreachable"})
	}
	for _, s := range d.Orders.Stops {
		reply.Results = append(reply.Results, workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown, Reason: "unreachable"})
	}
	return reply
}
