package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against runs that lapse although their lease is granted: a hold call that was sent before the grant carries no deadline, and
// must not wait for long.
func TestHoldCallBeforeGrantWaitsShortly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.probe.rejected = true
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, ClockMillis: 500, EndsComplete: true}, 0)
		call := n.nextHold()
		c.Assert(call.deadline, qt.Equals, int64(0))
		c.Assert(call.wait, qt.Equals, shortHoldWait)
		n.extendLease(n.clock.Now(), 6*time.Second)
		call = n.nextHold()
		c.Assert(call.deadline > 0, qt.IsTrue)
		c.Assert(call.wait, qt.Equals, time.Duration(0))
		c.Assert(waitAfterRenewal(n), qt.Equals, holdWait)
	})
}

// waitAfterRenewal returns how long the hold call waits that follows the renewal of the lease.
func waitAfterRenewal(n *Node) time.Duration {
	renewal := n.nextHold()
	n.noteRenewal(&renewal)
	return n.nextHold().wait
}
