package workflows_test

import (
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/ownership"
)

// unseenEnd is an end of a run that the owner counts without having seen it. arrange starts the task, and leaves its run where the owner
// hears nothing of its end.
type unseenEnd struct {
	name    string
	arrange func(s *staleLease)
}

// unseenEnds are the ends after which the run goes on for as long as the owner has to count, but for the stops of runs beyond the granted
// lease that the owner doesn't know of (stops_beyond_lease_test.go).
var unseenEnds = []unseenEnd{
	{"granted lease, executor is cut off", func(s *staleLease) {
		s.run()
		s.cut(false)
	}},
	{"granted lease, host is cut off", func(s *staleLease) {
		s.run()
		s.cut(true)
	}},
	{"granted lease, executor and host are cut off", func(s *staleLease) {
		s.run()
		s.cutAll()
	}},
	{"granted lease, node is killed", func(s *staleLease) {
		s.run()
		s.kill()
	}},
	{"stale lease, executor is cut off", func(s *staleLease) {
		s.runStaleStart()
		s.cut(false)
	}},
	{"stale lease, executor and host are cut off", func(s *staleLease) {
		s.runStaleStart()
		s.cutAll()
	}},
	{"stale lease, host is cut off and node stops the run", func(s *staleLease) {
		s.runStaleStart()
		s.cut(true)
	}},
	{"executor refuses connections", func(s *staleLease) {
		s.run()
		s.refuseConnections()
	}},
	{"executor announces its end and refuses connections", func(s *staleLease) {
		s.run()
		s.announceEnd()
		s.refuseConnections()
	}},
	{"draining executor is cut off", func(s *staleLease) {
		s.run()
		s.drain()
		s.cut(false)
	}},
	{"another executor is announced", func(s *staleLease) {
		s.run()
		s.cut(false)
		s.announceForeign(1)
	}},
}

// run starts the task and waits until it has run for a while under a granted lease.
func (s *staleLease) run() {
	s.Helper()
	s.submitOne(1000)
	s.awaitRun()
	time.Sleep(grantTime)
}

// runStaleStart makes the next incarnation of the executor carry out the task's start, and the owner hear of its stale lease.
func (s *staleLease) runStaleStart() {
	s.Helper()
	s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
	s.announceNow()
	s.awaitRun()
	time.Sleep(grantTime)
}

// refuseConnections makes the executor refuse connections, as one that is cut off from its node may do, while its runs go on.
func (s *staleLease) refuseConnections() {
	s.mute.Store(true)
	s.executor.SetRefusing(true)
}

// announceEnd makes the node hear that its executor announces its end.
func (s *staleLease) announceEnd() {
	description, _ := s.executor.Describe()
	s.node.Leave(description.ID)
}

// ownerChange ends the owner's term while the end of a run is awaited.
type ownerChange struct {
	name  string
	after time.Duration
	end   func(f *fleet)
}

var ownerChanges = []ownerChange{
	{"hand-over at once", 0, (*fleet).handOver},
	{"hand-over later", 3 * time.Second, (*fleet).handOver},
	{"takeover at once", 0, (*fleet).killOwner},
	{"takeover later", 4 * time.Second, (*fleet).killOwner},
}

// apply ends the owner's term. The host of the executor does not become the owner.
func (c *ownerChange) apply(s *staleLease) {
	time.Sleep(c.after)
	s.endTerm(c.end)
}

// Guards against a task that runs twice: its executor works on, and the owner counts the end of its run too early, by whichever way it
// does so without having seen the end.
func TestEndIsCountedBeforeRunHasEnded(t *testing.T) {
	for _, end := range unseenEnds {
		for _, stopTime := range stopTimes {
			t.Run(end.name+", "+stopTime.String(), func(t *testing.T) {
				runWithStopTime(t, 4, stopTime, func(f *fleet) {
					s := newStaleLease(f)
					end.arrange(s)
					s.assertRunsOnce()
				})
			})
		}
	}
}

// Guards against the same with a next owner, which counts what the former one has handed over, or what it may have granted until the
// takeover.
func TestNextOwnerCountsEndBeforeRunHasEnded(t *testing.T) {
	for _, end := range unseenEnds {
		for _, change := range ownerChanges {
			t.Run(end.name+", "+change.name, func(t *testing.T) {
				runWithStopTime(t, 4, longestStopTime, func(f *fleet) {
					s := newStaleLease(f)
					end.arrange(s)
					change.apply(s)
					s.assertRunsOnce()
				})
			})
		}
	}
}

// Guards against the same with a former owner that still grants leases after its key was removed, as it can't reach the store.
func TestTakeoverCountsNoLeaseOfFormerOwnerWithoutKey(t *testing.T) {
	for pause := time.Duration(0); pause <= 2*time.Second; pause += 250 * time.Millisecond {
		t.Run(pause.String(), func(t *testing.T) {
			runWithStopTime(t, 4, longestStopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.run()
				s.owner().store.SetFaults(kvtest.Faults{Unresponsive: true})
				f.store.DeletePrefix(ownership.OwnerKey)
				time.Sleep(pause)
				s.cutAll()
				s.assertRunsOnce()
			})
		})
	}
}

// Guards against the same while a draining executor, which is cut off from its node, refuses connections: the owner takes it for ended.
func TestDrainingExecutorThatRefusesConnectionsCountsAsEnded(t *testing.T) {
	for _, stopTime := range stopTimes {
		t.Run(stopTime.String(), func(t *testing.T) {
			runWithStopTime(t, 4, stopTime, func(f *fleet) {
				s := newStaleLease(f)
				s.run()
				s.drain()
				s.refuseConnections()
				s.assertRunsOnce()
			})
		})
	}
}
