package node

import "time"

const (
	// shortRenewal is the remaining time of the lease that the executor holds below which its renewal is logged.
	shortRenewal = time.Second
	// renewalLogInterval is the least time between two such lines.
	renewalLogInterval = time.Second
)

// renewalLog tells when a renewal of the lease was last sent to the executor and confirmed, and limits the lines on renewals.
type renewalLog struct {
	last     clockReading
	loggedAt time.Time
}

// logRenewal logs the renewal of a lease that had been close to its end or past it, or that was renewed after the host was
// suspended. The caller holds mu.
func (n *Node) logRenewal(h *holdCall) {
	former := n.renewals.last
	n.renewals.last = h.clocks
	if h.renewedUntil.IsZero() || !h.leaseEnd.After(h.renewedUntil) {
		return
	}
	left, suspended := h.renewedUntil.Sub(h.calledAt), time.Duration(0)
	if !former.monotonic.IsZero() {
		suspended = h.clocks.suspendedSince(former)
	}
	if left >= shortRenewal && suspended < minSuspension || h.calledAt.Sub(n.renewals.loggedAt) < renewalLogInterval {
		return
	}
	n.renewals.loggedAt = h.calledAt
	n.log.Warn("lease renewed late", "executor", h.incarnation, "epoch", n.epoch, "left_ms", left.Milliseconds(), "suspended_ms", suspended.Milliseconds(),
		"deadline_ms", h.deadline, "until_ms", h.leaseEnd.Sub(h.calledAt).Milliseconds())
}
