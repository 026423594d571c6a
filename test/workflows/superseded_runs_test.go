package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// runsOnLabel is the label of the executors that may run the tasks of a supersedingFleet.
	runsOnLabel = "ssd"
	// heldDomain is the failure domain of the executors that run the tasks again. It is evacuated until then.
	heldDomain = "held"
	// supersededTime is the run time of runs that are to be superseded.
	supersededTime = 20 * time.Second
	// lapseTime is the time after which the lease of an executor that has become silent has expired.
	lapseTime = 8 * time.Second
	// maxOrderDelay is how much later a delayed order may be carried out.
	maxOrderDelay = 6 * time.Second
)

// supersedingFleet is a fleet with executors that are cut off until their leases have expired, so that the tasks of a job run again on
// others. The first runs end as done while their executors are cut off.
type supersedingFleet struct {
	*fleet
	cut, others []*host
	job         workflow.Job
}

// newSupersedingFleet starts the tasks of a step on the given number of hosts and cuts the executors of these off until their leases
// have expired. Tasks beyond that number wait. The other executors can run the tasks again once runAgain is called.
func newSupersedingFleet(f *fleet, cut int, step workflow.Step) *supersedingFleet {
	s := &supersedingFleet{fleet: f, cut: f.hosts[:cut], others: f.hosts[cut : 2*cut]}
	f.operators.evacuate(heldDomain)
	for _, h := range s.cut {
		h.label("domain")
		h.executor.SetDuration(shorterThanLeaseTime)
	}
	for _, h := range s.others {
		h.label(heldDomain)
		h.executor.SetDuration(supersededTime)
	}
	time.Sleep(2 * announceInterval)
	s.job = f.newJob(step.Count)
	step.EstimateMillis, step.Label = shorterThanLeaseTime.Milliseconds(), runsOnLabel
	s.job.Steps[0] = step
	f.submitUntilAccepted(s.job)
	f.waitFor(3*time.Second, func() bool { return f.checker.runningCount() == cut })
	for _, h := range s.cut {
		// Nothing else starts there once they respond again.
		h.executor.SetDraining(true)
	}
	time.Sleep(announceInterval + time.Second)
	for _, h := range s.cut {
		h.executor.SetUnresponsive(true)
	}
	time.Sleep(lapseTime)
	f.Assert(f.checker.runningCount(), qt.Equals, 0)
	return s
}

// label replaces the executor of a host by one in the given failure domain that has the label of the tasks.
func (h *host) label(domain string) {
	h.executor.Replace(func(e *workflow.Executor) { e.Labels, e.FailureDomain = []string{runsOnLabel}, domain })
}

// task returns the name of a task of the job.
func (s *supersedingFleet) task(index int) string {
	return workflow.TaskID{Job: s.job.ID, Index: index}.String()
}

// runAgain lets the tasks run on the other hosts.
func (s *supersedingFleet) runAgain() {
	s.operators.evacuate()
	s.waitFor(5*time.Second, func() bool { return s.checker.runningCount() == len(s.others) })
	for i := range s.others {
		s.Assert(s.checker.starts(s.task(i)), qt.Equals, 2)
	}
}

// reconnect lets the first executors list the ends of the first runs, and waits until these are acknowledged.
func (s *supersedingFleet) reconnect() {
	for _, h := range s.cut {
		h.executor.SetUnresponsive(false)
	}
	s.waitFor(5*time.Second, func() bool { return s.checker.isTaken(s.task(0)) })
}

// changeOwner makes the owner hand over, and waits for the next one.
func (s *supersedingFleet) changeOwner() {
	former := s.owner()
	former.stopCandidacy()
	<-former.candidateDone
	s.waitFor(5*time.Second, func() bool { return s.owner() != nil && s.owner() != former })
}

// evacuate sets the failure domains in which no tasks are started.
func (o *operators) evacuate(domains ...string) {
	o.change(func(s *owner.OperatorState) { s.Evacuated = domains })
}

// isTaken reports whether the end of a run that has finished a task was acknowledged.
func (o *invariantChecker) isTaken(task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.taken[task]
}

// oneOnEach returns a step of which an executor may run one task.
func oneOnEach(count int) workflow.Step {
	step := workflow.Step{Count: count, PerExecutor: 1}
	step.Need.MilliCores, step.Need.MemoryMB = 1000, 100
	return step
}

// Guards against a start beyond the limit of its step, or beyond the capacity of an executor, beside a superseded run that has not been
// stopped yet (incident ROUTE).
func TestStartBesideSupersededRun(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newSupersedingFleet(f, 1, oneOnEach(2))
		s.runAgain()
		s.reconnect()
		s.waitCompleted(time.Minute, s.job.ID)
		s.Assert(s.checker.starts(s.task(1)), qt.Equals, 1)
	})
}

// Guards against a start beside a superseded run if the owner changes between the start of the second run and the end of the first.
func TestStartBesideSupersededRunOfFormerOwner(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newSupersedingFleet(f, 1, oneOnEach(2))
		s.runAgain()
		s.changeOwner()
		time.Sleep(2 * announceInterval)
		s.reconnect()
		s.waitCompleted(time.Minute, s.job.ID)
		s.Assert(s.checker.starts(s.task(1)), qt.Equals, 1)
	})
}

// Guards against a start beside a superseded gang member on an executor without room for both.
func TestStartBesideSupersededGang(t *testing.T) {
	runWithFleet(t, 4, func(f *fleet) {
		gang := oneOnEach(2)
		gang.Gang, gang.Need.MilliCores = true, 3000
		s := newSupersedingFleet(f, 2, gang)
		s.runAgain()
		waiting := f.newJob(2)
		waiting.Steps[0].Label, waiting.Steps[0].Need.MilliCores = runsOnLabel, 3000
		f.submitUntilAccepted(waiting)
		s.reconnect()
		s.waitCompleted(time.Minute, s.job.ID, waiting.ID)
	})
}

// supersedeLateStart delays the start of the second run until the first run is known to have finished the task.
func (s *supersedingFleet) supersedeLateStart() {
	x := s.others[0].executor
	x.SetCallFaults(nodetest.CallFaults{Delayed: 1, MaxDelay: maxOrderDelay, OrdersOnly: true})
	s.operators.evacuate()
	s.waitFor(5*time.Second, func() bool { return x.DelayedCalls() > 0 })
	s.reconnect()
	s.Assert(s.checker.starts(s.task(0)), qt.Equals, 1)
}

// Guards against a start beside a run whose own start is carried out only after its task is done.
func TestStartBesideSupersededLateRun(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newSupersedingFleet(f, 1, oneOnEach(2))
		s.supersedeLateStart()
		s.others[0].executor.SetCallFaults(nodetest.CallFaults{})
		s.waitCompleted(time.Minute, s.job.ID)
	})
}

// Guards against a start beside such a late run under a new owner, which knows the run from the record of its task. The fencing token of
// the new owner's first call blocks the late start as well, so the test also passes without the record.
func TestStartBesideSupersededLateRunOfFormerOwner(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newSupersedingFleet(f, 1, oneOnEach(2))
		s.supersedeLateStart()
		s.changeOwner()
		s.others[0].executor.SetCallFaults(nodetest.CallFaults{})
		s.waitCompleted(time.Minute, s.job.ID)
	})
}
