package node

import (
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// A stale call is a call that was meant for a former incarnation of the executor. Calls name the executor's ID only, so an incarnation
// that starts under a used ID carries out stale calls until it has seen its own fencing token, which is higher than theirs. It then
// holds the lease that they carry, measured by its own clock, up to the longest lease that executors take.

const (
	// staleCallLimit is how long after it was sent a call without an answer may be carried out. Executors do so within seconds.
	staleCallLimit = time.Minute
	// clockTolerance is how much a reading of the executor's clock may deviate from the expected ones, beyond its drift of up to 2%.
	clockTolerance = 200 * time.Millisecond
)

// leaseCall is a call to the executor that carries a deadline.
type leaseCall struct {
	incarnation string
	// deadline is in milliseconds of that incarnation's clock.
	deadline int64
	sentAt   time.Time
	// awakeAt is when the call was sent on the clock that stands still while the host is suspended, as the executor may do too.
	awakeAt time.Time
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

// record records a call that is about to be sent and returns its number. It forgets calls that are too old to be carried out.
func (l *leaseCalls) record(incarnation string, deadline int64, now, awake time.Time) int64 {
	for number, call := range l.open {
		if awake.Sub(call.awakeAt) > staleCallLimit {
			delete(l.open, number)
		}
	}
	l.step++
	if deadline > 0 {
		l.open[l.step] = leaseCall{incarnation: incarnation, deadline: deadline, sentAt: now, awakeAt: awake}
	}
	return l.step
}

// reasonsWithoutEffect are the reasons of rejected calls of which the executor has not taken the deadline.
var reasonsWithoutEffect = []string{reasonFence, "late", reasonOtherIncarnation, workflow.ReasonUnhealthy, workflow.ReasonUnreachable}

// noteResult records the result of a call. One that certainly had no effect is forgotten; one without an answer stays open. It reports
// whether an incarnation has carried out the call, and it isn't known which.
func (l *leaseCalls) noteResult(number int64, err error, now time.Time) (answered bool) {
	call, open := l.open[number]
	if !open {
		return false
	}
	switch reason, rejected := rejectionReason(err); {
	case rejected && slices.Contains(reasonsWithoutEffect, reason):
		delete(l.open, number)
	case err == nil || rejected:
		// An executor takes the deadline of a start that it rejects as old or for want of room.
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
func (l *leaseCalls) latestDeadline(incarnation string, awake time.Time) (deadline int64, found bool) {
	id := executorID(incarnation)
	for _, call := range l.open {
		if call.incarnation == incarnation || executorID(call.incarnation) != id || awake.Sub(call.awakeAt) > staleCallLimit {
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

// recordLeaseCall records a call that is about to be sent to an incarnation. It returns the number of the call and the deadline that the
// call may carry: none once another incarnation is known. The caller holds mu.
func (n *Node) recordLeaseCall(incarnation string, deadline int64) (number, allowed int64) {
	if n.fetches {
		// An answer to the former incarnation of an executor that fetches its orders doesn't reach the next one.
		return 0, deadline
	}
	if n.current == nil || n.current.IncarnationID() != incarnation {
		deadline = 0
	}
	return n.leaseCalls.record(incarnation, deadline, n.clock.Now(), n.host.Now()), deadline
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
		n.raiseLeaseBound(now.Add(clock.LongestOnSlowClock(n.maxLease)))
	}
}

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
	now := n.clock.Now()
	reading := time.Duration(clockMillis-n.clockMillis) * time.Millisecond
	earliest, latest := call.sentAt.Sub(n.clockAt), now.Sub(n.clockAt)
	tolerance := clockTolerance + latest/50
	if reading >= earliest-tolerance && reading <= latest+tolerance {
		delete(n.leaseCalls.open, number)
	}
}

// isFrom reports whether an incarnation has named itself in its lists.
func isFrom(lists *RunLists, incarnation string) bool {
	return lists.StartedUnixMillis != 0 && workflow.FormatIncarnationID(executorID(incarnation), lists.StartedUnixMillis) == incarnation
}
