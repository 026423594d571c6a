package node

import (
	"context"
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/node/sharing"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// holdWait is how long an executor waits for an end before it answers.
	holdWait = time.Second
	// sharingWait is the same where filling tasks work beside serving ones, whose latencies change each half second.
	sharingWait = 400 * time.Millisecond
	// endingLease is what is left of a lease from which calls wait endingWait only, so that a new grant reaches the executor
	// before the lease has ended.
	endingLease = 2 * time.Second
	endingWait  = 100 * time.Millisecond
	// holdSlack is how much longer than the wait an answer may take.
	holdSlack = 800 * time.Millisecond
	// holdRetry is the pause after a call that failed.
	holdRetry = 100 * time.Millisecond
	// ackWindow is how long ends that an executor has listed may be acknowledged; it is listed again while they aren't.
	ackWindow = 500 * time.Millisecond
	// keptTraits is the number of tasks from which those that have ended are dropped.
	keptTraits = 256
	// ackWait is how long the next call waits for the acknowledgement of ends that were listed.
	ackWait = 150 * time.Millisecond
)

// holdLoop asks the executor for its runs, again and again.
func (n *Node) holdLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		life, fence, ack, deadline, wait, covers := n.nextHold()
		if life == "" {
			n.sleep(ctx, n.wakeHold, holdWait)
			continue
		}
		call, cancel := context.WithTimeout(ctx, wait+holdSlack)
		lists, err := n.executor.Hold(call, life, fence, ack, deadline, wait)
		cancel()
		if err != nil {
			failures++
			n.unconfirm()
			if failures == 1 && ctx.Err() == nil {
				n.log.Warn("executor doesn't answer", "executor", life, "error", err)
			}
			n.sleep(ctx, nil, holdRetry)
			continue
		}
		if failures > 0 {
			n.log.Info("executor answers again", "executor", life, "failed_calls", failures)
			failures = 0
		}
		switch n.listed(life, lists, covers) {
		case otherLife:
			n.sleep(ctx, nil, holdRetry)
		case news:
			wake(n.wakeReport)
			n.sleep(ctx, n.wakeHold, ackWait)
		}
		n.share(ctx)
	}
}

// nextHold returns the parameters of the next call.
func (n *Node) nextHold() (life string, fence, ack, deadline int64, wait time.Duration, covers int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return "", 0, 0, 0, 0, 0
	}
	wait = holdWait
	if n.shares() {
		wait = sharingWait
	}
	now := time.Now()
	if left := n.grantEnd.Sub(now); left > 0 && left < endingLease || n.unsure > n.covers {
		wait = endingWait
	}
	if n.lists == nil {
		wait = 0
	}
	return n.current.IncarnationID(), n.fence(n.epoch), n.dueAck(), n.deadline(now), wait, n.operations
}

// unconfirm notes that a call had no answer: the next one may reach another incarnation.
func (n *Node) unconfirm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = false
}

// dueAck returns the number to acknowledge, or 0 if the executor has nothing listed up to it, or has not just listed it. An
// executor that starts again under its ID counts from 1, so a number that is sent to it could acknowledge ends that nobody
// has seen.
func (n *Node) dueAck() int64 {
	if !n.confirmed || time.Since(n.listedAt) > ackWindow {
		return 0
	}
	if n.lists == nil || len(n.lists.Ended) == 0 || n.lists.Ended[0].Number > n.ack {
		return 0
	}
	return n.ack
}

// answer tells what the lists of an executor are worth.
type answer int

const (
	// noNews lists nothing that has to be reported at once.
	noNews answer = iota
	// news is the first answer, one with ends that aren't acknowledged, or one that tells of a start without an answer.
	news
	// otherLife comes from another incarnation than the call was meant for.
	otherLife
)

// listed takes over an answer.
func (n *Node) listed(life string, lists *Lists, covers int64) answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.IncarnationID() != life {
		return otherLife
	}
	if lists.BornUnixMillis != 0 && lists.BornUnixMillis != n.current.StartedUnixMillis {
		n.log.Info("another incarnation answers", "executor", life, "born", lists.BornUnixMillis)
		if lists.BornUnixMillis > n.current.StartedUnixMillis {
			n.forget()
		}
		return otherLife
	}
	first := n.lists == nil
	known := n.lists
	decided := n.unsure > n.covers && n.unsure <= covers
	n.lists, n.covers, n.listedAt, n.confirmed = lists, covers, time.Now(), true
	n.clockMillis, n.clockAt = lists.ClockMillis, n.listedAt
	n.logEnds(life, known, lists)
	n.prune(lists)
	if first || decided || len(lists.Ended) > 0 && lists.Ended[len(lists.Ended)-1].Number > n.ack {
		return news
	}
	return noNews
}

// prune drops what is known of tasks that have ended, once there is much of it. A task that was started just now may not
// be listed yet, so nothing is dropped below the bound.
func (n *Node) prune(lists *Lists) {
	if len(n.traits) < keptTraits {
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

// logEnds logs the ends that the answer before did not list.
func (n *Node) logEnds(life string, before, lists *Lists) {
	var last int64
	if before != nil && len(before.Ended) > 0 {
		last = before.Ended[len(before.Ended)-1].Number
	}
	last = max(last, n.ack)
	for i := range lists.Ended {
		if end := &lists.Ended[i]; end.Number > last {
			n.metrics.ends.Inc(1)
			n.log.Info("run ended", "task", end.Task, "run", end.Run, "how", end.How, "executor", life, "number", end.Number)
		}
	}
}

// shares tells whether filling tasks work beside serving ones.
func (n *Node) shares() bool {
	if n.lists == nil {
		return false
	}
	serving, filling := false, false
	for i := range n.lists.Running {
		traits := n.traits[n.lists.Running[i].Task]
		serving = serving || traits.TargetMillis > 0
		filling = filling || traits.BestEffort
	}
	return serving && filling
}

// pacing is a pace to set.
type pacing struct {
	run     workflow.RunState
	percent int
}

// share sets the pace of the filling tasks by the latencies of the serving ones.
func (n *Node) share(ctx context.Context) {
	life, fence, changes := n.paceChanges(time.Now())
	for _, c := range changes {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		err := n.executor.Pace(call, life, c.run.Task, c.run.Run, c.percent, fence)
		cancel()
		if err != nil {
			n.log.Debug("pace not set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "error", err)
			continue
		}
		n.mu.Lock()
		n.paces[c.run.Task] = c.percent
		n.mu.Unlock()
		n.log.Info("pace set", "task", c.run.Task, "run", c.run.Run, "percent", c.percent, "executor", life)
	}
}

func (n *Node) paceChanges(now time.Time) (life string, fence int64, changes []pacing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.lists == nil || n.current.Unpaced {
		return "", 0, nil
	}
	latency := 0.0
	var filling []workflow.RunState
	for _, run := range n.lists.Running {
		traits := n.traits[run.Task]
		if traits.TargetMillis > 0 {
			ratio := run.Usage / float64(traits.TargetMillis)
			latency = max(latency, ratio, 0.01)
			if ratio >= sharing.PressedAt {
				n.pressed[traits.Image] = true
			}
		}
		if traits.BestEffort {
			filling = append(filling, run)
		}
	}
	if len(filling) == 0 {
		latency = 0
	}
	level := n.pacer.Observe(latency, now)
	if level == sharing.FullPace && latency < sharing.PressedAt {
		clear(n.pressed)
	}
	for _, run := range filling {
		percent := level
		if level > 0 && n.spares(n.traits[run.Task].Image) {
			percent = sharing.FullPace
		}
		present, known := n.paces[run.Task]
		if !known {
			present = sharing.FullPace
		}
		if present != percent {
			changes = append(changes, pacing{run, percent})
		}
	}
	return n.current.IncarnationID(), n.fence(n.epoch), changes
}

// sleep waits for a signal or for a time.
func (n *Node) sleep(ctx context.Context, signal <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}

// rejection returns the reason of a rejected call.
func rejection(err error) (string, bool) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, true
	}
	if errors.Is(err, ErrAnotherLife) {
		return "life", true
	}
	if errors.Is(err, ErrNotReached) {
		return "unreachable", true
	}
	return "", false
}

// spares tells whether an image is known not to slow down the serving images that have been near their bounds since the
// pace was last full.
func (n *Node) spares(image string) bool {
	for serving := range n.pressed {
		loss, known := n.losses[serving][image]
		if !known || loss >= sharing.LightLoss {
			return false
		}
	}
	return true
}
