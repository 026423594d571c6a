package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// Guards against a lapse that doesn't tell what this owner did not know: starts that nothing has confirmed, runs that were moved to the next
// incarnation of their executor, and a stale lease that it could not count.
func TestLapseTellsWhatIsNotKnown(t *testing.T) {
	for name, test := range map[string]struct {
		before             func(h *harness, running []workflow.RunState)
		unconfirmed, moved int
		stale              engine.StaleLeaseState
	}{
		"confirmed": {func(*harness, []workflow.RunState) {}, 0, 0, engine.StaleLeaseNone},
		"next incarnation announced": {func(h *harness, _ []workflow.RunState) {
			h.reportUnlisted("a", executor("a", 2))
		}, 2, 2, engine.StaleLeaseUnknown},
		"next incarnation lists one run under a stale lease": {func(h *harness, running []workflow.RunState) {
			h.send("a", &workflow.Report{
				Incarnation: 1, Executor: executor("a", 2), Listed: true, EndsComplete: true, Running: running[:1], StaleLease: &workflow.StaleLease{LeftMillis: 10_200},
			})
		}, 1, 2, engine.StaleLeaseCounted},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			_, _, running := h.assigned(executor("a", 1))
			test.before(h, running)
			h.now = h.now.Add(20 * time.Second)
			lapsed := h.engine.ExpireLeases(h.now)
			h.Assert(lapsed, qt.HasLen, 1)
			h.Assert(lapsed[0].Tasks, qt.Equals, 2)
			h.Assert(lapsed[0].Unconfirmed, qt.Equals, test.unconfirmed)
			h.Assert(lapsed[0].Moved, qt.Equals, test.moved)
			h.Assert(lapsed[0].StaleLease, qt.Equals, test.stale)
		})
	}
}

// Guards against an end that is only counted and that the log shows as one that the executor has shown.
func TestSeenEnds(t *testing.T) {
	c := qt.New(t)
	for cause, seen := range map[engine.EndCause]bool{
		"ended stopped": true, "ended lapsed": true, engine.StartRejected: true,
		engine.LeaseExpired: false, engine.ExecutorLeft: false, engine.ExecutorReplaced: false, engine.UnlistedAndStopped: false, engine.RestoredAsWaiting: false,
	} {
		c.Assert(cause.Seen(), qt.Equals, seen, qt.Commentf("%s", cause))
	}
}
