package node

import (
	"context"
	"fmt"
	"time"
)

const (
	// holdWait is how long an executor waits for the end of a run before it responds to a hold call.
	holdWait = time.Second
	// sharedHoldWait is the wait while best-effort and serving tasks share the executor: the latencies of the serving tasks, by
	// which the best-effort tasks are paced, change every half second.
	sharedHoldWait = 400 * time.Millisecond
	// shortLease is the remaining lease below which calls wait only shortHoldWait, so that a renewal reaches the executor
	// before its lease expires.
	shortLease    = 2 * time.Second
	shortHoldWait = 100 * time.Millisecond
	// urgentRenewal is the remaining time of the lease that the executor has confirmed below which each copy of a call renews it.
	urgentRenewal = 3 * time.Second
	// renewalWindow is how long after an answer the next call may renew the lease. It covers ackWait and the calls that set paces.
	renewalWindow = 600 * time.Millisecond
	// urgentRenewalWindow is the same for an executor that needs the renewal soon, and may leave some calls unanswered.
	urgentRenewalWindow = 3 * time.Second
	// minRenewal is by how much a renewal prolongs the lease at least, unless the executor needs it soon.
	minRenewal = 500 * time.Millisecond
	// holdResponseMargin is how much longer than the wait a response may take.
	holdResponseMargin = 800 * time.Millisecond
	// holdRetryDelay is the pause after a failed call.
	holdRetryDelay = 100 * time.Millisecond
	// ackWindow is how long after a response the ends that it lists may be acknowledged. Ends that are not acknowledged are
	// listed again.
	ackWindow = 500 * time.Millisecond
	// ackWait is how long the next call is delayed so that it can carry the acknowledgement of the ends just listed.
	ackWait = 150 * time.Millisecond
)

// holdLoop calls Hold repeatedly: each call renews the lease of the runs, acknowledges ends and returns the lists of runs.
func (n *Node) holdLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		hold := n.nextHold()
		if hold.incarnation == "" {
			n.awaitExecutor(ctx)
			continue
		}
		answer, broken, err := n.callExecutor(ctx, &hold)
		if err != nil {
			failures++
			n.handleHoldError(hold.incarnation, err, broken)
			if failures == 1 && ctx.Err() == nil {
				n.log.Warn("executor doesn't answer", "executor", hold.incarnation, "error", err)
			}
			n.sleep(ctx, nil, holdRetryDelay)
			continue
		}
		if failures > 0 {
			n.log.Info("executor responds again", "executor", hold.incarnation, "failed_calls", failures)
			failures = 0
		}
		if answer.renewed {
			n.noteRenewal(&hold)
		}
		n.boundStaleLease(&hold, answer.lists)
		switch n.applyLists(hold.incarnation, answer.lists, hold.covers) {
		case otherIncarnation:
			n.noteStaleAnswer(&hold, &answer)
			n.sleep(ctx, nil, holdRetryDelay)
		case reportAtOnce:
			signal(n.wakeReport)
			n.sleep(ctx, n.wakeHold, ackWait)
		}
		n.adjustPaces(ctx)
	}
}

// errLateResponse is the result of a hold call whose response is processed after its time limit, although the limit has not
// cancelled the call.
var errLateResponse = fmt.Errorf("%w: response after the time limit", errInconclusive)

// callExecutor makes a hold call. broken is set if its connection was broken or refused. Time limits stand still while the host is
// suspended, so a response may be processed when its lists are long out of date.
func (n *Node) callExecutor(ctx context.Context, hold *holdCall) (answer holdAnswer, broken bool, err error) {
	limit := hold.wait + holdResponseMargin
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sentAt := n.clock.Now()
	answer, err = repeat(call, repetition{patience: hold.wait, copies: n.copies}, func(ctx context.Context, first bool) (holdAnswer, error) {
		return n.sendHold(ctx, hold, first)
	})
	if err == nil && n.clock.Now().Sub(sentAt) > limit {
		err = errLateResponse
	}
	return answer, call.Err() == nil && isBroken(err), err
}

// holdCall holds the parameters of a hold call.
type holdCall struct {
	// incarnation is empty if no executor is known.
	incarnation string
	// epoch is that of the fencing token; 0 if no owner is known.
	epoch, fence, ack int64
	// deadline is the end of the lease on the executor's clock, or 0 if the call doesn't renew the lease. leaseEnd is the same on this
	// host's clock.
	deadline int64
	leaseEnd time.Time
	wait     time.Duration
	// covers is the number of executed orders that the response covers.
	covers int64
	// renewedUntil is the end of the lease that the executor has confirmed.
	renewedUntil time.Time
	// calledAt is when the call was made, and clocks are the readings of the host's clocks at that time.
	calledAt time.Time
	clocks   clockReading
}

// holdAnswer is the response to a copy of a hold call. renewed is set if that copy carried the deadline; ack is the number up to which
// it acknowledged ends, or 0.
type holdAnswer struct {
	lists   *RunLists
	renewed bool
	ack     int64
}

// sendHold sends a copy of a hold call. A copy that is carried out late may reach another incarnation under the executor's ID,
// which has neither listed the acknowledged ends nor the same clock. So copies beyond the first carry no acknowledgement, and the
// deadline only if the executor needs it soon and no other incarnation is known.
func (n *Node) sendHold(ctx context.Context, h *holdCall, first bool) (holdAnswer, error) {
	ack, deadline, wait := h.ack, h.deadline, h.wait
	if !first {
		ack, wait = 0, 0
	}
	if !first && h.renewedUntil.Sub(n.clock.Now()) >= urgentRenewal {
		deadline = 0
	}
	if !first {
		n.metrics.repeated.Inc(1)
	}
	n.mu.Lock()
	number, deadline := n.recordLeaseCall(h.incarnation, deadline)
	n.mu.Unlock()
	lists, err := n.executor.Hold(ctx, h.incarnation, h.fence, ack, deadline, wait)
	n.noteLeaseCall(h.incarnation, number, lists, err)
	return holdAnswer{lists, deadline > 0, ack}, err
}

// noteRenewal records that the executor has confirmed the deadline of a hold call.
func (n *Node) noteRenewal(h *holdCall) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil && n.current.IncarnationID() == h.incarnation {
		n.logRenewal(h)
		n.renewedUntil = h.leaseEnd
	}
}

// nextHold returns the parameters of the next hold call.
func (n *Node) nextHold() holdCall {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return holdCall{}
	}
	wait := holdWait
	if n.hasServingAndBestEffort() {
		wait = sharedHoldWait
	}
	now := n.clock.Now()
	left := n.leaseEnd.Sub(now)
	isShort := left > 0 && (left < shortLease || n.needsRenewal(now))
	// A call that waits for long would delay the acknowledgement after which the executor lists further ends.
	endsFollow := n.lists != nil && !n.lists.EndsComplete
	// A lease may be granted at any moment, and the executor may need it soon: runs outlast the node's process, and the announcement
	// of another executor.
	isAwaited := n.leaseEnd.IsZero()
	if isShort || isAwaited || endsFollow || n.lastUnknownStart > n.listsCover {
		wait = shortHoldWait
	}
	if n.lists == nil || !n.confirmed {
		wait = 0
	}
	deadline := int64(0)
	if n.renewsLease(now) {
		deadline = n.deadline(now)
	}
	ack := n.pendingAck()
	if (deadline > 0 || ack > 0) && !n.fetches {
		wait = 0
	}
	epoch := n.callEpoch()
	if n.probes() {
		epoch, deadline, ack, wait = 0, 0, 0, 0
	}
	return holdCall{
		incarnation: n.current.IncarnationID(), epoch: epoch, fence: n.fence(epoch), ack: ack, deadline: deadline, leaseEnd: n.leaseEnd,
		wait: wait, covers: n.executedOrders, renewedUntil: n.renewedUntil, calledAt: now, clocks: readClocks(n.host),
	}
}

// renewsLease reports whether the next hold call renews the lease. Only calls that are answered at once do, right after another answer:
// a call that is on its way while the executor restarts under its ID gives the next incarnation the lease. The caller holds mu.
func (n *Node) renewsLease(now time.Time) bool {
	if n.fetches {
		return true
	}
	age, urgent := now.Sub(n.listedAt), n.renewedUntil.Sub(now) < urgentRenewal
	extension := n.leaseEnd.Sub(n.renewedUntil)
	if n.lists == nil || extension <= 0 || extension < minRenewal && !urgent {
		return false
	}
	return n.confirmed && age <= renewalWindow || urgent && age <= urgentRenewalWindow
}

// needsRenewal reports whether the lease that the executor has confirmed ends soon, and a longer one is granted. The caller holds mu.
func (n *Node) needsRenewal(now time.Time) bool {
	return !n.renewedUntil.IsZero() && n.leaseEnd.After(n.renewedUntil) && n.renewedUntil.Sub(now) < urgentRenewal
}

// pendingAck returns the number up to which ends may be acknowledged, or 0 if the executor has not recently listed any end up to
// it. An executor that restarts under the same ID numbers its ends from 1 again, so acknowledging a number that it has not
// listed could discard ends that were never reported.
func (n *Node) pendingAck() int64 {
	if !n.confirmed || n.clock.Now().Sub(n.listedAt) > ackWindow {
		return 0
	}
	if n.lists == nil || len(n.lists.Ended) == 0 || n.lists.Ended[0].Number > n.ack {
		return 0
	}
	return n.ack
}

// sleep waits for a signal, at most for d.
func (n *Node) sleep(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
