package node

import (
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
)

// extendLease moves the end of the lease to the time duration after sent, unless it ends later already.
func (n *Node) extendLease(sent time.Time, duration time.Duration) {
	end := sent.Add(duration)
	if duration <= 0 || !end.After(n.leaseEnd) {
		return
	}
	n.leaseEnd = end
	if end.After(n.grantedUntil) {
		n.grantedUntil = end
	}
	n.raiseLeaseBound(end)
}

const (
	// incarnationBits is the number of low bits of a fencing token that hold the start time of the executor's incarnation, in
	// steps of incarnationStep milliseconds. They wrap around after twelve days. JSON represents integers of up to 53 bits
	// exactly; the remaining 31 bits hold two thousand million store revisions.
	incarnationBits     = 22
	incarnationStep     = 250
	maxIncarnationToken = 1<<incarnationBits - 1
)

// fence returns the fencing token of calls under an epoch. It increases with the epoch and with each incarnation of the
// executor, so that a delayed call to a former incarnation is rejected because of its lower token.
func (n *Node) fence(epoch int64) int64 {
	return epoch<<incarnationBits | n.incarnationToken(epoch)
}

// incarnationToken returns the low bits of the fencing token of calls to the current incarnation under an epoch.
func (n *Node) incarnationToken(epoch int64) int64 {
	token := n.current.StartedUnixMillis / incarnationStep & maxIncarnationToken
	if epoch == n.tokenFloor.epoch {
		token = max(token, n.tokenFloor.token)
	}
	return token
}

// tokenFloor is the least token of the current incarnation under an epoch. The start time alone may give one that is not above those of the
// former incarnation, after the time of day was set back or if both have started within one incarnationStep.
type tokenFloor struct {
	epoch, token int64
	// step is what the floor rises by with the next rejection.
	step int64
}

// raise makes the floor exceed a token under an epoch.
func (f *tokenFloor) raise(epoch, token, by int64) {
	f.epoch, f.token = epoch, min(token+by, maxIncarnationToken)
}

// callEpoch returns the epoch of calls to the executor.
func (n *Node) callEpoch() int64 { return max(n.epoch, n.locator.Epoch()) }

// passToken makes the tokens of the next incarnation exceed those of the current one. An executor that fetches its orders gets no stale
// calls, and can't tell that it has seen a higher token. The caller holds mu.
func (n *Node) passToken() {
	if n.fetches {
		return
	}
	epoch := n.callEpoch()
	n.tokenFloor.raise(epoch, n.incarnationToken(epoch), 1)
	n.tokenFloor.step = 1
}

// handleFenceRejection raises the token after the current incarnation has rejected it: it has seen one that a former process of the node had
// raised. The steps double, since it isn't known by how much. The caller holds mu.
func (n *Node) handleFenceRejection() {
	if n.probes() {
		n.probe.rejected = true
		return
	}
	epoch := n.callEpoch()
	n.tokenFloor.step = max(2*n.tokenFloor.step, 1)
	n.tokenFloor.raise(epoch, n.incarnationToken(epoch), n.tokenFloor.step)
	n.log.Warn("executor rejects the fencing token", "executor", n.current.IncarnationID(), "epoch", epoch, "token", n.tokenFloor.token)
}

// deadline returns the end of the lease in milliseconds of the executor's clock, or 0 if there is no lease or no reading of the
// clock. The result errs on the early side: the executor's clock may be 2% slow, and the reading was taken before it arrived.
func (n *Node) deadline(now time.Time) int64 {
	if n.clockAt.IsZero() || !n.leaseEnd.After(now) {
		return 0
	}
	return n.clockMillis + clock.ShortestOnSlowClock(n.leaseEnd.Sub(n.clockAt)).Milliseconds()
}
