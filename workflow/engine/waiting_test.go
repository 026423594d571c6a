package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against jobs that wait without any trace of the reason, and against a line for each plan: the reason is given once,
// and again when it changes.
func TestWaitIsExplainedOncePerReason(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now)
	reportExecutor(e, 1, 500, now)
	j := orderedJob(e, 1, 3, 0, time.Second, now)
	plan := func() []Wait {
		e.Tick(now)
		e.Plan(now, now)
		return e.TakeWaits()
	}
	c.Assert(plan(), qt.HasLen, 0)
	now = now.Add(minExplainedAge)
	waits := plan()
	c.Assert(waits, qt.HasLen, 1)
	c.Assert(waits[0].Job, qt.Equals, j.ID)
	c.Assert(waits[0].Reason, qt.Equals, "room")
	c.Assert(waits[0].Rejections, qt.DeepEquals, map[string]int{"room": 1})
	now = now.Add(waitExplainInterval)
	c.Assert(plan(), qt.HasLen, 0)
	// The executor's last report is too old by now.
	now = now.Add(waitExplainInterval)
	waits = plan()
	c.Assert(waits, qt.HasLen, 1)
	c.Assert(waits[0].Reason, qt.Equals, "present")
}
