package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
)

// causeHosts is the number of hosts, and phases and phaseStep how often and how far the moment of a fault is shifted against the
// reports of the nodes.
const (
	causeHosts = 4
	phases     = 10
	phaseStep  = 100 * time.Millisecond
)

// forPhases runs a test with the fault at different moments of the reports' interval.
func forPhases(t *testing.T, test func(f *fleet)) {
	for i := range phases {
		phase := time.Duration(i) * phaseStep
		t.Run(phase.String(), func(t *testing.T) {
			runWithFleet(t, causeHosts, func(f *fleet) {
				time.Sleep(phase)
				test(f)
			})
		})
	}
}

// assertNoStandstill fails if a job stands still within a time.
func (f *fleet) assertNoStandstill(within time.Duration, jobs ...string) {
	f.Helper()
	f.Assert(newStandstillOracle(f, jobs).watch(within), qt.Equals, "")
	f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
}

// Guards against a task that is sent again and again to an executor that rejects all starts, while others would take it (LOST).
func TestRejectedTaskStartsElsewhere(t *testing.T) {
	for _, ordersOnly := range []bool{true, false} {
		runWithFleet(t, causeHosts, func(f *fleet) {
			f.hosts[1].executor.SetCallFaults(nodetest.CallFaults{Rejected: 1, OrdersOnly: ordersOnly})
			var ids []string
			for range 4 {
				ids = append(ids, f.submit(1, 1, 1, 1, 1, 1, 1, 1))
			}
			f.assertNoStandstill(20*time.Second, ids...)
		})
	}
}

// Guards against a task that waits too long for the lists and reports that follow a confirmed stop, after a start without an answer
// and without effect (LOST).
func TestTaskOfUnansweredStartRunsSoon(t *testing.T) {
	forPhases(t, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetCallFaults(nodetest.CallFaults{Delayed: 1, MaxDelay: lateness, OrdersOnly: true})
		}
		id := f.submit(1)
		time.Sleep(100 * time.Millisecond)
		for _, h := range f.hosts {
			h.executor.SetCallFaults(nodetest.CallFaults{})
		}
		f.assertNoStandstill(20*time.Second, id)
	})
}

// Guards against a task that waits until its crashed executor is back, although the connection to it is refused and others have
// room (LOST).
func TestTaskOfCrashedExecutorRunsElsewhere(t *testing.T) {
	forPhases(t, func(f *fleet) {
		for _, h := range f.hosts {
			h.executor.SetDuration(5 * time.Second)
		}
		id := f.submit(1)
		f.waitFor(5*time.Second, func() bool { return f.checker.runningCount() == 1 })
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			description, _ := h.executor.Describe()
			if f.checker.runningOn(description.IncarnationID()) > 0 {
				h.executor.Leave()
			}
		}
		f.assertNoStandstill(12*time.Second, id)
	})
}
