package node

import (
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// DefaultMaxLease is the longest lease that executors take unless their settings say otherwise.
const DefaultMaxLease = 10 * time.Second

// SetMaxLease sets the longest lease that the executor takes, by its own clock. It is called before Run.
func (n *Node) SetMaxLease(d time.Duration) { n.maxLease = d }

// SetStopTime sets the longest time that the executor takes to stop a run. It is called before Run.
func (n *Node) SetStopTime(d time.Duration) { n.maxStopTime = d }

// staleLease is the lease that the current incarnation may hold from stale calls.
type staleLease struct {
	// bounded is set once the incarnation has answered a call with its own fencing token, so that no stale call has an effect any more.
	bounded bool
	// boundedAt is when that answer arrived.
	boundedAt time.Time
	// end is when the lease has ended at the latest; zero if there is none.
	end time.Time
	// ofFormerProcess is set if only calls of a former process of the node can have given the lease.
	ofFormerProcess bool
	// epoch is that of the fencing token in the call that bounded it.
	epoch int64
	// counted is set once an owner has renewed the granted lease on a report that told it of this one, so that it waits for both to end.
	counted bool
}

// hasFormerCalls reports whether the current incarnation may receive calls of former processes of the node: they were meant for the
// executor that has first responded to this process, or for one that is older than the process.
func (n *Node) hasFormerCalls() bool {
	return n.host.Now().Before(n.formerCallsUntil) && (n.firstID == "" || n.current.ID == n.firstID || n.current.StartedUnixMillis <= n.incarnation/int64(time.Millisecond))
}

// maxProbeAge is how long before the first answer to a call with a token of an owner an incarnation must have accepted one without.
const maxProbeAge = 400 * time.Millisecond

// tokenProbe tells whether the current incarnation had seen no fencing token when it was called with one that is below those of all owners:
// it then had carried out no call of a former process of the node.
type tokenProbe struct {
	// acceptedAt is when such a call was last sent that the incarnation has accepted; zero if none was.
	acceptedAt time.Time
	// rejected is set once it has rejected one.
	rejected bool
}

func (p *tokenProbe) isRecent(now time.Time) bool {
	return !p.rejected && !p.acceptedAt.IsZero() && now.Sub(p.acceptedAt) <= maxProbeAge
}

// probes reports whether the next hold call has a token below those of all owners. The caller holds mu.
func (n *Node) probes() bool {
	return !n.fetches && !n.staleLease.bounded && n.hasFormerCalls() && !n.probe.rejected && n.probe.acceptedAt.IsZero()
}

// boundStaleLease bounds the stale lease of the current incarnation, which has answered a call with its own fencing token. Only a token
// of the highest known epoch is certainly higher than those of a former process of the node.
func (n *Node) boundStaleLease(hold *holdCall, lists *RunLists) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || n.current.IncarnationID() != hold.incarnation || !isFrom(lists, hold.incarnation) {
		return
	}
	if hold.epoch == 0 {
		n.probe.acceptedAt = hold.calledAt
	}
	if n.fetches || n.isStaleLeaseBounded(hold.epoch) {
		return
	}
	deadline, own := n.leaseCalls.latestDeadline(hold.incarnation, n.host.Now())
	lease := time.Duration(deadline-lists.ClockMillis) * time.Millisecond
	if n.hasFormerCalls() && !n.probe.isRecent(n.clock.Now()) {
		lease = n.maxLease
	}
	now := n.clock.Now()
	n.staleLease = staleLease{bounded: true, boundedAt: now, epoch: hold.epoch, ofFormerProcess: !own}
	if lease <= 0 {
		return
	}
	n.staleLease.end = now.Add(clock.LongestOnSlowClock(min(lease, n.maxLease)))
	n.raiseLeaseBound(n.staleLease.end)
	signal(n.wakeStops)
	n.log.Info("executor may hold a lease from calls for a former incarnation", "executor", hold.incarnation, "left_ms", n.staleLease.end.Sub(now).Milliseconds(),
		"deadline_ms", deadline, "clock_ms", lists.ClockMillis, "of_former_process", !own, "open_calls", len(n.leaseCalls.open))
}

// isStaleLeaseBounded reports whether an answered call with a token of an epoch gives no new bound. The caller holds mu.
func (n *Node) isStaleLeaseBounded(epoch int64) bool {
	s := &n.staleLease
	return epoch == 0 || s.bounded && !(s.ofFormerProcess && s.epoch < epoch && n.hasFormerCalls())
}

// noteGrant records that an owner has renewed the granted lease on a report that was sent at a time. The caller holds mu.
func (n *Node) noteGrant(report *workflow.Report, sent time.Time) {
	s := report.StaleLease
	if s == nil || sent.Add(time.Duration(s.LeftMillis)*time.Millisecond).Before(n.staleLease.end) {
		return
	}
	n.staleLease.counted = true
}

// reportedStaleLease returns what a report to the owner of an epoch says of the stale lease; nil if there is none. The caller holds mu.
func (n *Node) reportedStaleLease(now time.Time) *workflow.StaleLease {
	if n.current == nil || n.fetches {
		return nil
	}
	incarnation := n.current.IncarnationID()
	_, own := n.leaseCalls.latestDeadline(incarnation, n.host.Now())
	s := &workflow.StaleLease{OfFormerProcess: !own}
	end := time.Time{}
	switch {
	case n.staleLease.bounded && n.isStaleLeaseBounded(n.epoch):
		end, s.OfFormerProcess = n.staleLease.end, n.staleLease.ofFormerProcess
	case own || n.hasFormerCalls():
		s.Unbounded = true
	}
	if answeredAt := n.leaseCalls.latestAnswer(incarnation); !answeredAt.IsZero() {
		if other := answeredAt.Add(clock.LongestOnSlowClock(n.maxLease)); other.After(end) {
			end, s.OfFormerProcess = other, false
		}
	}
	if !end.After(now) && !s.Unbounded {
		return nil
	}
	s.LeftMillis = max(end.Sub(now).Milliseconds()+1, 0)
	return s
}
