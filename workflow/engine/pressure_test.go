package engine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against margins that change with each job that waits for a moment, or that stay narrow after a burst.
func TestPressureFollowsLastingBacklogs(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var p pressure
	observe := func(waiting int64, d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(20 * time.Millisecond) {
			p.observe(waiting, 10000, now)
		}
	}
	observe(0, time.Second)
	observe(20000, time.Second)
	c.Assert(p.threshold(), qt.Equals, admissionThreshold)
	c.Assert(p.utilization(), qt.Equals, servingUtilization)
	observe(20000, 4*time.Second)
	c.Assert(p.threshold(), qt.Equals, pressedThreshold)
	c.Assert(p.utilization(), qt.Equals, pressedUtilization)
	observe(0, 2*time.Second)
	c.Assert(p.threshold(), qt.Equals, admissionThreshold)
	c.Assert(p.average > 0, qt.IsTrue)
}
