package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// reportUnlisted sends a report of an executor that has not responded to its node.
func (h *harness) reportUnlisted(node string, x *workflow.Executor) {
	h.send(node, &workflow.Report{Incarnation: 1, Executor: x})
}

// Guards against a second run of a task whose executor keeps running: another executor was announced at its host, but has never
// responded there (review/REPORT.md "Seen, but no case").
func TestAnnouncedExecutorDoesNotEndFormerOne(t *testing.T) {
	for name, takeover := range map[string]bool{"known executor": false, "after a takeover": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			job, record, running := h.assigned(executor("a", 1))
			h.Assert(running, qt.HasLen, 2)
			if takeover {
				h.takeOver(job, record)
			} else {
				h.report("a", executor("a", 1), running, nil)
			}
			other := executor("a", 5)
			other.ID = "i-other"
			h.report("b", executor("b", 1), nil, nil)
			for range 3 {
				h.reportUnlisted("a", other)
				h.Assert(h.plan()["b"].Starts, qt.HasLen, 0, qt.Commentf("the former executor may still run the tasks"))
				h.now = h.now.Add(900 * time.Millisecond)
				h.engine.ExpireLeases(h.now)
			}
			h.report("a", other, nil, nil)
			h.report("b", executor("b", 1), nil, nil)
			orders := h.plan()
			h.Assert(len(orders["a"].Starts)+len(orders["b"].Starts), qt.Equals, 2, qt.Commentf("the other executor has responded"))
		})
	}
}

// Guards against tasks that never run again because another executor is announced and never responds.
func TestTasksLapseBesideAnnouncedExecutor(t *testing.T) {
	h := newHarness(t)
	_, running := h.startJob(executor("a", 1), step(2))
	h.report("a", executor("a", 1), running, nil)
	other := executor("a", 5)
	other.ID = "i-other"
	lapsed := 0
	began := h.now
	for ; lapsed == 0 && h.now.Sub(began) < 20*time.Second; h.now = h.now.Add(100 * time.Millisecond) {
		h.reportUnlisted("a", other)
		lapsed = len(h.engine.ExpireLeases(h.now))
	}
	h.Assert(lapsed, qt.Equals, 1)
	h.Assert(h.now.Sub(began) < 7300*time.Millisecond, qt.IsTrue, qt.Commentf("lapsed after %v", h.now.Sub(began)))
	h.report("b", executor("b", 1), nil, nil)
	h.Assert(h.plan()["b"].Starts, qt.HasLen, 2)
}

// Guards against tasks that the next owner starts again at once because the former owner handed their executor over as lapsed: its
// lease had expired, but it was granted another one and started them.
func TestExecutorThatReturnsIsNotHandedOverAsLapsed(t *testing.T) {
	h := newHarness(t)
	h.startJob(executor("a", 1), step(2))
	h.now = h.now.Add(7100 * time.Millisecond)
	h.Assert(h.engine.ExpireLeases(h.now), qt.HasLen, 1)
	h.report("a", executor("a", 1), nil, nil)
	running := h.accept("a", h.plan()["a"])
	h.Assert(running, qt.HasLen, 2)
	var ended []workflow.RunEnd
	for i, run := range running {
		ended = append(ended, workflow.RunEnd{Number: int64(i + 1), Task: run.Task, Run: run.Run, How: workflow.EndDone})
	}
	// The record of the ends is not stored before the hand-over.
	h.report("a", executor("a", 1), nil, ended)
	for _, lease := range h.engine.FinalLeases(h.now).Executors {
		h.Assert(lease.LeftMillis > 7000, qt.IsTrue, qt.Commentf("%s is handed over with %d ms", lease.Incarnation, lease.LeftMillis))
	}
}

// Guards against a start on an executor that has not listed its runs yet, beside runs that a former owner, or orders for a former
// incarnation, have started there (ROUTE, LIMIT): the lists of the former incarnation don't contain them.
func TestNothingStartsOnExecutorBeforeItsFirstLists(t *testing.T) {
	for name, id := range map[string]string{"same ID": "i-a", "other ID": "i-other"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.report("a", executor("a", 1), nil, nil)
			next := executor("a", 5)
			next.ID = id
			h.reportUnlisted("a", next)
			h.engine.Add(h.job(limited()), nil, h.now, h.now)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 0)
			late := []workflow.RunState{{Task: "00000000000000ff.0.0.0", Run: 1}}
			h.report("a", next, late, nil)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 0, qt.Commentf("it runs what no task accounts for"))
			h.report("a", next, nil, nil)
			h.Assert(h.plan()["a"].Starts, qt.HasLen, 1)
		})
	}
}
