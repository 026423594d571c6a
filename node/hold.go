package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/workflow"
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
	// holdResponseMargin is how much longer than the wait a response may take.
	holdResponseMargin = 800 * time.Millisecond
	// paceTimeout limits the calls that set paces after the response to a hold call.
	paceTimeout = 300 * time.Millisecond
	// holdRetryDelay is the pause after a failed call.
	holdRetryDelay = 100 * time.Millisecond
	// ackWindow is how long after a response the ends that it lists may be acknowledged. Ends that are not acknowledged are
	// listed again.
	ackWindow = 500 * time.Millisecond
	// traitsPruneThreshold is the number of known tasks from which ended ones are removed.
	traitsPruneThreshold = 256
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
		switch n.applyLists(hold.incarnation, answer.lists, hold.covers) {
		case otherIncarnation:
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
	fence, ack  int64
	// deadline is the end of the lease on the executor's clock, leaseEnd the same on this host's.
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

// holdAnswer is the response to a copy of a hold call. renewed is set if that copy carried the deadline.
type holdAnswer struct {
	lists   *RunLists
	renewed bool
}

// sendHold sends a copy of a hold call. A copy that is carried out late may reach another incarnation under the executor's ID,
// which has neither listed the acknowledged ends nor the same clock. So copies beyond the first carry no acknowledgement, and the
// deadline only if the executor needs it soon.
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
	lists, err := n.executor.Hold(ctx, h.incarnation, h.fence, ack, deadline, wait)
	return holdAnswer{lists, deadline > 0}, err
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
	return holdCall{
		incarnation: n.current.IncarnationID(), fence: n.fence(n.epoch), ack: n.pendingAck(), deadline: n.deadline(now), leaseEnd: n.leaseEnd,
		wait: wait, covers: n.executedOrders, renewedUntil: n.renewedUntil, calledAt: now, clocks: readClocks(n.host),
	}
}

// needsRenewal reports whether the lease that the executor has confirmed ends soon, and a longer one is granted. The caller holds mu.
func (n *Node) needsRenewal(now time.Time) bool {
	return !n.renewedUntil.IsZero() && n.leaseEnd.After(n.renewedUntil) && n.renewedUntil.Sub(now) < urgentRenewal
}

// isBroken reports whether a call failed because its connection was broken or refused.
func isBroken(err error) bool {
	reason, rejected := rejectionReason(err)
	return err != nil && !errors.Is(err, errInconclusive) && (!rejected || reason == workflow.ReasonUnreachable)
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

// listsResult is the outcome of applying the lists of an executor.
type listsResult int

const (
	// nothingNew means that the lists contain nothing to report before the next regular report.
	nothingNew listsResult = iota
	// reportAtOnce means that the lists are the first ones of an incarnation, contain ends that are not acknowledged, or
	// resolve a start without a response.
	reportAtOnce
	// otherIncarnation means that the lists are not from the incarnation that was called.
	otherIncarnation
)

// applyLists stores the lists that the given incarnation returned. They cover the orders executed up to number covers.
func (n *Node) applyLists(incarnation string, lists *RunLists, covers int64) listsResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.IncarnationID() != incarnation {
		return otherIncarnation
	}
	if lists.StartedUnixMillis != 0 && lists.StartedUnixMillis != n.current.StartedUnixMillis {
		n.log.Info("another incarnation of the executor responds", "executor", incarnation, "born", lists.StartedUnixMillis)
		// An earlier start after the current incarnation has responded is that of a later one: the time of day was set back.
		if lists.StartedUnixMillis > n.current.StartedUnixMillis || n.lists != nil {
			n.forgetIncarnation()
		}
		return otherIncarnation
	}
	first := n.lists == nil
	previous := n.lists
	resolved := n.lastUnknownStart > n.listsCover && n.lastUnknownStart <= covers
	now := n.clock.Now()
	n.noteResponse(now)
	n.lists, n.listsCover, n.listedAt, n.confirmed = lists, covers, now, true
	maps.DeleteFunc(n.unlistedStarts, func(sequence int64, _ workflow.RunState) bool { return sequence <= covers })
	n.brokenAt, n.end = time.Time{}, executorEnd{}
	n.clockMillis, n.clockAt = lists.ClockMillis, n.listedAt
	n.logEnds(incarnation, previous, lists)
	if !lists.EndsComplete && (previous == nil || previous.EndsComplete) {
		n.log.Info("executor may have more ends than it lists", "executor", incarnation, "listed", len(lists.Ended), "acknowledged", n.ack)
	}
	n.pruneTraits(lists)
	if first || resolved || len(lists.Ended) > 0 && lists.Ended[len(lists.Ended)-1].Number > n.ack {
		return reportAtOnce
	}
	return nothingNew
}

// pruneTraits removes the traits and paces of ended tasks once there are traitsPruneThreshold tasks. Below that number it keeps
// everything, because a task that was just started may not be listed as running yet.
func (n *Node) pruneTraits(lists *RunLists) {
	if len(n.traits) < traitsPruneThreshold {
		return
	}
	listed := make(map[string]bool, len(lists.Running))
	for i := range lists.Running {
		listed[lists.Running[i].Task] = true
	}
	for _, end := range lists.Ended {
		if !listed[end.Task] {
			delete(n.traits, end.Task)
			delete(n.paces, end.Task)
		}
	}
}

// logEnds logs the ends that the previous lists did not contain.
func (n *Node) logEnds(incarnation string, previous, lists *RunLists) {
	var last int64
	if previous != nil && len(previous.Ended) > 0 {
		last = previous.Ended[len(previous.Ended)-1].Number
	}
	last = max(last, n.ack)
	for i := range lists.Ended {
		if end := &lists.Ended[i]; end.Number > last {
			n.metrics.ends.Inc(1)
			n.log.Info("run ended", "task", end.Task, "run", end.Run, "how", end.How, "executor", incarnation, "number", end.Number)
		}
	}
}

// hasServingAndBestEffort reports whether both serving and best-effort tasks run on the executor.
func (n *Node) hasServingAndBestEffort() bool {
	if n.lists == nil {
		return false
	}
	serving, bestEffort := false, false
	for i := range n.lists.Running {
		traits := n.traits[n.lists.Running[i].Task]
		serving = serving || traits.TargetMillis > 0
		bestEffort = bestEffort || traits.BestEffort
	}
	return serving && bestEffort
}

// paceChange is a pace, in percent, to set for a run.
type paceChange struct {
	run     workflow.RunState
	percent int
}

// adjustPaces sets the paces of the best-effort tasks according to the latencies of the serving tasks. It takes paceTimeout at
// most, since the next renewal of the lease waits for it.
func (n *Node) adjustPaces(ctx context.Context) {
	incarnation, fence, changes := n.nextPaceChanges(time.Now())
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	slots := make(chan struct{}, maxParallelOrders)
	var calls sync.WaitGroup
	for _, c := range changes {
		slots <- struct{}{}
		calls.Go(func() {
			n.setPace(ctx, incarnation, fence, c)
			<-slots
		})
	}
	calls.Wait()
}

func (n *Node) setPace(ctx context.Context, incarnation string, fence int64, c paceChange) {
	if err := n.executor.SetPace(ctx, incarnation, c.run.Task, c.run.Run, c.percent, fence); err != nil {
		n.log.Debug("pace not set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "error", err)
		return
	}
	n.mu.Lock()
	n.paces[c.run.Task] = c.percent
	n.mu.Unlock()
	n.log.Info("pace set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "executor", incarnation)
}

func (n *Node) nextPaceChanges(now time.Time) (incarnation string, fence int64, changes []paceChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.lists == nil || n.current.Unpaced {
		return "", 0, nil
	}
	latency := 0.0
	var bestEffort []workflow.RunState
	for _, run := range n.lists.Running {
		traits := n.traits[run.Task]
		if traits.TargetMillis > 0 {
			ratio := run.Usage / float64(traits.TargetMillis)
			latency = max(latency, ratio, 0.01)
			if ratio >= sharing.NearTargetRatio {
				n.nearTarget[traits.Image] = true
			}
		}
		if traits.BestEffort {
			bestEffort = append(bestEffort, run)
		}
	}
	if len(bestEffort) == 0 {
		latency = 0
	}
	level := n.pacer.Observe(latency, now)
	if level == sharing.FullPace && latency < sharing.NearTargetRatio {
		clear(n.nearTarget)
	}
	for i, percent := range n.pacer.Paces(n.disturbances(bestEffort), now) {
		run := bestEffort[i]
		current, known := n.paces[run.Task]
		if !known {
			current = sharing.FullPace
		}
		if current != percent {
			changes = append(changes, paceChange{run, percent})
		}
	}
	return n.current.IncarnationID(), n.fence(n.epoch), changes
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

// rejectionReason returns the reason of a call that certainly had no effect, and false if the effect is unknown.
func rejectionReason(err error) (string, bool) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, true
	}
	if errors.Is(err, ErrOtherIncarnation) {
		return "life", true
	}
	if errors.Is(err, ErrNotDelivered) {
		return workflow.ReasonUnreachable, true
	}
	return "", false
}

// disturbances returns how much each best-effort run takes from the serving images in nearTarget.
func (n *Node) disturbances(runs []workflow.RunState) []sharing.Disturbance {
	found := make([]sharing.Disturbance, len(runs))
	for i := range runs {
		traits := n.traits[runs[i].Task]
		found[i] = sharing.Disturbance{Loss: n.maxLoss(traits.Image), MilliCores: traits.MilliCores}
	}
	return found
}

// maxLoss returns the largest loss of headroom that an image causes to a serving image in nearTarget.
func (n *Node) maxLoss(image string) float64 {
	largest := 0.0
	for serving := range n.nearTarget {
		loss, known := n.losses[serving][image]
		if !known {
			loss = workflow.DefaultHeadroomLoss
		}
		largest = max(largest, loss)
	}
	return largest
}
