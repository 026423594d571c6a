package node

import "time"

// extendLease moves the end of the lease to the time duration after sent, unless it ends later already.
func (n *Node) extendLease(sent time.Time, duration time.Duration) {
	end := sent.Add(duration)
	if duration <= 0 || !end.After(n.leaseEnd) {
		return
	}
	n.leaseEnd = end
	n.raiseLeaseBound(end)
}

const (
	// incarnationBits is the number of low bits of a fencing token that hold the start time of the executor's incarnation, in
	// steps of incarnationStep milliseconds. They wrap around after twelve days. JSON represents integers of up to 53 bits
	// exactly; the remaining 31 bits hold two thousand million store revisions.
	incarnationBits = 22
	incarnationStep = 250
)

// fence returns the fencing token of calls under an epoch. It increases with the epoch and with each incarnation of the
// executor, so that a delayed call to a former incarnation is rejected because of its lower token.
func (n *Node) fence(epoch int64) int64 {
	return epoch<<incarnationBits | n.current.StartedUnixMillis/incarnationStep&(1<<incarnationBits-1)
}

// deadline returns the end of the lease in milliseconds of the executor's clock, or 0 if there is no lease or no reading of the
// clock. The result errs on the early side: the executor's clock may be 2% slow, and the reading was taken before it arrived.
func (n *Node) deadline(now time.Time) int64 {
	if n.clockAt.IsZero() || !n.leaseEnd.After(now) {
		return 0
	}
	return n.clockMillis + n.leaseEnd.Sub(n.clockAt).Milliseconds()*98/100
}
