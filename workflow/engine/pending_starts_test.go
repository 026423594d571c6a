package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// pendingStart is a job with one task. The lease of executor "a" has expired and the next run was ordered on executor "c", where the
// result of the start is outstanding. Then "a" lists that its run of the task is done.
type pendingStart struct {
	*harness
	job  workflow.Job
	done workflow.RunEnd
	// start is the order on executor "c", and record the record of the job that was stored before the end was known.
	start  workflow.StartOrder
	record workflow.JobRecord
}

func newPendingStart(t *testing.T) *pendingStart {
	s := &pendingStart{harness: newHarness(t)}
	job, first := s.startJob(executor("a", 1), step(1))
	s.job = job
	s.now = s.now.Add(leaseExpiry + time.Millisecond)
	s.engine.ExpireLeases(s.now)
	s.report("c", executor("c", 1), nil, nil)
	s.start, s.record = s.orderStart()
	s.done = workflow.RunEnd{Number: 2, Task: first[0].Task, Run: 1, How: workflow.EndDone}
	return s
}

// reportDone reports the lists of executor "a" and returns the number up to which its ends are acknowledged.
func (s *pendingStart) reportDone() int64 {
	return s.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: "other", Run: 1, How: workflow.EndDone}, s.done})
}

func (s *pendingStart) answerStart(outcome workflow.Outcome) {
	s.answer("c", s.start, outcome)
}

// Guards against a task that starts after its end was acknowledged: the start was ordered before, and is queued on its node behind
// others that get no answer (TWICE).
func TestEndIsNotAcknowledgedBeforeStartIsAnswered(t *testing.T) {
	for _, outcome := range []workflow.Outcome{workflow.OutcomeDone, workflow.OutcomeRejected, workflow.OutcomeUnknown} {
		t.Run(string(outcome), func(t *testing.T) {
			s := newPendingStart(t)
			s.Assert(s.reportDone(), qt.Equals, int64(1), qt.Commentf("only the end before it"))
			s.plan()
			s.Assert(s.reportDone(), qt.Equals, int64(1))
			s.answerStart(outcome)
			s.Assert(s.reportDone(), qt.Equals, int64(2))
		})
	}
}

// Guards against a start by a former owner after the end was acknowledged: the node sends it until it knows the new owner.
func TestEndIsNotAcknowledgedBeforeNodeOfStartKnowsOwner(t *testing.T) {
	s := newPendingStart(t)
	s.epoch++
	s.takeOver(s.job, s.record)
	s.Assert(s.reportDone(), qt.Equals, int64(1))
	s.report("c", executor("c", 1), nil, nil)
	s.Assert(s.reportDone(), qt.Equals, int64(2))
}

// Guards against ends that are never acknowledged because the node of another start is lost.
func TestEndIsAcknowledgedOnceLeaseOfStartHasExpired(t *testing.T) {
	s := newPendingStart(t)
	s.Assert(s.reportDone(), qt.Equals, int64(1))
	s.now = s.now.Add(leaseExpiry + time.Millisecond)
	s.engine.ExpireLeases(s.now)
	s.Assert(s.reportDone(), qt.Equals, int64(2))
}

// Guards against a task that starts after its job was shown as completed, while the result of the start is outstanding (TWICE).
func TestJobIsCompletedOnceStartIsAnswered(t *testing.T) {
	for _, outcome := range []workflow.Outcome{workflow.OutcomeDone, workflow.OutcomeRejected, workflow.OutcomeUnknown} {
		t.Run(string(outcome), func(t *testing.T) {
			s := newPendingStart(t)
			s.reportDone()
			s.plan()
			s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Running)
			s.answerStart(outcome)
			s.plan()
			s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Completed)
		})
	}
}

// Guards against a job that is never completed because the owner changed before the start was answered.
func TestNewOwnerCompletesJobOnceNodeOfStartKnowsIt(t *testing.T) {
	s := newPendingStart(t)
	s.reportDone()
	record := s.engine.TakeDirty()[0].Record
	s.epoch++
	s.takeOver(s.job, record)
	s.plan()
	s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Running)
	s.report("c", executor("c", 1), nil, nil)
	s.plan()
	s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Completed)
}

// Guards against a job that is completed after its cancellation because all of its tasks are done.
func TestJobWithPendingStartCanBeCancelled(t *testing.T) {
	s := newPendingStart(t)
	s.reportDone()
	s.engine.Cancel(s.job.ID, s.now, s.now)
	s.answerStart(workflow.OutcomeUnknown)
	s.plan()
	s.Assert(s.phase(s.job.ID), qt.Equals, workflow.Cancelled)
}

// pendingGang is a gang with a member on each of the executors "a" and "b", both of which run. The first has finished.
type pendingGang struct {
	*harness
	job    workflow.Job
	done   workflow.RunEnd
	record workflow.JobRecord
}

func newPendingGang(t *testing.T) *pendingGang {
	g := &pendingGang{harness: newHarness(t)}
	gang := limited()
	gang.Gang = true
	g.job = g.harness.job(gang)
	g.engine.Add(g.job, nil, g.now, g.now)
	g.report("a", executor("a", 1), nil, nil)
	g.report("b", executor("b", 1), nil, nil)
	g.engine.Tick(g.now)
	g.engine.Plan(g.now, g.now)
	changes := g.engine.TakeDirty()
	g.engine.MarkStored(changes)
	g.record = changes[0].Record
	member := g.engine.TakeOrders()[0].Orders.Starts[0]
	g.done = workflow.RunEnd{Number: 1, Task: member.Task, Run: member.Run, How: workflow.EndDone}
	return g
}

// assertCompleted asserts that the end of the first member is acknowledged and the job completed, although nothing is known of the other
// member.
func (g *pendingGang) assertCompleted() {
	g.Assert(g.report("a", executor("a", 1), nil, []workflow.RunEnd{g.done}), qt.Equals, int64(1))
	g.plan()
	g.Assert(g.phase(g.job.ID), qt.Equals, workflow.Completed)
}

// Guards against a finished gang whose end isn't acknowledged, and whose job isn't shown as completed, until the node of another member
// reports to a new owner. That isn't needed: all members of a finished gang have begun.
func TestNewOwnerDoesNotAwaitNodesOfDoneGang(t *testing.T) {
	g := newPendingGang(t)
	g.epoch++
	g.takeOver(g.job, g.record)
	g.assertCompleted()
}

// Guards against a finished gang whose end isn't acknowledged while the result of another member's start is outstanding.
func TestResultOfStartIsNotAwaitedOnceGangIsDone(t *testing.T) {
	newPendingGang(t).assertCompleted()
}
