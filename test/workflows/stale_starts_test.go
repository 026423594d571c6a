package workflows_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a task that runs twice: the next incarnation of its executor carries out its start and answers the node, and both have
// been cut off from the owner, which counts the lease of the former incarnation.
func TestStaleStartRunsOnCutOffHost(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.runStaleStartAndCutHostOff()
		s.assertRunsOnce()
	})
}

// runStaleStartAndCutHostOff makes the next incarnation of the executor carry out the task's start and answer the node, after both have
// been cut off from the owner.
func (s *staleLease) runStaleStartAndCutHostOff() {
	s.Helper()
	s.runStaleStartOf(func() { s.submitOne(1000) })
}

// runStaleStartOf is runStaleStartAndCutHostOff of a task that submit submits.
func (s *staleLease) runStaleStartOf(submit func()) {
	s.Helper()
	s.restart(nodetest.StaleCalls{Starts: true}, func() {
		submit()
		time.Sleep(grantTime)
		s.cut(true)
	})
	s.announceNow()
	time.Sleep(grantTime)
	s.Assert(s.checker.starts(s.task), qt.Equals, 1)
}

// Guards against a task that runs twice as in TestStaleStartRunsOnCutOffHost: the node's stop of the stale start's run takes so long that
// the owner starts the next run before it has ended.
func TestStaleStartIsStoppedAfterNextRunStarts(t *testing.T) {
	for _, stopTime := range stopTimes {
		t.Run(stopTime.String(), func(t *testing.T) {
			runWithStopTime(t, 3, stopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.runStaleStartAndCutHostOff()
				s.assertRunsOnce()
			})
		})
	}
}

// Guards against the same with an owner that learns of the stale lease after a hand-over, but hasn't renewed the lease: the incarnation
// was cut off after its first answers, and these reach the owner late.
func TestStaleStartOutlastsLeaseAfterHandOver(t *testing.T) {
	runWithFleet(t, 4, func(f *fleet) {
		s := newStaleLease(f)
		s.restart(nodetest.StaleCalls{Starts: true}, func() {
			s.submitOne(1000)
			time.Sleep(grantTime)
			s.cut(true)
		})
		s.announceNow()
		time.Sleep(10 * answerTime)
		s.executor.SetUnresponsive(true)
		f.handOver()
		time.Sleep(1500 * time.Millisecond)
		s.network.SetPartitioned(s.host.name, false)
		s.Assert(s.checker.starts(s.task), qt.Equals, 1)
		s.assertRunsOnce()
	})
}

// Guards against the same with a new process of the node that hears of another executor before the one under the former ID starts.
func TestStaleStartOfFormerProcessRunsAfterForeignAnnouncement(t *testing.T) {
	runBothVariants(t, 3, variants{"no other executor", "another executor"}, func(s *staleLease, foreign bool) {
		const delay = 900 * time.Millisecond
		s.mute.Store(true)
		lateAt := s.startLate(delay)
		s.executor.Crash()
		s.kill()
		s.start()
		if foreign {
			s.node.Announce(workflow.Executor{ID: "i-foreign", StartedUnixMillis: time.Now().UnixMilli(), Pool: "pool", FailureDomain: "domain"}, 1, 0)
		}
		time.Sleep(executorDownTime)
		s.executor.Restart()
		s.executor.SetCallFaults(nodetest.CallFaults{})
		time.Sleep(time.Until(lateAt) + answerTime)
		s.Assert(s.checker.starts(s.task), qt.Equals, 1)
		s.announceNow()
		time.Sleep(grantTime)
		s.cut(false)
		s.assertRunsOnce()
	})
}

// Guards against the same with an owner to which the former one has handed over the end of the stale lease: it counts at most what it
// counts for executors of which it has been told nothing.
func TestInheritedStaleLeaseIsCutShort(t *testing.T) {
	runBothVariants(t, 4, variants{"executor is cut off", "host is cut off"}, func(s *staleLease, withNode bool) {
		s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
		s.announceNow()
		s.awaitRun()
		time.Sleep(grantTime)
		s.cut(withNode)
		s.fleet.handOver()
		s.assertRunsOnce()
	})
}

// Guards against the same with an owner that takes over from one that was killed.
func TestStaleLeaseOfStaleStartOutlastsTakeover(t *testing.T) {
	runBothVariants(t, 4, variants{"executor is cut off", "host is cut off"}, func(s *staleLease, withNode bool) {
		s.restart(nodetest.StaleCalls{Starts: true}, func() {
			s.submitOne(1000)
			time.Sleep(grantTime)
			former := s.fleet.owner()
			former.kill()
			former.start()
		})
		s.announceNow()
		time.Sleep(10 * answerTime)
		s.Assert(s.checker.starts(s.task), qt.Equals, 1)
		s.cut(withNode)
		s.assertRunsOnce()
	})
}

// Guards against the same with a next process of the node, which limits the lease by what ordinary leases last, and a next owner, which
// relies on that.
func TestStaleLeaseIsUnknownToNextNodeProcessAndOwner(t *testing.T) {
	runBothVariants(t, 4, variants{"owner stays", "owner is killed"}, func(s *staleLease, ownerEnds bool) {
		s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
		s.announceNow()
		s.awaitRun()
		time.Sleep(grantTime)
		s.cut(false)
		s.kill()
		s.start()
		if ownerEnds {
			former := s.fleet.owner()
			former.kill()
			former.start()
		}
		s.assertRunsOnce()
	})
}
