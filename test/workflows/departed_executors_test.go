package workflows_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxStandstill is how long a long-running task may have no run, with room for it on other hosts, before it counts as lost.
const maxStandstill = 9 * time.Second

// submitLongRunning submits a job whose tasks run until it is cancelled, at most one on each executor, and waits until all
// of them run.
func (f *fleet) submitLongRunning(count int) {
	for _, h := range f.hosts {
		h.executor.SetDuration(time.Hour)
	}
	job := f.newJob(count)
	job.Steps[0].LongRunning, job.Steps[0].PerExecutor = true, 1
	job.Steps[0].Need = structs.Resources{MilliCores: 1000, MemoryMB: 100}
	f.checker.recordSubmitted(job)
	f.Assert(f.gateway.Submit(f.ctx, &job), qt.IsNil)
	f.waitFor(10*time.Second, func() bool { return f.checker.runningCount() == count })
}

// busyHostBesideOwner returns a host that has a run and isn't the owner.
func (f *fleet) busyHostBesideOwner() *host {
	for _, h := range f.hosts {
		description, _ := h.executor.Describe()
		if h != f.owner() && f.checker.runningOn(description.IncarnationID()) > 0 {
			return h
		}
	}
	f.Fatal("no host beside the owner has a run")
	return nil
}

// handOver stops the owner's process as at a planned stop.
func (f *fleet) handOver() {
	former := f.owner()
	former.stopCandidacy()
	<-former.candidateDone
	former.kill()
}

// departureLimit is how long a planned stop waits until the departure of the executor is reported.
const departureLimit = 2500 * time.Millisecond

// stop ends the node process of a host as at a planned stop.
func (h *host) stop() {
	h.stopCandidacy()
	<-h.candidateDone
	ctx, cancel := context.WithTimeout(h.fleet.ctx, departureLimit)
	defer cancel()
	h.node.AwaitDeparture(ctx)
	h.kill()
}

// drainTime is how long an executor drains before it leaves.
const drainTime = 3 * time.Second

// drain announces that the executor of a host drains, and waits for drainTime.
func (h *host) drain() {
	h.executor.SetDraining(true)
	time.Sleep(drainTime)
}

// drainBusyHost starts four long-running tasks and returns a host beside the owner that runs some of them, once it has drained.
func (f *fleet) drainBusyHost() *host {
	f.submitLongRunning(4)
	h := f.busyHostBesideOwner()
	h.drain()
	return h
}

// assertAllRestarted waits until all tasks of drainBusyHost run. It fails if that is later than maxStandstill after since, or if a
// task had two runs at once.
func (f *fleet) assertAllRestarted(since time.Time) {
	f.Helper()
	f.waitFor(30*time.Second, func() bool { return f.checker.runningCount() == 4 })
	f.assertRestartedWithin(maxStandstill, since)
	f.Assert(f.checker.foundViolations(), qt.HasLen, 0)
}

// depart ends the executor of a host, which announces its end.
func (h *host) depart() {
	description, _ := h.executor.Describe()
	h.executor.Leave()
	h.node.Leave(description.ID)
}

// Guards against long-running tasks that stand still for twice the lease of their executor: it has left as planned, its host is
// stopped, and the owner hands over before the lease has expired (incident inc1: LOST).
func TestTasksOfDepartedExecutorRestartDespiteHandOver(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		leaving := f.drainBusyHost()
		leaving.depart()
		leftAt := time.Now()
		time.Sleep(time.Second)
		leaving.kill()
		time.Sleep(2 * time.Second)
		f.handOver()
		f.assertAllRestarted(leftAt)
	})
}

// Guards against a departure that no owner learns of because the host is stopped while there is no owner.
func TestDepartureIsReportedBeforeHostStops(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		leaving := f.drainBusyHost()
		f.owner().kill()
		leaving.depart()
		leftAt := time.Now()
		leaving.stop()
		f.assertAllRestarted(leftAt)
	})
}

// Guards against a departure that is forgotten because a slow store had not taken it yet when its host and then the owner ended.
func TestDepartureIsStoredBeforeHostStops(t *testing.T) {
	runWithFleet(t, 6, func(f *fleet) {
		leaving := f.drainBusyHost()
		f.owner().store.SetFaults(kvtest.Faults{Delay: 700 * time.Millisecond})
		leaving.depart()
		leftAt := time.Now()
		stopped := make(chan struct{})
		go func() {
			leaving.stop()
			close(stopped)
		}()
		time.Sleep(600 * time.Millisecond)
		f.owner().kill()
		<-stopped
		f.assertAllRestarted(leftAt)
	})
}
