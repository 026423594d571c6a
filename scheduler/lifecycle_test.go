package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against services that wait for batch to finish, victims that are worth more than needed, and evictions that
// repeat in each plan while the first ones are under way.
func TestPreemption(t *testing.T) {
	c := qt.New(t)
	cheap, dear, urgent := newJob("cheap", structs.KindBatch, 6000), newJob("dear", structs.KindBatch, 6000), newJob("u", structs.KindBatch, 16000)
	dear.Priority, urgent.Urgent = 50, true
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("w1", "a", running(dear, 0, 0), running(cheap, 0, time.Hour), running(cheap, 1, time.Minute)),
			newWorker("w2", "b", running(urgent, 0, 0)),
		},
		Pending: pending(newJob("s", structs.KindService, 4000), 1),
	}
	s.Workers[0].Capacity.MilliCores = 18000
	got := scheduler.Plan(s, now)
	c.Assert(got.Place, qt.HasLen, 0)
	c.Assert(evicted(got), qt.DeepEquals, []string{"cheap/1"})
	c.Assert(got.Evict[0], qt.Equals, scheduler.Eviction{
		AllocationID: "cheap/1", Task: structs.TaskID{JobID: "cheap", Index: 1}, Worker: "w1",
		Reason: scheduler.EvictPreempted, Checkpoint: true, For: structs.TaskID{JobID: "s"},
	})

	// While the victim checkpoints, nothing more is evicted and its room is kept from others.
	s.Workers[0].Running[2].State = structs.TaskEvicting
	c.Assert(evicted(scheduler.Plan(s, now)), qt.HasLen, 0)
	s.Workers[0].Running = s.Workers[0].Running[:2]
	s.Pending = append(s.Pending, pending(newJob("b", structs.KindBatch, 6000), 1)...)
	s.Pending[1].Job.Priority = 100
	s.Pending[0].Job.Urgent = true
	c.Assert(placedOn(scheduler.Plan(s, now)), qt.DeepEquals, map[string]string{"s/0": "w1"})
}

// Guards against room freed for a service that a later task of the same plan takes piece by piece.
func TestHeldRoom(t *testing.T) {
	c := qt.New(t)
	old := newJob("old", structs.KindBatch, 8000)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("w", "a", running(old, 0, 0), running(newJob("o2", structs.KindBatch, 4000), 0, 0))},
		Pending: append(pending(newJob("s", structs.KindService, 10000), 1), pending(newJob("b", structs.KindBatch, 4000), 1)...),
	}
	s.Workers[0].Running[0].State = structs.TaskEvicting
	got := scheduler.Plan(s, now)
	c.Assert(got.Evict, qt.HasLen, 0)
	c.Assert(got.Place, qt.HasLen, 0, qt.Commentf("4 cores free and 8 to come, 10 held: the batch task needs 4"))
	s.Pending[1].Job.Resources.MilliCores = 2000
	c.Assert(placedOn(scheduler.Plan(s, now)), qt.DeepEquals, map[string]string{"b/0": "w"})
}

// Guards against two tasks that count on the same eviction.
func TestOneEvictionServesOneTask(t *testing.T) {
	c := qt.New(t)
	batch := newJob("b", structs.KindBatch, 16000)
	got := scheduler.Plan(scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("w1", "a", running(batch, 0, 0)), newWorker("w2", "b", running(batch, 1, 0))},
		Pending: pending(newJob("s", structs.KindService, 10000), 2),
	}, now)
	c.Assert(evicted(got), qt.DeepEquals, []string{"b/0", "b/1"})
}

// Guards against a service that never starts since noisy batch runs everywhere, although nothing but that is in its way.
func TestServicePreemptsNoisyBatch(t *testing.T) {
	c := qt.New(t)
	noisy, calm := newClass("n", "noisy", 1000), newClass("c", "calm", 1000)
	s := scheduler.Snapshot{
		Workers:      []scheduler.WorkerView{newWorker("w", "a", running(calm, 0, 0), running(noisy, 0, time.Hour))},
		Pending:      pending(newJob("s", structs.KindService, 4000), 1),
		Interference: pairs{{"s", "noisy"}: interference.Estimate{Slowdown: 4, Known: true, Blocked: true}},
	}
	c.Assert(evicted(scheduler.Plan(s, now)), qt.DeepEquals, []string{"n/0"})
	s.Workers[0].Running[1].State = structs.TaskEvicting
	s.Workers = append(s.Workers, newWorker("v", "a", running(noisy, 1, 0)))
	c.Assert(evicted(scheduler.Plan(s, now)), qt.HasLen, 0, qt.Commentf("the eviction under way is enough"))
}

// Guards against a service that stops before its replacement is ready, or never leaves since its team's quota is used.
func TestEvacuationOfService(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 4000)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("a1", "a", running(service, 0, 0)), newWorker("b1", "b")},
		Rules:   scheduler.Rules{Out: map[string]time.Time{"a": now.Add(-time.Hour)}},
		Quotas:  quota.Limits{Default: &structs.Resources{MilliCores: 4000, MemoryMB: 100}},
	}
	got := scheduler.Plan(s, now)
	c.Assert(got.Evict, qt.HasLen, 0)
	c.Assert(got.Place, qt.HasLen, 1)
	c.Assert(got.Place[0].Worker, qt.Equals, "b1")
	c.Assert(got.Place[0].Replaces, qt.Equals, "s/0")

	replacement := running(service, 1, 0)
	replacement.Replaces, replacement.Ready = "s/0", false
	s.Workers[1].Running = append(s.Workers[1].Running, replacement)
	got = scheduler.Plan(s, now)
	c.Assert(len(got.Evict)+len(got.Place), qt.Equals, 0, qt.Commentf("the replacement is not ready"))

	s.Workers[1].Running[0].Ready = true
	got = scheduler.Plan(s, now)
	c.Assert(got.Place, qt.HasLen, 0)
	c.Assert(evicted(got), qt.DeepEquals, []string{"s/0"})
	c.Assert(got.Evict[0].Reason, qt.Equals, scheduler.EvictReplaced)
}

// Guards against a replica that ends up replaced twice when its replacement has to leave as well.
func TestReplacementThatMustLeave(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 4000)
	replacement := running(service, 1, 0)
	replacement.Replaces, replacement.Ready = "s/0", false
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("a1", "a", running(service, 0, 0)), newWorker("b1", "b", replacement), newWorker("c1", "c"),
		},
		Rules: scheduler.Rules{Out: map[string]time.Time{"a": now, "b": now}},
	}
	got := scheduler.Plan(s, now)
	c.Assert(evicted(got), qt.DeepEquals, []string{"s/1"})
	c.Assert(got.Evict[0].Reason, qt.Equals, scheduler.EvictUseless)
	c.Assert(placedOn(got), qt.DeepEquals, map[string]string{"s/0": "c1"})

	s.Workers[1].Running[0].Ready = true
	got = scheduler.Plan(s, now)
	c.Assert(evicted(got), qt.DeepEquals, []string{"s/0"})
	c.Assert(got.Place, qt.HasLen, 0, qt.Commentf("the replacement is replaced once the old replica is gone"))
	s.Workers[0].Running = nil
	c.Assert(scheduler.Plan(s, now).Place[0].Replaces, qt.Equals, "s/1")
}

// Guards against a replacement that waits behind other work, urgent or not.
func TestReplacementComesFirst(t *testing.T) {
	c := qt.New(t)
	urgent := newJob("u", structs.KindBatch, 16000)
	urgent.Urgent = true
	got := scheduler.Plan(scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("a1", "a", running(newJob("s", structs.KindService, 4000), 0, 0)), newWorker("b1", "b")},
		Pending: pending(urgent, 1),
		Rules:   scheduler.Rules{Out: map[string]time.Time{"a": now}},
	}, now)
	c.Assert(placedOn(got), qt.DeepEquals, map[string]string{"s/0": "b1"})
}

// Guards against batch that leaves before services, in the wrong order, without room elsewhere, or all at once.
func TestEvacuationOfBatch(t *testing.T) {
	c := qt.New(t)
	batch := newJob("b", structs.KindBatch, 4000)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("a1", "a", running(batch, 0, time.Minute), running(batch, 1, time.Hour), running(batch, 2, time.Second)),
			newWorker("b1", "b", running(newJob("x", structs.KindBatch, 8000), 0, 0)),
		},
		Pending: pending(newJob("new", structs.KindBatch, 1000), 4),
		Rules:   scheduler.Rules{Out: map[string]time.Time{"a": now}, EvictionsPerWorker: 2},
	}
	got := scheduler.Plan(s, now)
	c.Assert(evicted(got), qt.DeepEquals, []string{"b/1", "b/0"}, qt.Commentf("room for two, the most work done first"))
	c.Assert(got.Place, qt.HasLen, 0, qt.Commentf("the room is held for the evicted tasks"))

	service := newJob("s", structs.KindService, 8000)
	s.Workers[0].Running = append(s.Workers[0].Running, running(service, 0, 0))
	got = scheduler.Plan(s, now)
	c.Assert(placedOn(got), qt.DeepEquals, map[string]string{"s/0": "b1"}, qt.Commentf("the service takes the room"))
	c.Assert(got.Evict, qt.HasLen, 0)

	later := now.Add(scheduler.DefaultEvacuationGrace)
	c.Assert(evicted(scheduler.Plan(s, later)), qt.DeepEquals, []string{"b/1", "b/0"}, qt.Commentf("the grace has passed; two at a time"))
}

// Guards against a returned domain that is filled in one plan.
func TestPacedReturn(t *testing.T) {
	c := qt.New(t)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("a1", "a"), newWorker("a2", "a")},
		Pending: pending(newJob("b", structs.KindBatch, 1000), 40),
		Rules:   scheduler.Rules{Returned: map[string]time.Time{"a": now}, ReturnRamp: 16 * time.Second},
	}
	for _, step := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {4 * time.Second, 8}, {8 * time.Second, 16}, {16 * time.Second, 32}} {
		c.Check(scheduler.Plan(s, now.Add(step.after)).Place, qt.HasLen, step.want)
	}
}

// Guards against a large task that small ones overtake without end, and against more than one worker kept free.
func TestStarvingTask(t *testing.T) {
	c := qt.New(t)
	small := newJob("small", structs.KindBatch, 2000)
	s := scheduler.Snapshot{Pending: append(pending(newJob("large", structs.KindBatch, 16000), 2), pending(small, 40)...)}
	for i, name := range []string{"w1", "w2", "w3"} {
		s.Workers = append(s.Workers, newWorker(name, name, running(small, 100+i, 0)))
	}
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 21)
	s.Pending[0].Since = now.Add(-scheduler.DefaultStarveAfter - time.Second)
	s.Pending[1].Since = s.Pending[0].Since
	got := scheduler.Plan(s, now)
	c.Assert(got.Place, qt.HasLen, 14)
	used := map[string]bool{}
	for _, p := range got.Place {
		used[p.Worker] = true
	}
	for i := range s.Workers {
		if !used[s.Workers[i].Name] {
			s.Workers[i].Running = nil
			c.Assert(placedOn(scheduler.Plan(s, now))["large/0"], qt.Equals, s.Workers[i].Name)
		}
	}
}
