package workflows_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/node/nodetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// executorDownTime is how long an executor is down until its next incarnation starts under the same ID.
	executorDownTime = 600 * time.Millisecond
	// answerTime is the time in which an executor that is up has answered the calls that waited for it.
	answerTime = 5 * time.Millisecond
	// grantTime is the time in which an executor that was announced is granted a lease.
	grantTime = 200 * time.Millisecond
	// formerClock and nextClock are the readings of the executor's clock at which its incarnations start. Deadlines on the former clock
	// exceed all that the next incarnation allows.
	formerClock = time.Hour
	nextClock   = time.Second
	// renewalLimit is the time in which an executor with a lease gets a renewal.
	renewalLimit = 10 * time.Second
	// slowestClock is the speed of the slowest clock of an executor.
	slowestClock = 0.98
)

// staleLease is a fleet in which long tasks run on one executor, which restarts under its ID and is cut off soon after.
type staleLease struct {
	*fleet
	*host
	id, task string
	// cutAt is when the host was cut off.
	cutAt time.Time
}

// variants are the names of the two variants of a test, the second of which has what the test names.
type variants struct{ without, with string }

// runBothVariants runs both variants of a test, each with a stale lease in a fleet of its own.
func runBothVariants(t *testing.T, hosts int, names variants, test func(s *staleLease, with bool)) {
	for name, with := range map[string]bool{names.without: false, names.with: true} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, hosts, func(f *fleet) { test(newStaleLease(f), with) })
		})
	}
}

// newStaleLease returns a fleet whose tasks start on one executor alone, on a host beside the owner, until spread is called.
func newStaleLease(f *fleet) *staleLease {
	s := &staleLease{fleet: f, host: f.otherHost()}
	s.stopCandidacy()
	f.operators.evacuate(heldDomain)
	for _, h := range f.hosts {
		h.executor.SetDuration(longTaskTime)
		if h != s.host {
			h.label(heldDomain)
		}
	}
	s.executor.SetClock(formerClock, slowestClock)
	s.label("domain")
	s.executor.SetClock(nextClock, slowestClock)
	time.Sleep(2 * announceInterval)
	return s
}

// submitOne submits a job of one task.
func (s *staleLease) submitOne(milliCores int64) {
	job := s.newJob(1)
	job.Steps[0].Label, job.Steps[0].EstimateMillis = runsOnLabel, longTaskTime.Milliseconds()
	job.Steps[0].Need.MilliCores = milliCores
	s.submitUntilAccepted(job)
	s.id, s.task = job.ID, workflow.TaskID{Job: job.ID}.String()
}

// restart crashes the executor and starts its next incarnation, which carries out the given calls for the former one.
func (s *staleLease) restart(calls nodetest.StaleCalls, meanwhile func()) {
	s.restartAfter(executorDownTime, calls, meanwhile)
}

// restartAfter is restart of an executor that is down for a given time.
func (s *staleLease) restartAfter(downTime time.Duration, calls nodetest.StaleCalls, meanwhile func()) {
	s.executor.SetStaleCalls(calls)
	s.executor.Crash()
	crashedAt := time.Now()
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(downTime - time.Since(crashedAt))
	s.executor.Restart()
	time.Sleep(answerTime)
}

// staleHold is a way in which a hold call for the former incarnation is on its way when the executor restarts.
type staleHold struct {
	name  string
	calls nodetest.StaleCalls
	// atRenewal is set if the executor crashes when a call with a deadline arrives, which the next incarnation carries out, and answered
	// if its answer arrives.
	atRenewal, answered bool
}

// staleRenewals are those in which the call certainly carries a deadline.
var staleRenewals = []staleHold{
	{name: "renewal is answered", atRenewal: true, answered: true},
	{name: "answer to renewal is lost", atRenewal: true},
}

// restartUnder restarts the executor with a stale hold.
func (s *staleLease) restartUnder(hold staleHold) { s.restartUnderAfter(executorDownTime, hold) }

// restartUnderAfter is restartUnder of an executor that is down for a given time.
func (s *staleLease) restartUnderAfter(downTime time.Duration, hold staleHold) {
	if !hold.atRenewal {
		s.restartAfter(downTime, hold.calls, nil)
		return
	}
	s.executor.SetStaleCalls(hold.calls)
	select {
	case <-s.executor.CrashAtRenewal(hold.answered):
	case <-time.After(renewalLimit):
		s.Fatalf("no renewal arrives for %v", renewalLimit)
	}
	time.Sleep(downTime)
	s.executor.Restart()
	time.Sleep(answerTime)
}

// announceNow sends the announcement of an executor that has just started.
func (s *staleLease) announceNow() {
	description, _ := s.executor.Describe()
	s.node.Announce(description, 0, 0)
}

// awaitRun waits until the task runs on the current incarnation of the executor.
func (s *staleLease) awaitRun() {
	s.Helper()
	description, _ := s.executor.Describe()
	incarnation := description.IncarnationID()
	s.waitFor(15*time.Second, func() bool {
		for _, task := range s.checker.tasksOn(incarnation) {
			if task == s.task {
				return true
			}
		}
		return false
	})
}

// cut cuts off the executor from its node, or both from all others.
func (s *staleLease) cut(withNode bool) {
	if withNode {
		s.cutAt = time.Now()
		s.network.SetPartitioned(s.host.name, true)
		return
	}
	s.executor.SetUnresponsive(true)
}

// cutAll cuts off the executor from its node, and both from all others, so that the node can't stop its runs.
func (s *staleLease) cutAll() {
	s.cut(false)
	s.cut(true)
}

// cuts are the ways in which the executor is cut off. A next owner knows no more of its lease than the former one has handed over.
var cuts = []struct {
	name  string
	apply func(s *staleLease)
}{
	{"executor is cut off", func(s *staleLease) { s.cut(false) }},
	{"host is cut off", func(s *staleLease) { s.cut(true) }},
	{"host is cut off and owner hands over", func(s *staleLease) {
		s.stopCandidacy()
		s.cut(true)
		s.endTerm((*fleet).handOver)
	}},
	{"executor and host are cut off and owner hands over", func(s *staleLease) {
		s.stopCandidacy()
		s.cutAll()
		s.endTerm((*fleet).handOver)
	}},
	{"executor and host are cut off and owner is killed", func(s *staleLease) {
		s.stopCandidacy()
		s.cutAll()
		s.endTerm((*fleet).killOwner)
	}},
}

// killOwner kills the owner's process and starts it again.
func (f *fleet) killOwner() {
	former := f.owner()
	former.kill()
	former.start()
}

// endTerm ends the owner's term, and waits until the next owner has granted leases.
func (f *fleet) endTerm(end func(f *fleet)) {
	f.Helper()
	epoch := f.owner().locator.Epoch()
	end(f)
	f.waitFor(5*time.Second, func() bool { return f.owner() != nil && f.owner().locator.Epoch() > epoch })
	time.Sleep(grantTime)
}

// assertRunsOnce lets the tasks start on the other executors, and fails if the task then runs beside its run on the one that is cut off.
func (s *staleLease) assertRunsOnce() {
	s.Helper()
	description, _ := s.executor.Describe()
	s.operators.evacuate()
	starts := s.checker.starts(s.task)
	s.waitFor(30*time.Second, func() bool {
		return s.checker.starts(s.task) > starts && s.checker.runElsewhere(description.IncarnationID(), []string{s.task})
	})
	s.Assert(s.checker.foundViolations(), qt.HasLen, 0)
}

// waitingOrLateHold is a hold call that waits at the crash or arrives after it.
var waitingOrLateHold = staleHold{name: "call waits at the crash or arrives after it", calls: nodetest.StaleCalls{WaitingHolds: true, Holds: true}}

// restartAfterHold restarts the executor so that a hold call for the former incarnation is carried out by the next one, and waits until
// that has a lease.
func (s *staleLease) restartAfterHold(hold staleHold) {
	s.restartUnder(hold)
	s.announceNow()
	time.Sleep(grantTime)
}

// Guards against a task that runs twice: its executor restarted under its ID and carried out a hold call for its former incarnation,
// whose deadline it keeps beyond what the owner has granted, and was cut off.
func TestStaleHoldOutlastsLease(t *testing.T) {
	for _, hold := range append([]staleHold{
		{name: "call waits at the crash", calls: nodetest.StaleCalls{WaitingHolds: true}},
		{name: "call arrives after the crash", calls: nodetest.StaleCalls{Holds: true, WaitingHoldsBreak: true}},
	}, staleRenewals...) {
		for _, cut := range cuts {
			t.Run(hold.name+", "+cut.name, func(t *testing.T) {
				runWithFleet(t, 3, func(f *fleet) {
					s := newStaleLease(f)
					s.submitOne(1000)
					s.awaitRun()
					s.restartUnder(hold)
					s.announceNow()
					s.awaitRun()
					cut.apply(s)
					s.assertRunsOnce()
				})
			})
		}
	}
}

// Guards against the same after a start for the former incarnation that the next one carries out.
func TestStaleStartOutlastsLease(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		s.restart(nodetest.StaleCalls{Starts: true}, func() { s.submitOne(1000) })
		s.announceNow()
		s.awaitRun()
		s.cut(false)
		s.assertRunsOnce()
	})
}

// Guards against the same after a start for the former incarnation that the next one rejects for want of room.
func TestRejectedStaleStartOutlastsLease(t *testing.T) {
	runWithFleet(t, 3, func(f *fleet) {
		s := newStaleLease(f)
		const large, small = 3000, 400
		s.executor.SetGuarded(s.reservation)
		s.restart(nodetest.StaleCalls{Starts: true}, func() {
			s.submitOne(large)
			time.Sleep(executorDownTime / 2)
			s.executor.SetCapacity(structs.Resources{MilliCores: 2 * small, MemoryMB: 8000})
		})
		s.announceNow()
		s.submitOne(small)
		s.awaitRun()
		s.cut(false)
		s.assertRunsOnce()
	})
}

// reservation returns what a task reserves.
func (s *staleLease) reservation(task string) structs.Resources {
	id, _ := workflow.ParseTaskID(task)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	job := s.checker.jobs[id.Job]
	return job.Steps[id.Step].Reserved()
}

// Guards against the same with an owner that takes over from one whose process was killed, before or after the task starts.
func TestStaleLeaseIsUnknownToNextOwner(t *testing.T) {
	testStaleLeaseAcrossOwners(t, (*fleet).killOwner)
}

// Guards against the same with an owner to which the former one has handed over.
func TestStaleLeaseIsUnknownAfterHandOver(t *testing.T) {
	testStaleLeaseAcrossOwners(t, (*fleet).handOver)
}

func testStaleLeaseAcrossOwners(t *testing.T, end func(f *fleet)) {
	for _, hold := range append([]staleHold{waitingOrLateHold}, staleRenewals...) {
		for _, started := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, started=%v", hold.name, started), func(t *testing.T) {
				runWithFleet(t, 4, func(f *fleet) {
					s := newStaleLease(f)
					s.restartAfterHold(hold)
					if !started {
						f.endTerm(end)
					}
					s.submitOne(1000)
					s.awaitRun()
					if started {
						f.endTerm(end)
					}
					s.cut(false)
					s.assertRunsOnce()
				})
			})
		}
		t.Run(hold.name+", next owner never hears from the host", func(t *testing.T) {
			runWithFleet(t, 4, func(f *fleet) {
				s := newStaleLease(f)
				s.restartAfterHold(hold)
				s.submitOne(1000)
				s.awaitRun()
				s.cutAll()
				f.endTerm(end)
				s.assertRunsOnce()
			})
		})
	}
}

// Guards against the same with an owner to which the former one has handed over the expiry of the leases of executors that are cut off.
func TestStaleLeaseIsLostAtHandOver(t *testing.T) {
	for _, hold := range append([]staleHold{waitingOrLateHold}, staleRenewals...) {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, executor is cut off from its node=%v", hold.name, all), func(t *testing.T) {
				runWithFleet(t, 4, func(f *fleet) {
					s := newStaleLease(f)
					s.restartAfterHold(hold)
					s.submitOne(1000)
					s.awaitRun()
					if all {
						s.cut(false)
					}
					s.cut(true)
					f.handOver()
					s.assertRunsOnce()
				})
			})
		}
	}
}

// Guards against the same with a process of the node that doesn't know what its former one has sent.
func TestStaleLeaseIsUnknownToNextNodeProcess(t *testing.T) {
	for _, hold := range append([]staleHold{{name: "call waits at the crash", calls: nodetest.StaleCalls{WaitingHolds: true}}}, staleRenewals...) {
		for _, cut := range cuts {
			t.Run(hold.name+", "+cut.name, func(t *testing.T) {
				runWithFleet(t, 3, func(f *fleet) {
					s := newStaleLease(f)
					s.restartUnder(hold)
					s.kill()
					s.start()
					s.announceNow()
					time.Sleep(grantTime)
					s.submitOne(1000)
					s.awaitRun()
					cut.apply(s)
					s.assertRunsOnce()
				})
			})
		}
	}
}

// staleHistory describes what happens around a restart of an executor that carries out holds for its former incarnation.
type staleHistory struct {
	hold staleHold
	// downTime is how long the executor is down, startAfter when the task is submitted after the restart, negative for before the crash,
	// and cutAfter when the executor is cut off after the start of the task on the next incarnation.
	downTime, startAfter, cutAfter time.Duration
	// cutWithNode is set if the host is cut off, cutAll if the executor is cut off from its node as well.
	cutWithNode, cutAll bool
	// interruption ends the owner's term or the node's process, at a time after the restart.
	interruption      string
	interruptionAfter time.Duration
}

func drawStaleHistory(t *rapid.T, holds []staleHold) staleHistory {
	millis := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	return staleHistory{
		hold:     rapid.SampledFrom(holds).Draw(t, "hold"),
		downTime: millis("down", 50, 1500), startAfter: millis("start", -1500, 1500), cutAfter: millis("cut", 0, 2500),
		cutWithNode:       rapid.Bool().Draw(t, "cut with node"),
		cutAll:            rapid.Bool().Draw(t, "cut all"),
		interruption:      rapid.SampledFrom([]string{"", "", "kill", "hand over", "node"}).Draw(t, "interruption"),
		interruptionAfter: millis("interruption", 0, 3000),
	}
}

// interrupt ends the owner's term or the node's process, as a history says.
func (s *staleLease) interrupt(kind string) {
	switch kind {
	case "kill":
		if former := s.owner(); former != nil {
			former.kill()
			former.start()
		}
	case "hand over":
		if former := s.owner(); former != nil {
			s.handOver()
			former.start()
		}
	case "node":
		s.kill()
		s.start()
		s.stopCandidacy()
	}
}

// play plays a history, and returns the violations.
func (s *staleLease) play(h staleHistory) []string {
	if h.startAfter < 0 {
		s.submitOne(1000)
		time.Sleep(-h.startAfter)
	}
	s.restartUnderAfter(h.downTime, h.hold)
	s.announceNow()
	time.AfterFunc(h.interruptionAfter, func() { s.interrupt(h.interruption) })
	if h.startAfter >= 0 {
		time.Sleep(h.startAfter)
		s.submitOne(1000)
	}
	description, _ := s.executor.Describe()
	incarnation := description.IncarnationID()
	s.waitFor(30*time.Second, func() bool { return s.checker.runningOn(incarnation) > 0 })
	time.Sleep(h.cutAfter)
	s.cut(h.cutWithNode)
	if h.cutAll {
		s.cutAll()
	}
	s.operators.evacuate()
	time.Sleep(2 * longTaskTime)
	return s.checker.foundViolations()
}

// Guards against the same at any time of the restart, the start of the task, the cut and the change of the owner or the node's process.
func TestRandomStaleHolds(t *testing.T) {
	t.Run("hold calls", func(t *testing.T) {
		checkRandomStaleHolds(t, []staleHold{
			{calls: nodetest.StaleCalls{WaitingHolds: true}},
			{calls: nodetest.StaleCalls{Holds: true, WaitingHoldsBreak: true}},
			{calls: nodetest.StaleCalls{Holds: true, WaitingHolds: true}},
			{calls: nodetest.StaleCalls{Holds: true}},
		})
	})
	t.Run("renewals", func(t *testing.T) { checkRandomStaleHolds(t, staleRenewals) })
}

// checkRandomStaleHolds plays random histories with some of the given holds.
func checkRandomStaleHolds(t *testing.T, holds []staleHold) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawStaleHistory(rt, holds)
		stopTime := drawStopTime(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(callDrainTime)
			defer cancel()
			f := newFleetWithStopTime(t, ctx, 4, stopTime)
			time.Sleep(startupTime)
			violations = newStaleLease(f).play(history)
		})
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}
