package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// scenario is what a test case changes: a snapshot with the workers "bad" in failure domain a and "good" in b.
type scenario struct {
	s         *scheduler.Snapshot
	bad, good *scheduler.WorkerView
}

// addRunning adds one running task of each job to a worker. The index of the task is the position of its job.
func addRunning(w *scheduler.WorkerView, jobs ...*structs.Job) {
	for i, job := range jobs {
		w.Running = append(w.Running, running(job, i, 0))
	}
}

// Checks single rules: the task of each case must start on worker "good", or on none if want is empty.
func TestSingleRules(t *testing.T) {
	batch, service := newJob("b", structs.KindBatch, 4000), newJob("s", structs.KindService, 4000)
	other, urgent := newJob("o", structs.KindBatch, 1000), newJob("u", structs.KindBatch, 1000)
	urgent.Urgent = true
	blocked := fixedEstimates{{"s", "b"}: {Slowdown: 3, Known: true, Blocked: true}}
	cases := []struct {
		// name says which failure the case guards against.
		name   string
		task   *structs.Job
		want   string
		change func(x *scenario)
	}{
		{"overcommitted worker", batch, "good", func(x *scenario) { addRunning(x.bad, newJob("x", structs.KindBatch, 13000)) }},
		{"overcommitted memory", batch, "good", func(x *scenario) { x.bad.Capacity.MemoryMB = 99 }},
		{"unreported worker treated as empty", batch, "good", func(x *scenario) { x.bad.Reported = false }},
		{"start on a draining worker", batch, "good", func(x *scenario) { x.bad.Draining = true }},
		{"start in a domain that is out of service", batch, "good", func(x *scenario) { x.s.Rules.Out = map[string]time.Time{"a": now} }},
		{"constraint to a domain ignored", batch, "good", func(x *scenario) { x.s.Pending[0].Job.Constraints.FailureDomains = []string{"b"} }},
		{"constraint to a rack ignored", batch, "good", func(x *scenario) { x.s.Pending[0].Job.Constraints.Racks = []string{"b-1"} }},
		{"accelerator kind ignored", batch, "good", func(x *scenario) {
			x.bad.AcceleratorKind, x.good.AcceleratorKind = "k80", "t4"
			x.s.Pending[0].Job.Constraints.AcceleratorKind = "t4"
		}},
		{"batch in a rack without batch", batch, "good", func(x *scenario) { x.s.Rules.RacksWithoutBatch = map[string]bool{"a-1": true} }},
		{"batch on a quarantined worker", batch, "good", func(x *scenario) { x.s.Quarantine = fixedAdmissions{"bad": quarantine.AdmitNone} }},
		{"service as probe", service, "good", func(x *scenario) { x.s.Quarantine = fixedAdmissions{"bad": quarantine.AdmitProbe} }},
		{"urgent work as probe", urgent, "good", func(x *scenario) { x.s.Quarantine = fixedAdmissions{"bad": quarantine.AdmitProbe} }},
		{"no probe on probation", batch, "good", func(x *scenario) {
			x.s.Quarantine = fixedAdmissions{"bad": quarantine.AdmitNone, "good": quarantine.AdmitProbe}
		}},
		{"interfering batch beside a service", batch, "good", func(x *scenario) {
			addRunning(x.bad, service)
			x.s.Interference = blocked
		}},
		{"service beside interfering batch", service, "good", func(x *scenario) {
			addRunning(x.bad, newClassJob("x", "b", 100))
			addRunning(x.good, newJob("y", structs.KindBatch, 8000))
			x.s.Interference = blocked
		}},
		{"small slowdowns that add up beyond the limit", batch, "good", func(x *scenario) {
			addRunning(x.bad, service, newClassJob("x", "b", 8000))
			x.s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1.4, Known: true}}
		}},
		{"batch rejected beside a service that tolerates it", batch, "good", func(x *scenario) {
			x.bad.Draining = true
			addRunning(x.good, service, newClassJob("x", "b", 8000))
			x.s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1.4, Known: true, Limit: 1.5}}
		}},
		{"service rejected beside batch that it tolerates", service, "good", func(x *scenario) {
			x.bad.Draining = true
			addRunning(x.good, newClassJob("x", "b", 12000))
			x.s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1.4, Known: true, Limit: 1.5}}
		}},
		{"two unknown batch classes on one worker", batch, "good", func(x *scenario) {
			addRunning(x.bad, service, newClassJob("x", "c", 4000))
			addRunning(x.good, service)
			x.s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1}, {"s", "c"}: {Slowdown: 1}}
		}},
		{"returned domain filled at once", batch, "good", func(x *scenario) {
			addRunning(x.bad, other)
			x.s.Rules.Returned = map[string]time.Time{"a": now.Add(-time.Second)}
			x.s.Rules.Weights = map[string]float64{"recently_returned": 0}
		}},
		{"returned domain preferred", batch, "good", func(x *scenario) { x.s.Rules.Returned = map[string]time.Time{"a": now.Add(-15 * time.Second)} }},
		{"replicas in one domain", service, "good", func(x *scenario) {
			addRunning(x.bad, newJob("y", structs.KindBatch, 100), service)
			addRunning(x.good, newJob("x", structs.KindBatch, 8000))
		}},
		{"batch that fragments an empty worker", batch, "good", func(x *scenario) { addRunning(x.good, newJob("x", structs.KindBatch, 4000)) }},
		{"interference estimate without effect", batch, "good", func(x *scenario) {
			addRunning(x.bad, service)
			x.s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1.6, Known: true}}
		}},
		{"accelerators wasted", batch, "good", func(x *scenario) {
			x.bad.Capacity.Accelerators = 2
			addRunning(x.bad, newJob("x", structs.KindBatch, 4000))
		}},
		{"repeated start where the task failed", batch, "good", func(x *scenario) { x.s.Pending[0].Avoid = []string{"bad"} }},
		{"retry before its backoff", batch, "", func(x *scenario) { x.s.Pending[0].NotBefore = now.Add(time.Second) }},
		{"quota exceeded", batch, "", func(x *scenario) {
			addRunning(x.bad, other)
			x.s.Quotas = quota.Limits{Teams: map[string]structs.Resources{"team": {MilliCores: 4500, MemoryMB: -1, Accelerators: -1}}}
		}},
		{"quota used in other shards ignored", batch, "", func(x *scenario) {
			x.s.Quotas = quota.Limits{Default: &structs.Resources{MilliCores: 4500, MemoryMB: -1, Accelerators: -1}}
			x.s.Used = map[string]structs.Resources{"team": {MilliCores: 1000}}
		}},
		{"running task started again", batch, "", func(x *scenario) { addRunning(x.bad, batch) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			task := *tc.task
			s := scheduler.Snapshot{
				Workers: []scheduler.WorkerView{newWorker("bad", "a"), newWorker("good", "b")},
				Pending: pending(&task, 1),
			}
			tc.change(&scenario{&s, &s.Workers[0], &s.Workers[1]})
			c.Assert(placedOn(scheduler.Plan(s, now))[task.ID+"/0"], qt.Equals, tc.want)
		})
	}
}

// newClassJob returns a batch job whose class differs from its ID.
func newClassJob(id, class string, milliCores int64) *structs.Job {
	job := newJob(id, structs.KindBatch, milliCores)
	job.Class = class
	return job
}

// Guards against rules that hold for each task but not for all tasks of one plan together: one probe on a worker, the
// limit of exploration, and small slowdowns that add up.
func TestTasksOfOnePlan(t *testing.T) {
	c := qt.New(t)
	service := newJob("s", structs.KindService, 1000)
	s := newSnapshot(newWorker("w", "a"))
	s.Pending, s.Quarantine = pending(newJob("b", structs.KindBatch, 2000), 6), fixedAdmissions{"w": quarantine.AdmitProbe}
	c.Assert(planText(s, now), qt.Equals, "+b/0@w")
	s.Workers, s.Quarantine = []scheduler.WorkerView{newWorker("w1", "a", running(service, 0, 0)), newWorker("w2", "b", running(service, 1, 0))}, nil
	s.Interference = fixedEstimates{{"s", "b"}: {Slowdown: 1}}
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, scheduler.DefaultExplorationTasks)
	s.Workers, s.Interference = s.Workers[:1], fixedEstimates{{"s", "b"}: {Slowdown: 1.8, Known: true}}
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 2, qt.Commentf("each adds 0.8 * 2/16 = 0.1, of 0.25 allowed"))
}

// Guards against a placement order other than urgent work, priority, services by importance, and fair sharing.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	job := func(id, team string, kind structs.JobKind, priority int, urgent bool) *structs.Job {
		j := newJob(id, kind, 1000)
		j.Team, j.Priority, j.Urgent = team, priority, urgent
		return j
	}
	heavy := job("heavy", "greedy", structs.KindBatch, 10, false)
	s := newSnapshot(newWorker("w1", "a", running(heavy, 8, 0), running(heavy, 9, 0)), newWorker("w2", "b"))
	s.Rules.ServiceOrder = []string{"b-major", "a-minor"}
	s.Pending = append(pending(heavy, 2), []scheduler.PendingTask{
		{Job: job("light", "modest", structs.KindBatch, 10, false)},
		{Job: job("low", "modest", structs.KindBatch, 1, false)},
		{Job: job("a-minor", "x", structs.KindService, 10, false)},
		{Job: job("b-major", "x", structs.KindService, 10, false)},
		{Job: job("high", "modest", structs.KindBatch, 90, false)},
		{Job: job("idle", "idle", structs.KindBatch, 0, false)},
		{Job: job("now", "greedy", structs.KindBatch, 0, true)},
	}...)
	var order []string
	for _, p := range scheduler.Plan(s, now).Place {
		order = append(order, p.Task.JobID)
	}
	c.Assert(order, qt.DeepEquals, []string{"now", "high", "b-major", "a-minor", "light", "heavy", "heavy", "low", "idle"})
	s.Rules.MaxPlacements = 2
	c.Assert(scheduler.Plan(s, now).Place, qt.HasLen, 2)
}

// Guards against cached ratings that are reused for other tasks in a plan: the replicas of a service must be rated
// with regard to each other, and a constrained job must not share ratings with an unconstrained one of its class.
func TestRatingsWithinOnePlan(t *testing.T) {
	c := qt.New(t)
	s := newSnapshot(newWorker("a1", "a"), newWorker("a2", "a"), newWorker("b1", "b"), newWorker("b2", "b"))
	s.Pending = pending(newJob("s", structs.KindService, 1000), 4)
	c.Assert(planText(s, now), qt.Equals, "+s/0@a1, +s/1@b1, +s/2@a2, +s/3@b2")
	s.Pending[0].Job.Kind, s.Pending[0].Job.SpreadDomains = structs.KindBatch, true
	c.Assert(planText(s, now), qt.Equals, "+s/0@a1, +s/1@b1, +s/2@a2, +s/3@b2", qt.Commentf("batch that asks for it spreads too"))

	free, bound := newClassJob("free", "class", 1000), newClassJob("bound", "class", 1000)
	bound.Constraints.FailureDomains = []string{"b"}
	s.Workers, s.Pending = s.Workers[1:3], append(pending(bound, 2), pending(free, 2)...)
	c.Assert(planText(s, now), qt.Equals, "+bound/0@b1, +bound/1@b1, +free/0@b1, +free/1@b1")
	addRunning(&s.Workers[1], newJob("x", structs.KindBatch, 16000))
	c.Assert(planText(s, now), qt.Equals, "+free/0@a2, +free/1@a2")
	c.Assert(scheduler.Plan(s, now).Waiting, qt.DeepEquals, []scheduler.WaitingJob{{JobID: "bound", Reason: plugins.ReasonDomain, Workers: 1}})
}

// Guards against overcommitted workers, and placements on evacuated workers, in a binary that doesn't import the
// plug-ins.
func TestWithoutPlugins(t *testing.T) {
	c := qt.New(t)
	defer scheduler.RemovePlugins()()
	s := newSnapshot(newWorker("a1", "a"), newWorker("b1", "b"))
	s.Pending = pending(newJob("b", structs.KindBatch, 9000), 3)
	c.Assert(planText(s, now), qt.Equals, "+b/0@a1")
	s.Workers[0].Draining = true
	c.Assert(planText(s, now), qt.Equals, "")
	s.Workers[0].Draining, s.Rules.Out = false, outOfService("a")
	c.Assert(planText(s, now), qt.Equals, "")
}

// Guards against tasks with a checkpoint that wait behind tasks without work done.
func TestMostWorkDoneResumesFirst(t *testing.T) {
	s := newSnapshot(newWorker("w", "a"))
	s.Pending = pending(newJob("b", structs.KindBatch, 9000), 3)
	s.Pending[2].WorkDone = time.Hour
	qt.Assert(t, planText(s, now), qt.Equals, "+b/2@w")
}

// Guards against jobs that wait forever without a reason, and jobs that are reported as unschedulable although they
// only have to wait.
func TestUnschedulableJobs(t *testing.T) {
	s := newSnapshot(newWorker("w1", "a", running(newJob("x", structs.KindBatch, 8000), 0, 0)), newWorker("w2", "b"), newWorker("w3", "c"))
	s.Rules = scheduler.Rules{Out: outOfService("c"), RacksWithoutBatch: map[string]bool{"b-1": true}}
	s.Quotas.Teams = map[string]structs.Resources{"poor": {MilliCores: 500, MemoryMB: quota.Unlimited, Accelerators: quota.Unlimited}}
	for id, change := range map[string]func(job *structs.Job){
		"domain": func(job *structs.Job) { job.Constraints.FailureDomains = []string{"nowhere"} },
		"poor":   func(job *structs.Job) { job.Team = "poor" },
		"large":  func(job *structs.Job) { job.Resources.MilliCores = 17000 },
		"full":   func(job *structs.Job) { job.Resources.MilliCores = 16000 },
		"out":    func(job *structs.Job) { job.Constraints.FailureDomains = []string{"c"} },
		"rack":   func(job *structs.Job) { job.Constraints.Racks = []string{"b-1"} },
		"empty":  func(job *structs.Job) { job.Resources = structs.Resources{} },
		"fine":   func(*structs.Job) {},
	} {
		job := newJob(id, structs.KindBatch, 1000)
		change(job)
		s.Pending = append(s.Pending, scheduler.PendingTask{Job: job})
	}
	c := qt.New(t)
	got := scheduler.Plan(s, now)
	reasons := map[string]string{}
	for _, v := range got.Unschedulable {
		reasons[v.JobID] = v.Reason
	}
	c.Assert(reasons, qt.HasLen, 5)
	c.Assert(reasons["domain"], qt.Matches, ".*of 3 workers 3 are in other failure domains")
	c.Assert(reasons["poor"], qt.Matches, "one task needs 1000 millicores.*quota of team poor: 500 millicores, unlimited MB.*")
	c.Assert(reasons["large"], qt.Matches, ".*3 are too small")
	c.Assert(reasons["rack"], qt.Matches, ".*1 are in racks without batch, 2 are in other racks")
	c.Assert(reasons["empty"], qt.Matches, "declared resources are negative or all zero.*")
	c.Assert(planText(s, now), qt.Equals, "+fine/0@w1")
	s.Workers = nil
	c.Assert(scheduler.Plan(s, now).Unschedulable, qt.HasLen, 2, qt.Commentf("without workers, only the quota and invalid resources can be checked"))
}

// Guards against a learned size that fits no worker or exceeds the quota, and so blocks a job that would fit with its
// declared resources.
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

// Guards against rejections with a reason other than the rule that keeps batch tasks off the worker.
func TestRejectionReasons(t *testing.T) {
	c := qt.New(t)
	s := scheduler.Snapshot{Workers: []scheduler.WorkerView{newWorker("full", "a"), newWorker("free", "b"), newWorker("away", "c")}}
	small, large := newJob("small", structs.KindBatch, 4000), newJob("large", structs.KindBatch, 15000)
	addRunning(&s.Workers[0], newJob("x", structs.KindBatch, 13000))
	s.Rules.Out = map[string]time.Time{"c": now}
	s.Pending = append(pending(large, 2), pending(small, 5)...)
	var planner scheduler.Planner
	c.Assert(planner.Plan(s, now).Place, qt.HasLen, 1)
	c.Assert(planner.Rejections(), qt.DeepEquals, map[string]map[string]scheduler.Reason{
		"full": {"large": plugins.ReasonCapacity, "small": plugins.ReasonCapacity},
		"free": {"large": plugins.ReasonCapacity, "small": plugins.ReasonCapacity},
		"away": {"large": plugins.ReasonEvacuating, "small": plugins.ReasonEvacuating},
	})
}
