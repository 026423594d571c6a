package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an executor that its owner never uses again: another one that seems to be newer was announced at its host, and has
// never responded there.
func TestExecutorReturnsAfterForeignAnnouncement(t *testing.T) {
	for name, withTasks := range map[string]bool{"idle": false, "with tasks": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.report("a", executor("a", 1), nil, nil)
			if withTasks {
				h.engine.Add(h.job(step(1)), nil, h.now, h.now)
				h.accept("a", h.plan()["a"])
			}
			foreign := executor("a", 5)
			foreign.ID = "i-foreign"
			for range 10 {
				h.reportUnlisted("a", foreign)
				h.now = h.now.Add(900 * time.Millisecond)
				h.engine.ExpireLeases(h.now)
			}
			if !withTasks {
				h.engine.Add(h.job(step(1)), nil, h.now, h.now)
			}
			h.report("a", executor("a", 1), nil, nil)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
		})
	}
}

// Guards against an executor that its owner never uses again, since the time of day of its host was set back while it was restarted.
func TestExecutorThatRestartsWithEarlierTimeIsUsed(t *testing.T) {
	h := newHarness(t)
	h.engine.Add(h.job(step(1)), nil, h.now, h.now)
	h.report("a", executor("a", 5), nil, nil)
	h.accept("a", h.plan()["a"])
	h.reportUnlisted("a", executor("a", 1))
	h.Assert(h.plan(), qt.HasLen, 0, qt.Commentf("the announcement may be late"))
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan()["a"].Stops, qt.HasLen, 1, qt.Commentf("the task is assigned to it, and the start may reach it late"))
}
