package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// minRefusals is the number of connections in a row that must be refused, over minRefusalTime and without an announcement in
	// between, until the executor's process counts as ended. An executor that runs refuses connections, too, while its server is
	// away for a moment, or while it has as many as it takes. But it announces itself each 1.5 s, and minRefusalTime is longer than
	// that. Its runs don't end by it unless the executor drains: it may be cut off from its node.
	// The time excludes suspensions of the host, since the executor may have been suspended, too.
	minRefusals    = 3
	minRefusalTime = 2200 * time.Millisecond
	// refusalCheckInterval is the time between the connections to an executor that isn't known while they are refused.
	refusalCheckInterval = minRefusalTime / (minRefusals - 1)
	// maxRefusalGap is the longest time between two refusals in a row. In a longer one the process was paused, so that announcements
	// may still wait to be processed.
	maxRefusalGap = refusalCheckInterval + 400*time.Millisecond
	// connectTimeout limits an attempt to connect to the executor.
	connectTimeout = 800 * time.Millisecond
)

// executorEnd follows whether the executor's address refuses connections, since the current incarnation is known, or the last one
// was forgotten.
type executorEnd struct {
	// refusals counts the refused connections in a row, the first of them at refusedAt, the last one at lastRefusedAt.
	refusals                 int
	refusedAt, lastRefusedAt time.Time
	// confirmed is set once there were enough of them. All incarnations up to then have ended.
	confirmed bool
}

// noteRefused records a refused connection, and reports whether it shows that the executor has ended.
func (x *executorEnd) noteRefused(now time.Time) bool {
	if now.Sub(x.lastRefusedAt) > maxRefusalGap {
		x.refusals = 0
	}
	if x.refusals == 0 {
		x.refusedAt = now
	}
	x.lastRefusedAt = now
	x.refusals++
	if x.confirmed || x.refusals < minRefusals || now.Sub(x.refusedAt) < minRefusalTime {
		return false
	}
	x.confirmed = true
	return true
}

// noteOtherResult records a call that was not refused, or an announcement. It doesn't undo an end, since the next incarnation may
// have caused it.
func (x *executorEnd) noteOtherResult() { x.refusals = 0 }

// awaitExecutor waits for the announcement of an executor. Until then it observes whether any listens at the executor's address.
func (n *Node) awaitExecutor(ctx context.Context) {
	n.mu.Lock()
	known := n.end.confirmed
	n.mu.Unlock()
	pause := holdWait
	if !known && n.isRefused(ctx) {
		pause = refusalCheckInterval
	}
	n.sleep(ctx, n.wakeHold, pause)
}

// isRefused connects to the executor while none is known, and reports whether the connection was refused.
func (n *Node) isRefused(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err := n.executor.Connect(call)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		n.noteConnection(err)
	}
	return errors.Is(err, ErrRefused)
}

// noteConnection records whether a connection to the executor was refused. The caller holds mu.
func (n *Node) noteConnection(err error) {
	if !errors.Is(err, ErrRefused) {
		n.end.noteOtherResult()
		return
	}
	if !n.end.noteRefused(time.Now()) {
		return
	}
	incarnation := ""
	if n.current != nil {
		incarnation = n.current.IncarnationID()
	}
	n.log.Warn("executor has ended", "executor", incarnation, "refusals", n.end.refusals, "epoch", n.epoch)
	signal(n.wakeReport)
}

// reportedEnd returns what a report says of the end of the executor. The caller holds mu.
func (n *Node) reportedEnd() *workflow.ExecutorEnd {
	if !n.end.confirmed {
		return nil
	}
	// A response to an order withdraws the end, so all orders with a response were carried out before.
	end := &workflow.ExecutorEnd{CoveredSequence: n.executedOrders}
	for _, sequence := range slices.Sorted(maps.Keys(n.unlistedStarts)) {
		end.Started = append(end.Started, n.unlistedStarts[sequence])
	}
	return end
}
