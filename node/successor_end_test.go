package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against an executor that counts as ended while it refuses connections, although it announces itself: an announcement of
// another executor, which never responds, has taken its place at the node.
func TestExecutorBehindForeignAnnouncementHasNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
		n.handleHoldError(testIncarnation, ErrRefused, true)
		n.Announce(workflow.Executor{ID: "i-other", StartedUnixMillis: 5000}, 1, 100)
		for i := range 30 {
			if i%10 == 0 {
				n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000}, int64(2+i), 600)
			}
			n.handleHoldError(n.current.IncarnationID(), ErrRefused, true)
			c.Assert(hasEnded(n), qt.IsFalse, qt.Commentf("after %d ms", 150*i))
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// Guards against an executor that counts as ended because it refused connections before and after a pause of the node's process, in
// which its announcements could not be processed.
func TestRefusalsAroundPauseDoNotShowEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNode()
		for range 2 {
			n.handleHoldError(testIncarnation, ErrRefused, true)
			time.Sleep(holdRetryDelay)
		}
		time.Sleep(minRefusalTime)
		n.handleHoldError(testIncarnation, ErrRefused, true)
		c.Assert(hasEnded(n), qt.IsFalse)
		n.refuse()
		c.Assert(hasEnded(n), qt.IsTrue, qt.Commentf("it refuses connections after the pause, too"))
	})
}
