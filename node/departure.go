package node

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// maxDepartureTime is how long after the announcement of its end an executor may still respond. Later responses show that the
// announcement was wrong or meant for a former incarnation.
const maxDepartureTime = 2 * time.Second

// maxAnnouncementDelay is how much later the announcement of the end of an executor may arrive.
const maxAnnouncementDelay = 15 * time.Second

// departure is the planned end of an executor incarnation.
type departure struct {
	// announcedAt is when the executor announced its end; zero while it drains.
	announcedAt time.Time
	// drained is set if the executor itself has announced that it drains, as it does before a planned end.
	drained bool
	// ambiguous is set if the announcement of the end may be one of a former incarnation under the same ID.
	ambiguous bool
	// settled is closed when an owner has stored that the incarnation has left, or when another incarnation is known.
	settled chan struct{}
	closed  bool
}

func newDeparture(drained bool) *departure {
	return &departure{drained: drained, settled: make(chan struct{})}
}

// announced reports whether the executor has announced its end. It is false for nil.
func (d *departure) announced() bool { return d != nil && !d.announcedAt.IsZero() }

func (d *departure) settle() {
	if d != nil && !d.closed {
		d.closed = true
		close(d.settled)
	}
}

// Leave records that the executor announces its end, so that it gets no more starts. The message doesn't name the incarnation
// and may be late, so the executor counts as ended only once it refuses connections.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.ID != id || n.departure.announced() {
		return
	}
	n.log.Info("executor announces its end", "executor", n.current.IncarnationID())
	n.current.EndAnnounced = true
	if n.departure == nil {
		n.departure = newDeparture(false)
	}
	now := n.clock.Now()
	n.departure.announcedAt = now
	n.departure.ambiguous = n.former.id == id && now.Sub(n.former.replacedAt) < maxAnnouncementDelay
	signal(n.wakeHold)
	signal(n.wakeReport)
}

// handleHoldError processes a hold call to an incarnation that failed, after which the next call may reach another one. broken is
// set if its connection was broken or refused, which shows that the executor has just ended. If the incarnation had announced its
// end and its address refuses connections, it has left. If it was not draining before, the announcement may be that of a former
// incarnation, and refused connections prove nothing: then only its lease shows when its runs have ended. The same holds for one refused
// connection if that incarnation was known until shortly before.
func (n *Node) handleHoldError(incarnation string, err error, broken bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = false
	if n.current != nil && n.current.IncarnationID() == incarnation {
		n.noteConnection(err)
		if reason, _ := rejectionReason(err); reason == reasonFence {
			n.handleFenceRejection()
		}
		var other *OtherIncarnationError
		if errors.As(err, &other) {
			n.noteOtherIncarnation(other.StartedUnixMillis)
		}
		n.promoteSuccessor(err)
	}
	if broken && n.current != nil && n.current.IncarnationID() == incarnation && n.brokenAt.IsZero() {
		n.brokenAt = n.clock.Now()
		signal(n.wakeReport)
	}
	if !n.departure.announced() || n.current.Left || n.current.IncarnationID() != incarnation || !errors.Is(err, ErrRefused) {
		return
	}
	if !n.departure.drained || n.departure.ambiguous {
		return
	}
	n.log.Info("executor has left", "executor", incarnation, "epoch", n.epoch)
	n.current.Left = true
	signal(n.wakeReport)
}

// noteResponse withdraws the end of the executor if the incarnation responds after it should have ended. The caller holds mu.
func (n *Node) noteResponse(now time.Time) {
	if n.departure.announced() && (n.current.Left || now.Sub(n.departure.announcedAt) > maxDepartureTime) {
		n.log.Warn("executor responds after it announced its end", "executor", n.current.IncarnationID(), "reported", n.current.Left)
		n.current.Left, n.current.EndAnnounced = false, false
		n.endDeparture()
	}
}

// endDeparture forgets the planned end of the current incarnation. The caller holds mu.
func (n *Node) endDeparture() {
	n.departure.settle()
	n.departure = nil
}

// noteReply records that an owner has stored what a report said. The caller holds mu.
func (n *Node) noteReply(report *workflow.Report) {
	if report.Executor.Left {
		n.departure.settle()
	}
}

// AwaitDeparture waits, if the executor drains, until an owner has stored that it has left. After the node's process has ended,
// nobody could report it, and the executor's tasks would wait until its lease has certainly expired.
func (n *Node) AwaitDeparture(ctx context.Context) {
	n.mu.Lock()
	if n.departure == nil || !n.departure.drained {
		n.mu.Unlock()
		return
	}
	settled, incarnation := n.departure.settled, n.current.IncarnationID()
	n.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
		n.log.Warn("process stops before the end of its executor is reported", "executor", incarnation)
	}
}
