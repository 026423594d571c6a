package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Each case has one task that must start on worker "good" or, with want "", nowhere, because of a single rule.
func TestRulesChooseWorker(t *testing.T) {
	batch, service := newJob("b", structs.KindBatch, 4000), newJob("s", structs.KindService, 4000)
	other, urgent := newJob("o", structs.KindBatch, 1000), newJob("u", structs.KindBatch, 1000)
	urgent.Urgent = true
	blocked := pairs{{"s", "b"}: {Slowdown: 3, Known: true, Blocked: true}}
	cases := []struct {
		// name says which failure the case guards against.
		name string
		task *structs.Job
		want string
		// change starts from workers "bad" in domain a and "good" in domain b.
		change func(s *scheduler.Snapshot, bad, good *scheduler.WorkerView)
	}{
		{"overloaded worker", batch, "good", func(_ *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(newJob("x", structs.KindBatch, 13000), 0, 0))
		}},
		{"overloaded memory", batch, "good", func(_ *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Capacity.MemoryMB = 99
		}},
		{"unreported worker taken for empty", batch, "good", func(_ *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Reported = false
		}},
		{"start on a draining worker", batch, "good", func(_ *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Draining = true
		}},
		{"start in an out domain", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Rules.Out = map[string]time.Time{"a": now}
		}},
		{"constraint to a domain ignored", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Pending[0].Job.Constraints.FailureDomains = []string{"b"}
		}},
		{"constraint to a rack ignored", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Pending[0].Job.Constraints.Racks = []string{"b-1"}
		}},
		{"accelerator kind ignored", batch, "good", func(s *scheduler.Snapshot, bad, good *scheduler.WorkerView) {
			bad.AcceleratorKind, good.AcceleratorKind = "k80", "t4"
			s.Pending[0].Job.Constraints.AcceleratorKind = "t4"
		}},
		{"batch in a rack without batch", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Rules.RacksWithoutBatch = map[string]bool{"a-1": true}
		}},
		{"batch on a quarantined worker", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Quarantine = admissions{"bad": quarantine.Closed}
		}},
		{"service as probe", service, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Quarantine = admissions{"bad": quarantine.Probe}
		}},
		{"urgent work as probe", urgent, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Quarantine = admissions{"bad": quarantine.Probe}
		}},
		{"no probe on probation", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Quarantine = admissions{"bad": quarantine.Closed, "good": quarantine.Probe}
		}},
		{"noisy batch beside a service", batch, "good", func(s *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(service, 0, 0))
			s.Interference = blocked
		}},
		{"service beside noisy batch", service, "good", func(s *scheduler.Snapshot, bad, good *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(newClass("x", "b", 100), 0, 0))
			good.Running = append(good.Running, running(newJob("y", structs.KindBatch, 8000), 0, 0))
			s.Interference = blocked
		}},
		{"harmless shares that add up to harm", batch, "good", func(s *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(service, 0, 0), running(newClass("x", "b", 8000), 0, 0))
			s.Interference = pairs{{"s", "b"}: {Slowdown: 1.4, Known: true}}
		}},
		{"herd onto a returned domain", batch, "good", func(s *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(other, 0, 0))
			s.Rules.Returned = map[string]time.Time{"a": now.Add(-time.Second)}
			s.Rules.Weights = map[string]float64{"recently_returned": 0}
		}},
		{"returned domain preferred", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Rules.Returned = map[string]time.Time{"a": now.Add(-15 * time.Second)}
		}},
		{"replicas in one domain", service, "good", func(_ *scheduler.Snapshot, bad, good *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(service, 1, 0))
			good.Running = append(good.Running, running(newJob("x", structs.KindBatch, 8000), 0, 0))
		}},
		{"batch that fragments an empty worker", batch, "good", func(_ *scheduler.Snapshot, _, good *scheduler.WorkerView) {
			good.Running = append(good.Running, running(newJob("x", structs.KindBatch, 4000), 0, 0))
		}},
		{"interference estimate without effect", batch, "good", func(s *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(service, 0, 0))
			s.Interference = pairs{{"s", "b"}: {Slowdown: 1.6, Known: true}}
		}},
		{"accelerators wasted", batch, "good", func(_ *scheduler.Snapshot, bad, good *scheduler.WorkerView) {
			bad.Capacity.Accelerators = 2
			bad.Running = append(bad.Running, running(newJob("x", structs.KindBatch, 4000), 0, 0))
		}},
		{"repeated start where the task failed", batch, "good", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Pending[0].Avoid = []string{"bad"}
		}},
		{"retry before its backoff", batch, "", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Pending[0].NotBefore = now.Add(time.Second)
		}},
		{"quota exceeded", batch, "", func(s *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(other, 0, 0))
			s.Quotas = quota.Limits{Teams: map[string]structs.Resources{"team": {MilliCores: 4500, MemoryMB: -1, Accelerators: -1}}}
		}},
		{"quota used in other shards ignored", batch, "", func(s *scheduler.Snapshot, _, _ *scheduler.WorkerView) {
			s.Quotas = quota.Limits{Default: &structs.Resources{MilliCores: 4500, MemoryMB: -1, Accelerators: -1}}
			s.Used = map[string]structs.Resources{"team": {MilliCores: 1000}}
		}},
		{"task that runs started again", batch, "", func(_ *scheduler.Snapshot, bad, _ *scheduler.WorkerView) {
			bad.Running = append(bad.Running, running(batch, 0, 0))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			task := *tc.task
			s := scheduler.Snapshot{
				Workers: []scheduler.WorkerView{newWorker("bad", "a"), newWorker("good", "b")},
				Pending: pending(&task, 1),
			}
			tc.change(&s, &s.Workers[0], &s.Workers[1])
			c.Assert(placedOn(scheduler.Plan(s, now))[task.ID+"/0"], qt.Equals, tc.want)
		})
	}
}

// newClass returns a batch job of a class with another ID.
func newClass(id, class string, milliCores int64) *structs.Job {
	job := newJob(id, structs.KindBatch, milliCores)
	job.Class = class
	return job
}

// Guards against a second task on a worker whose probe has just been placed.
func TestOneProbe(t *testing.T) {
	c := qt.New(t)
	got := scheduler.Plan(scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("w", "a")}, Pending: pending(newJob("b", structs.KindBatch, 100), 3),
		Quarantine: admissions{"w": quarantine.Probe},
	}, now)
	c.Assert(got.Place, qt.HasLen, 1)
}

// Guards against exploration that a single plan exceeds, since the counts must include its own placements.
func TestExplorationBoundWithinOnePlan(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 1000)
	got := scheduler.Plan(scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("w1", "a", running(service, 0, 0)), newWorker("w2", "b", running(service, 1, 0)),
		},
		Pending:      pending(newJob("b", structs.KindBatch, 100), 9),
		Interference: pairs{{"s", "b"}: interference.Estimate{Slowdown: 1}},
	}, now)
	c.Assert(got.Place, qt.HasLen, scheduler.DefaultExplorationTasks)
}

// Guards against tasks of one plan that are each harmless beside a service and together are not.
func TestSlowdownAddsUpWithinOnePlan(t *testing.T) {
	c := qt.New(t)
	got := scheduler.Plan(scheduler.Snapshot{
		Workers:      []scheduler.WorkerView{newWorker("w", "a", running(newJob("s", structs.KindService, 1000), 0, 0))},
		Pending:      pending(newJob("b", structs.KindBatch, 2000), 5),
		Interference: pairs{{"s", "b"}: interference.Estimate{Slowdown: 1.8, Known: true}},
	}, now)
	c.Assert(got.Place, qt.HasLen, 2, qt.Commentf("each adds 0.8 * 2/16 = 0.1, of 0.25 allowed"))
}

// Guards against placement in another order than urgent, priority, services by importance, and fair share.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	job := func(id, team string, kind structs.JobKind, priority int, urgent bool) *structs.Job {
		j := newJob(id, kind, 1000)
		j.Team, j.Priority, j.Urgent = team, priority, urgent
		return j
	}
	heavy := job("heavy", "greedy", structs.KindBatch, 10, false)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("w1", "a", running(heavy, 8, 0), running(heavy, 9, 0)), newWorker("w2", "b"),
		},
		Pending: []scheduler.PendingTask{
			{Job: heavy},
			{Job: heavy, Index: 1},
			{Job: job("light", "modest", structs.KindBatch, 10, false)},
			{Job: job("low", "modest", structs.KindBatch, 1, false)},
			{Job: job("a-minor", "x", structs.KindService, 10, false)},
			{Job: job("b-major", "x", structs.KindService, 10, false)},
			{Job: job("high", "modest", structs.KindBatch, 90, false)},
			{Job: job("idle", "idle", structs.KindBatch, 0, false)},
			{Job: job("now", "greedy", structs.KindBatch, 0, true)},
		},
		Rules: scheduler.Rules{ServiceOrder: []string{"b-major", "a-minor"}},
	}
	var order []string
	for _, p := range scheduler.Plan(s, now).Place {
		order = append(order, p.Task.JobID)
	}
	c.Assert(order, qt.DeepEquals, []string{"now", "high", "b-major", "a-minor", "light", "heavy", "heavy", "low", "idle"})
	s.Rules.MaxPlacements = 2
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 2)
}

// Guards against ratings that one plan reuses for tasks that they don't fit: the replicas of a service rated without
// each other, and a constrained job rated like an unconstrained one of its class.
func TestRatingsWithinOnePlan(t *testing.T) {
	c := qt.New(t)
	workers := []scheduler.WorkerView{newWorker("a1", "a"), newWorker("a2", "a"), newWorker("b1", "b"), newWorker("b2", "b")}
	got := placedOn(scheduler.Plan(scheduler.Snapshot{Workers: workers, Pending: pending(newJob("s", structs.KindService, 1000), 4)}, now))
	c.Assert(got["s/0"][:1], qt.Not(qt.Equals), got["s/1"][:1], qt.Commentf("the first two are in different domains"))
	seen := map[string]bool{}
	for _, worker := range got {
		seen[worker] = true
	}
	c.Assert(seen, qt.HasLen, 4)

	free, bound := newClass("free", "class", 1000), newClass("bound", "class", 1000)
	bound.Constraints.FailureDomains = []string{"b"}
	got = placedOn(scheduler.Plan(scheduler.Snapshot{Workers: workers[1:3], Pending: append(pending(bound, 2), pending(free, 2)...)}, now))
	c.Assert(got["bound/0"]+got["bound/1"], qt.Equals, "b1b1")
	workers[2].Running = append(workers[2].Running, running(newJob("x", structs.KindBatch, 16000), 0, 0))
	d := scheduler.Plan(scheduler.Snapshot{Workers: workers[1:3], Pending: append(pending(bound, 2), pending(free, 2)...)}, now)
	c.Assert(placedOn(d), qt.DeepEquals, map[string]string{"free/0": "a2", "free/1": "a2"})
	c.Assert(d.Waiting, qt.HasLen, 1)
	c.Assert(d.Waiting[0].JobID, qt.Equals, "bound")
}

// Guards against overload and starts in out domains by a binary that doesn't import the plug-ins.
func TestWithoutPlugins(t *testing.T) {
	c := qt.New(t)
	defer scheduler.RemovePlugins()()
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("a1", "a"), newWorker("b1", "b")}, Pending: pending(newJob("b", structs.KindBatch, 9000), 3),
	}
	c.Assert(placedOn(scheduler.Plan(s, now)), qt.DeepEquals, map[string]string{"b/0": "a1"})
	s.Workers[0].Draining = true
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 0)
	s.Workers[0].Draining, s.Rules.Out = false, map[string]time.Time{"a": now}
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 0)
}

// Guards against checkpoints that wait behind tasks that lose nothing by waiting.
func TestMostWorkDoneResumesFirst(t *testing.T) {
	c := qt.New(t)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{newWorker("w", "a")}, Pending: pending(newJob("b", structs.KindBatch, 9000), 3),
	}
	s.Pending[2].WorkDone = time.Hour
	got := scheduler.Plan(s, now)
	c.Assert(got.Place, qt.HasLen, 1)
	c.Assert(got.Place[0].Task.Index, qt.Equals, 2)
}

// Guards against jobs that wait for ever without a reason, and verdicts on jobs that only have to wait.
func TestVerdicts(t *testing.T) {
	domain := newJob("domain", structs.KindBatch, 1000)
	domain.Constraints.FailureDomains = []string{"nowhere"}
	poor := newJob("poor", structs.KindBatch, 1000)
	poor.Team = "poor"
	large := newJob("large", structs.KindBatch, 17000)
	full := newJob("full", structs.KindBatch, 16000)
	out := newJob("out", structs.KindService, 1000)
	out.Constraints.FailureDomains = []string{"c"}
	rack := newJob("rack", structs.KindBatch, 1000)
	rack.Constraints.Racks = []string{"b-1"}
	empty := newJob("empty", structs.KindBatch, 0)
	empty.Resources = structs.Resources{}
	fine := newJob("fine", structs.KindBatch, 1000)
	s := scheduler.Snapshot{
		Workers: []scheduler.WorkerView{
			newWorker("w1", "a", running(newJob("x", structs.KindBatch, 8000), 0, 0)), newWorker("w2", "b"), newWorker("w3", "c"),
		},
		Rules: scheduler.Rules{Out: map[string]time.Time{"c": now}, RacksWithoutBatch: map[string]bool{"b-1": true}},
		Quotas: quota.Limits{Teams: map[string]structs.Resources{"poor": {
			MilliCores: 500, MemoryMB: quota.Unlimited, Accelerators: quota.Unlimited,
		}}},
	}
	for _, job := range []*structs.Job{domain, poor, large, full, out, rack, empty, fine} {
		s.Pending = append(s.Pending, scheduler.PendingTask{Job: job})
	}
	c := qt.New(t)
	got := scheduler.Plan(s, now)
	reasons := map[string]string{}
	for _, v := range got.Verdicts {
		reasons[v.JobID] = v.Reason
	}
	c.Assert(reasons, qt.HasLen, 5)
	c.Assert(reasons["domain"], qt.Matches, ".*of 3 workers 3 are in other failure domains")
	c.Assert(reasons["poor"], qt.Matches, "one task needs 1000 millicores.*quota of team poor: 500 millicores, unlimited MB.*")
	c.Assert(reasons["large"], qt.Matches, ".*3 are too small")
	c.Assert(reasons["rack"], qt.Matches, ".*1 are in racks without batch, 2 are in other racks")
	c.Assert(reasons["empty"], qt.Matches, "declared resources are negative or all zero.*")
	c.Assert(placedOn(got), qt.DeepEquals, map[string]string{"fine/0": "w1"})
	s.Workers = nil
	c.Assert(scheduler.Plan(s, now).Verdicts, qt.HasLen, 2, qt.Commentf("without workers, only quota and invalid sizes are certain"))
}

// Guards against a learned size that no worker holds and so keeps a job from running that would fit as declared.
func TestSizedTaskFallsBackToDeclared(t *testing.T) {
	c := qt.New(t)
	s := scheduler.Snapshot{Workers: []scheduler.WorkerView{newWorker("w", "a")}, Pending: pending(newJob("b", structs.KindBatch, 1000), 1)}
	s.Pending[0].Resources = structs.Resources{MilliCores: 2000, MemoryMB: 200}
	c.Assert(scheduler.Plan(s, now).Place[0].Resources, qt.Equals, s.Pending[0].Resources)
	s.Pending[0].Resources.MilliCores = 20000
	c.Assert(scheduler.Plan(s, now).Place[0].Resources, qt.Equals, s.Pending[0].Job.Resources)
	s.Pending[0].Resources.MilliCores = 2000
	s.Quotas.Default = &structs.Resources{MilliCores: 1500, MemoryMB: 1000}
	c.Assert(scheduler.Plan(s, now).Place[0].Resources, qt.Equals, s.Pending[0].Job.Resources)
}
