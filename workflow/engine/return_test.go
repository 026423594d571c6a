package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an executor that its owner never uses again because another one, which seems to be newer, was announced at its host
// but has never responded there.
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

// Guards against an executor that its owner never uses again because the time of day of its host was set back during its restart.
func TestExecutorThatRestartsWithEarlierTimeIsUsed(t *testing.T) {
	h := newHarness(t)
	h.startJob(executor("a", 5), step(1))
	h.reportUnlisted("a", executor("a", 1))
	h.Assert(h.plan(), qt.HasLen, 0, qt.Commentf("the announcement may be late"))
	h.report("a", executor("a", 1), nil, nil)
	h.Assert(h.plan()["a"].Stops, qt.HasLen, 1, qt.Commentf("the task is assigned to it, and the start may reach it late"))
}

// Guards against runs that lose their places, or are taken for ended, because the ID of their executor is announced on another host
// while the executor still lists them (ROUTE, TWICE).
func TestRunsStayOnTheirHostWhenTheirExecutorIsAnnouncedElsewhere(t *testing.T) {
	for name, born := range map[string]int64{"the same incarnation": 1, "a later one": 5} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.engine.Add(h.job(limited()), nil, h.now, h.now)
			h.report("a", executor("a", 1), nil, nil)
			running := h.accept("a", h.plan()["a"])
			h.Assert(running, qt.HasLen, 1)
			h.report("a", executor("a", 1), running, nil)
			otherPool := executor("b", 1)
			otherPool.Pool = "other"
			h.report("b", otherPool, nil, nil)
			h.reportUnlisted("b", executor("a", born))
			for range 12 {
				orders := h.plan()
				for _, node := range []string{"a", "b"} {
					h.Assert(orders[node].Starts, qt.HasLen, 0)
					h.Assert(orders[node].Stops, qt.HasLen, 0)
				}
				h.now = h.now.Add(900 * time.Millisecond)
				h.report("a", executor("a", 1), running, nil)
				h.report("b", otherPool, nil, nil)
				h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 0)
			}
		})
	}
}
