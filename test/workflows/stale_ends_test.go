package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that starts again after its end was acknowledged: the run of a stale start has finished while its host was cut off,
// the owner has taken it for lapsed and started the next run, and the end is acknowledged before the stale lease has ended.
func TestEndUnderUncountedStaleLeaseIsAcknowledged(t *testing.T) {
	const runTime = 2500 * time.Millisecond
	for _, cutTime := range []time.Duration{8 * time.Second, 8500 * time.Millisecond, 9 * time.Second} {
		t.Run(cutTime.String(), func(t *testing.T) {
			runWithStopTime(t, 4, longestStopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.executor.SetDuration(runTime)
				s.runStaleStartAndCutHostOff()
				s.operators.evacuate()
				time.Sleep(time.Until(s.cutAt.Add(cutTime)))
				s.Assert(s.checker.starts(s.task), qt.Equals, 2)
				s.network.SetPartitioned(s.host.name, false)
				time.Sleep(longTaskTime)
				s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
			})
		})
	}
}
