package node

import (
	"context"
	"errors"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Leave records that the executor announces its end, so that it gets no more starts. The message doesn't name the incarnation
// and may be late, so the executor counts as ended only once a later call can't be delivered to it.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.ID != id || n.departing {
		return
	}
	n.log.Info("executor announces its end", "executor", n.current.IncarnationID())
	n.current.Draining = true
	n.departing, n.departureReported = true, make(chan struct{})
	signal(n.wakeHold)
	signal(n.wakeReport)
}

// handleHoldError processes a hold call to an incarnation that failed. If the incarnation has announced its end and can't be
// reached, it has ended. Otherwise the next call may reach another incarnation.
func (n *Node) handleHoldError(incarnation string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = false
	if !n.departing || n.current.Left || n.current.IncarnationID() != incarnation || !errors.Is(err, ErrNotDelivered) {
		return
	}
	n.log.Info("executor has left", "executor", incarnation, "epoch", n.epoch)
	n.current.Left = true
	signal(n.wakeReport)
}

// noteResponse withdraws the end of the executor if the incarnation still responds.
func (n *Node) noteResponse() {
	if n.current.Left {
		n.log.Warn("executor responds after it has left", "executor", n.current.IncarnationID())
		n.current.Left = false
	}
}

// noteDepartureReported records that an owner has replied to a report of the executor's end.
func (n *Node) noteDepartureReported(report *workflow.Report) {
	if !report.Executor.Left {
		return
	}
	select {
	case <-n.departureReported:
	default:
		close(n.departureReported)
	}
}

// AwaitDepartureReport waits until an owner has been told that the executor has ended, if it has announced its end. The end of
// a host would otherwise hide it, and the executor's tasks would wait until its lease has certainly expired.
func (n *Node) AwaitDepartureReport(ctx context.Context) {
	n.mu.Lock()
	reported := n.departureReported
	n.mu.Unlock()
	if reported == nil {
		return
	}
	select {
	case <-reported:
	case <-ctx.Done():
		n.log.Warn("end of the executor not reported")
	}
}
