package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
)

// A worker that fails tasks immediately always has free capacity. It must not take most tasks of a job that runs well on
// other workers.
func TestFailureStreakLimitsStarts(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	now, starts := start, 0
	for range 600 {
		now = now.Add(time.Second)
		if admission := m.Admits("w", now); admission == quarantine.AdmitNone {
			continue
		}
		starts++
		m.RecordProbeStart("w", now)
		m.RecordFailure("job", "w", now)
	}
	c.Assert(starts <= 20, qt.IsTrue, qt.Commentf("%d starts in 10 minutes", starts))
	m.RecordSuccess("other", "w", now)
	c.Assert(m.Admits("w", now), qt.Equals, quarantine.AdmitAll)
}

// A job that fails on every worker must not pause the workers.
func TestFaultyJobDoesNotPauseWorkers(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	for range 5 {
		for _, worker := range []string{"w1", "w2", "w3", "w4"} {
			m.RecordFailure("bad", worker, start)
		}
	}
	c.Assert(m.JobFaultReason("bad"), qt.Not(qt.Equals), "")
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		c.Assert(m.Admits(worker, start), qt.Equals, quarantine.AdmitAll)
	}
}
