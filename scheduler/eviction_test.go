package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/structs"
)

// planText returns the placements and evictions of a plan as text.
func planText(s scheduler.Snapshot, at time.Time) string { return scheduler.Plan(s, at).String() }

func newSnapshot(workers ...scheduler.WorkerView) scheduler.Snapshot {
	return scheduler.Snapshot{Workers: workers}
}

// runningReplacement returns a replica of the service that was started to replace another one.
func runningReplacement(service *structs.Job, index int, old string, ready bool) scheduler.RunningTask {
	t := running(service, index, 0)
	t.Replaces, t.Ready = old, ready
	return t
}

func outOfService(domains ...string) map[string]time.Time {
	times := map[string]time.Time{}
	for _, domain := range domains {
		times[domain] = now
	}
	return times
}

// Guards against services that wait for batch tasks to finish, victims with a higher priority or more work done than
// necessary, and plans that repeat evictions while the first ones are in progress.
func TestPreemption(t *testing.T) {
	c := qt.New(t)
	cheap, costly, urgent := newJob("cheap", structs.KindBatch, 6000), newJob("dear", structs.KindBatch, 6000), newJob("u", structs.KindBatch, 16000)
	costly.Priority, urgent.Urgent = 50, true
	s := newSnapshot(newWorker("w1", "a", running(costly, 0, 0), running(cheap, 0, time.Hour), running(cheap, 1, time.Minute)),
		newWorker("w2", "b", running(urgent, 0, 0)))
	s.Workers[0].Capacity.MilliCores = 18000
	s.Pending = pending(newJob("s", structs.KindService, 4000), 1)
	c.Assert(scheduler.Plan(s, now).Evict, qt.DeepEquals, []scheduler.Eviction{{
		AllocationID: "cheap/1", Task: structs.TaskID{JobID: "cheap", Index: 1}, Worker: "w1",
		Reason: scheduler.EvictPreempted, Checkpoint: true, Preemptor: structs.TaskID{JobID: "s"},
	}})
	s.Workers[0].Running[2].State = structs.TaskEvicting
	c.Assert(planText(s, now), qt.Equals, "", qt.Commentf("the victim is writing its checkpoint"))
	s.Workers[0].Running = s.Workers[0].Running[:2]
	c.Assert(planText(s, now), qt.Equals, "+s/0@w1")
}

// Guards against a later task of the same plan taking part of the capacity that is freed for a service.
func TestHeldCapacity(t *testing.T) {
	c := qt.New(t)
	s := newSnapshot(newWorker("w", "a", running(newJob("old", structs.KindBatch, 8000), 0, 0), running(newJob("o2", structs.KindBatch, 4000), 0, 0)))
	s.Pending = append(pending(newJob("s", structs.KindService, 10000), 1), pending(newJob("b", structs.KindBatch, 4000), 1)...)
	s.Workers[0].Running[0].State = structs.TaskEvicting
	c.Assert(planText(s, now), qt.Equals, "", qt.Commentf("4 cores are free, 8 will be released and 10 are held, so the batch task of 4 cores does not fit"))
	s.Pending[1].Job.Resources.MilliCores = 2000
	c.Assert(planText(s, now), qt.Equals, "+b/0@w")
}

// Guards against two tasks that rely on the same eviction, and replicas that preempt in the same failure domain
// although another one is available.
func TestOneEvictionServesOneTask(t *testing.T) {
	batch := newJob("b", structs.KindBatch, 16000)
	s := newSnapshot(newWorker("a1", "a", running(batch, 0, 0)), newWorker("a2", "a", running(batch, 1, 0)), newWorker("b1", "b", running(batch, 2, 0)))
	s.Pending = pending(newJob("s", structs.KindService, 10000), 3)
	qt.Assert(t, planText(s, now), qt.Equals, "-b/0 preempted, -b/2 preempted, -b/1 preempted")
}

// Guards against a service that never starts because batch tasks that would slow it down run on every worker.
func TestServicePreemptsNoisyBatch(t *testing.T) {
	c := qt.New(t)
	noisy := newClassJob("n", "noisy", 1000)
	s := newSnapshot(newWorker("w", "a", running(newClassJob("c", "calm", 1000), 0, 0), running(noisy, 0, time.Hour)))
	s.Pending = pending(newJob("s", structs.KindService, 4000), 1)
	s.Interference = fixedEstimates{{"s", "noisy"}: {Slowdown: 4, Known: true, Blocked: true}}
	c.Assert(planText(s, now), qt.Equals, "-n/0 preempted")
	s.Workers[0].Running[1].State = structs.TaskEvicting
	s.Workers = append(s.Workers, newWorker("v", "a", running(noisy, 1, 0)))
	c.Assert(planText(s, now), qt.Equals, "", qt.Commentf("the eviction in progress suffices"))
}

// Guards against a service replica that stops before its replacement is ready, and one that can't be evacuated because
// the quota of its team is used up.
func TestEvacuationOfService(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 4000)
	s := newSnapshot(newWorker("a1", "a", running(service, 0, 0)), newWorker("b1", "b"))
	s.Rules.Out, s.Quotas.Default = outOfService("a"), &structs.Resources{MilliCores: 4000, MemoryMB: 100}
	later := now.Add(time.Hour)
	c.Assert(planText(s, later), qt.Equals, "+s/0@b1 (s/0)")
	s.Workers[1] = newWorker("b1", "b", runningReplacement(service, 1, "s/0", false))
	c.Assert(planText(s, later), qt.Equals, "", qt.Commentf("the replacement is not ready"))
	s.Workers[1].Running[0].Ready = true
	c.Assert(planText(s, later), qt.Equals, "-s/0 replacement is ready")
}

// Guards against a replica that is replaced twice because its replacement is evacuated as well.
func TestReplacementThatMustLeave(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 4000)
	s := newSnapshot(newWorker("a1", "a", running(service, 0, 0)), newWorker("b1", "b", runningReplacement(service, 1, "s/0", false)), newWorker("c1", "c"))
	s.Rules.Out = outOfService("a", "b")
	c.Assert(planText(s, now), qt.Equals, "+s/0@c1 (s/0), -s/1 replacement must leave before it is ready")
	s.Workers[1].Running[0].Ready = true
	c.Assert(planText(s, now), qt.Equals, "-s/0 replacement is ready", qt.Commentf("the replacement is replaced once the old replica is gone"))
	s.Workers[0].Running = nil
	c.Assert(planText(s, now), qt.Equals, "+s/1@c1 (s/1)")
}

// Guards against a replacement that waits behind other work, such as urgent tasks.
func TestReplacementComesFirst(t *testing.T) {
	urgent := newJob("u", structs.KindBatch, 16000)
	urgent.Urgent = true
	s := newSnapshot(newWorker("a1", "a", running(newJob("s", structs.KindService, 4000), 0, 0)), newWorker("b1", "b"))
	s.Pending, s.Rules.Out = pending(urgent, 1), outOfService("a")
	qt.Assert(t, planText(s, now), qt.Equals, "+s/0@b1 (s/0)")
}

// Guards against batch tasks that are evicted before services are placed, in the wrong order, without capacity
// elsewhere, or all at once.
func TestEvacuationOfBatch(t *testing.T) {
	c := qt.New(t)
	batch := newJob("b", structs.KindBatch, 4000)
	s := newSnapshot(newWorker("a1", "a", running(batch, 0, time.Minute), running(batch, 1, time.Hour), running(batch, 2, time.Second)),
		newWorker("b1", "b", running(newJob("x", structs.KindBatch, 8000), 0, 0)))
	s.Pending, s.Rules = pending(newJob("new", structs.KindBatch, 1000), 4), scheduler.Rules{Out: outOfService("a"), EvictionsPerWorker: 2}
	const both = "-b/1 failure domain is out of service, -b/0 failure domain is out of service"
	c.Assert(planText(s, now), qt.Equals, both, qt.Commentf("capacity for two is held, for those with the most work done"))
	s.Workers[0].Running = append(s.Workers[0].Running, running(newJob("s", structs.KindService, 8000), 0, 0))
	c.Assert(planText(s, now), qt.Equals, "+s/0@b1 (s/0)", qt.Commentf("the service takes the capacity"))
	later := now.Add(scheduler.DefaultEvacuationGrace)
	c.Assert(planText(s, later), qt.Equals, "+s/0@b1 (s/0), "+both, qt.Commentf("the grace has expired, and two are evicted at a time"))
}

// Guards against a returned failure domain that one plan fills completely.
func TestReturnRamp(t *testing.T) {
	s := newSnapshot(newWorker("a1", "a"), newWorker("a2", "a"))
	s.Pending = pending(newJob("b", structs.KindBatch, 1000), 40)
	s.Rules = scheduler.Rules{Returned: outOfService("a"), ReturnRamp: 16 * time.Second}
	for second, want := range map[time.Duration]int{0: 2, 4: 8, 8: 16, 16: 32} {
		qt.Check(t, scheduler.Plan(s, now.Add(second*time.Second)).Place, qt.HasLen, want)
	}
}

// Guards against services that never move back to a returned failure domain, that move during its return ramp, all at
// once, or back and forth.
func TestServicesMoveBack(t *testing.T) {
	c := qt.New(t)
	service, other := newJob("s", structs.KindService, 1000), newJob("z", structs.KindService, 1000)
	s := newSnapshot(newWorker("a1", "a"), newWorker("b1", "b"), newWorker("c1", "c"))
	for i := range 5 {
		s.Workers[0].Running = append(s.Workers[0].Running, running(service, i, 0), running(other, i, 0))
	}
	s.Rules.Returned = outOfService("b")
	c.Assert(planText(s, now), qt.Equals, "")
	later := now.Add(scheduler.DefaultReturnRamp)
	c.Assert(planText(s, later), qt.Equals, "+s/0@b1 (s/0)", qt.Commentf("only one of the two services moves"))
	s.Rules.Out = outOfService("c")
	c.Assert(planText(s, later), qt.Equals, "", qt.Commentf("another domain is evacuated"))
	s.Rules.Out = nil
	s.Workers[1].Running = append(s.Workers[1].Running, runningReplacement(service, 6, "s/0", true))
	c.Assert(planText(s, later), qt.Equals, "-s/0 replacement is ready")
	s.Workers[0].Running = s.Workers[0].Running[1:]
	c.Assert(planText(s, later), qt.Equals, "+s/1@b1 (s/1)")
	s.Workers[0].Running, s.Workers[1].Running = s.Workers[0].Running[5:], append(s.Workers[1].Running, running(other, 7, 0))
	c.Assert(planText(s, later), qt.Equals, "", qt.Commentf("the gap is one, which another move would only reverse"))
}

// Guards against a large task that small ones overtake without limit, more than one worker that is kept free, and a
// service that can't use the capacity held for a batch task.
func TestStarvingTask(t *testing.T) {
	c := qt.New(t)
	small := newJob("small", structs.KindBatch, 2000)
	s := scheduler.Snapshot{Pending: append(pending(newJob("large", structs.KindBatch, 16000), 2), pending(small, 40)...)}
	for i, name := range []string{"w1", "w2", "w3"} {
		s.Workers = append(s.Workers, newWorker(name, name, running(small, 100+i, 0)))
	}
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 21)
	s.Pending[0].Since = now.Add(-scheduler.DefaultStarveAfter)
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 21)
	s.Pending[0].Since = now.Add(-scheduler.DefaultStarveAfter - time.Second)
	s.Pending[1].Since = s.Pending[0].Since
	got := placedOn(scheduler.Plan(s, now))
	c.Assert(got, qt.HasLen, 14)
	used := map[string]bool{}
	for _, worker := range got {
		used[worker] = true
	}
	for i := range s.Workers {
		if w := s.Workers[i].Name; !used[w] {
			s.Workers[(i+1)%3].Running[0].Resources.MilliCores = 1
			c.Assert(planText(s, now), qt.Not(qt.Contains), "@"+w, qt.Commentf("later plans keep the same worker free"))
			s.Workers[i].Running = nil
			c.Assert(placedOn(scheduler.Plan(s, now))["large/0"], qt.Equals, s.Workers[i].Name)
		}
	}
	s.Pending = append(s.Pending, pending(newJob("s", structs.KindService, 1000), 1)...)
	c.Assert(placedOn(scheduler.Plan(s, now))["large/0"], qt.Equals, "")
}
