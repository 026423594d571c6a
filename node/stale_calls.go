package node

import (
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// A stale call is a call that was meant for a former incarnation of the executor. Calls name the executor's ID only, so an incarnation
// that starts under a used ID carries out stale calls until it has seen its own fencing token, which is higher than theirs. It then
// holds the lease that they carry, measured by its own clock, up to the longest lease that executors take.

const (
	// staleCallLimit is how long after it was sent a call without an answer may be carried out. Executors do so within seconds.
	staleCallLimit = time.Minute
	// clockTolerance is how much a reading of the executor's clock may deviate from the expected one, beyond its drift of up to 2%. It
	// covers the time that an answer takes.
	clockTolerance = 200 * time.Millisecond
	// DefaultMaxLease is the longest lease that executors take unless their settings say otherwise.
	DefaultMaxLease = 10 * time.Second
)

// leaseCall is a call to the executor that carries a deadline.
type leaseCall struct {
	incarnation string
	// deadline is in milliseconds of that incarnation's clock.
	deadline int64
	sentAt   time.Time
	// answerStep is the step at which an answer arrived that doesn't tell which incarnation it comes from, 0 if none did, and answeredAt
	// when it did.
	answerStep int64
	answeredAt time.Time
}

// leaseCalls holds the calls with a deadline that may have reached another incarnation than they were meant for, or may still do so.
type leaseCalls struct {
	// open holds them by the steps at which they were sent.
	open map[int64]leaseCall
	// step numbers the sends and answers of calls.
	step int64
}

// send records a call that is about to be sent and returns its number. It forgets calls that are too old to be carried out.
func (l *leaseCalls) send(incarnation string, deadline int64, now time.Time) int64 {
	for number, call := range l.open {
		if now.Sub(call.sentAt) > staleCallLimit {
			delete(l.open, number)
		}
	}
	l.step++
	if deadline > 0 {
		l.open[l.step] = leaseCall{incarnation: incarnation, deadline: deadline, sentAt: now}
	}
	return l.step
}

// noteResult records the result of a call. One that certainly had no effect is forgotten; one without an answer stays open. It reports
// whether an incarnation has carried out the call, and it isn't known which.
func (l *leaseCalls) noteResult(number int64, err error, now time.Time) (answered bool) {
	call, open := l.open[number]
	if !open {
		return false
	}
	switch reason, rejected := rejectionReason(err); {
	case rejected && reason != workflow.ReasonRoom && reason != reasonOld:
		delete(l.open, number)
	case err == nil || rejected:
		// An executor takes the deadline of a start that it rejects for these reasons.
		l.step++
		call.answerStep, call.answeredAt = l.step, now
		l.open[number] = call
		return true
	}
	return false
}

// noteProof records that an incarnation has answered a call and named itself. That call, and all calls that were answered before it was
// sent, have reached this incarnation.
func (l *leaseCalls) noteProof(incarnation string, number int64) {
	for n, call := range l.open {
		if call.incarnation == incarnation && (n == number || call.answerStep > 0 && call.answerStep < number) {
			delete(l.open, n)
		}
	}
}

// latestDeadline returns the latest deadline of the open calls for former incarnations of an executor, and false if there are none.
func (l *leaseCalls) latestDeadline(incarnation string, now time.Time) (deadline int64, found bool) {
	id := executorID(incarnation)
	for _, call := range l.open {
		if call.incarnation == incarnation || executorID(call.incarnation) != id || now.Sub(call.sentAt) > staleCallLimit {
			continue
		}
		deadline, found = max(deadline, call.deadline), true
	}
	return deadline, found
}

// latestAnswer returns when a call to an incarnation of the executor was last answered by one that isn't known; zero if none was.
func (l *leaseCalls) latestAnswer(incarnation string) (latest time.Time) {
	id := executorID(incarnation)
	for _, call := range l.open {
		if executorID(call.incarnation) == id && call.answeredAt.After(latest) {
			latest = call.answeredAt
		}
	}
	return latest
}

// executorID returns the ID of the executor of an incarnation.
func executorID(incarnation string) string {
	return incarnation[:max(strings.LastIndexByte(incarnation, '@'), 0)]
}

// staleLease is the lease that the current incarnation may hold from stale calls.
type staleLease struct {
	// bounded is set once the incarnation has answered a call with its own fencing token, so that no stale call has an effect any more.
	bounded bool
	// end is when the lease has ended at the latest; zero if there is none.
	end time.Time
	// ofFormerProcess is set if only calls of a former process of the node can have given the lease.
	ofFormerProcess bool
}

// SetMaxLease sets the longest lease that the executor takes, by its own clock. It is called before Run.
func (n *Node) SetMaxLease(d time.Duration) { n.maxLease = d }

// sendLeaseCall records a call that is about to be sent to an incarnation. It returns the number of the call and the deadline that the
// call may carry: none once another incarnation is known. The caller holds mu.
func (n *Node) sendLeaseCall(incarnation string, deadline int64) (number, allowed int64) {
	if n.fetches {
		// An answer to the former incarnation of an executor that fetches its orders doesn't reach the next one.
		return 0, deadline
	}
	if n.current == nil || n.current.IncarnationID() != incarnation {
		deadline = 0
	}
	return n.leaseCalls.send(incarnation, deadline, n.clock.Now()), deadline
}

// noteLeaseCall records the result of a call, and which incarnation answered it if the answer names it.
func (n *Node) noteLeaseCall(incarnation string, number int64, lists *RunLists, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && lists != nil && isFrom(lists, incarnation) {
		n.leaseCalls.noteProof(incarnation, number)
		return
	}
	now := n.clock.Now()
	if n.leaseCalls.noteResult(number, err, now) {
		n.raiseLeaseBound(now.Add(n.longestLease(n.maxLease)))
	}
}

// longestLease returns how long a lease lasts at most of the given duration by the executor's clock, which may be 2% slow.
func (n *Node) longestLease(d time.Duration) time.Duration { return d * 100 / 98 }

// raiseLeaseBound records that some incarnation of the executor may hold a lease up to a time. The caller holds mu.
func (n *Node) raiseLeaseBound(end time.Time) {
	if end.After(n.leaseBound) {
		n.leaseBound = end
	}
}

// noteAnswerClock records the clock reading in the answer to a call. If it is that of the current incarnation, the call is settled: in
// another incarnation whose clock reads the same, the deadline means the same time.
func (n *Node) noteAnswerClock(number, clockMillis int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	call, open := n.leaseCalls.open[number]
	if !open || n.clockAt.IsZero() || n.current == nil || n.current.IncarnationID() != call.incarnation {
		return
	}
	elapsed := n.clock.Now().Sub(n.clockAt)
	deviation := time.Duration(clockMillis-n.clockMillis)*time.Millisecond - elapsed
	if deviation.Abs() <= clockTolerance+elapsed/50 {
		delete(n.leaseCalls.open, number)
	}
}

// isFrom reports whether an incarnation has named itself in its lists.
func isFrom(lists *RunLists, incarnation string) bool {
	return lists.StartedUnixMillis != 0 && workflow.FormatIncarnationID(executorID(incarnation), lists.StartedUnixMillis) == incarnation
}

// hasFormerCalls reports whether the current incarnation may receive calls of former processes of the node: they were meant for the
// executor that this process heard of first, or for one that is older than the process.
func (n *Node) hasFormerCalls(now time.Time) bool {
	return now.Before(n.formerCallsUntil) && (n.current.ID == n.firstID || n.current.StartedUnixMillis <= n.incarnation/int64(time.Millisecond))
}

// boundStaleLease bounds the stale lease of the current incarnation, which has answered a call with its own fencing token. Such a call
// names an owner, so that its token is higher than those of a former process of the node.
func (n *Node) boundStaleLease(hold *holdCall, lists *RunLists) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetches || n.staleLease.bounded || hold.epoch == 0 || n.current == nil || n.current.IncarnationID() != hold.incarnation || !isFrom(lists, hold.incarnation) {
		return
	}
	n.staleLease = staleLease{bounded: true}
	now := n.clock.Now()
	deadline, own := n.leaseCalls.latestDeadline(hold.incarnation, now)
	lease := time.Duration(deadline-lists.ClockMillis) * time.Millisecond
	if n.hasFormerCalls(now) {
		lease = n.maxLease
	}
	lease = min(lease, n.maxLease)
	if lease <= 0 {
		return
	}
	n.staleLease.end = now.Add(n.longestLease(lease))
	n.staleLease.ofFormerProcess = !own
	n.raiseLeaseBound(n.staleLease.end)
	n.log.Info("executor may hold a lease from calls for a former incarnation", "executor", hold.incarnation, "open_calls", len(n.leaseCalls.open), "left_ms", n.staleLease.end.Sub(now).Milliseconds(),
		"deadline_ms", deadline, "clock_ms", lists.ClockMillis, "of_former_process", !own)
}

// reportedStaleLease returns what a report says of the stale lease. The caller holds mu.
func (n *Node) reportedStaleLease(now time.Time) *workflow.StaleLease {
	if n.current == nil || n.fetches {
		return nil
	}
	incarnation := n.current.IncarnationID()
	_, own := n.leaseCalls.latestDeadline(incarnation, now)
	s := &workflow.StaleLease{OfFormerProcess: !own, Unbounded: !n.staleLease.bounded && (own || n.hasFormerCalls(now))}
	end := n.staleLease.end
	if n.staleLease.bounded {
		s.OfFormerProcess = n.staleLease.ofFormerProcess
	}
	if answeredAt := n.leaseCalls.latestAnswer(incarnation); !answeredAt.IsZero() && answeredAt.Add(n.longestLease(n.maxLease)).After(end) {
		end, s.OfFormerProcess = answeredAt.Add(n.longestLease(n.maxLease)), false
	}
	if end.After(now) {
		s.LeftMillis = end.Sub(now).Milliseconds() + 1
	}
	if s.LeftMillis == 0 && !s.Unbounded {
		return nil
	}
	return s
}
