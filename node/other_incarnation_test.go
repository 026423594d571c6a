package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against calls to a former incarnation that go on after a connection to the next one has shown that it runs: its announcement may
// be a heartbeat interval away.
func TestOtherIncarnationOnConnectionReplacesCurrent(t *testing.T) {
	for _, test := range []struct {
		name      string
		started   int64
		responded bool
		forgotten bool
	}{
		{"later", 2000, true, true},
		{"later, before the first answer", 2000, false, true},
		{"the time of day was set back", 500, true, true},
		{"a former one, before the first answer", 500, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			if test.responded {
				n.applyLists(testIncarnation, &RunLists{StartedUnixMillis: 1000, EndsComplete: true}, 0)
			}
			err := fmt.Errorf("hold: %w", &OtherIncarnationError{StartedUnixMillis: test.started})
			n.handleHoldError(testIncarnation, err, isBroken(err))
			c.Assert(n.current == nil, qt.Equals, test.forgotten)
			c.Assert(n.brokenAt.IsZero(), qt.IsTrue, qt.Commentf("the connection didn't break"))
			n.handleHoldError("i-1@700", err, false)
			c.Assert(n.current == nil, qt.Equals, test.forgotten, qt.Commentf("a call to another incarnation"))
		})
	}
}

// Guards against a lease that counts for the next incarnation although the call met it before it was sent, and against a start that
// counts as unknown for the same reason.
func TestCallsThatMeetAnotherIncarnationHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	err := error(&OtherIncarnationError{StartedUnixMillis: 4000})
	c.Assert(errors.Is(err, ErrOtherIncarnation), qt.IsTrue)
	reason, rejected := rejectionReason(err)
	c.Assert(rejected, qt.IsTrue)
	c.Assert(reason, qt.Equals, reasonOtherIncarnation)
	n := newNode()
	n.noteLeaseCall(testIncarnation, n.sendDeadline(6*time.Second), nil, err)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 4000}, 1, 0)
	c.Assert(n.leaseCalls.open, qt.HasLen, 0)
}
