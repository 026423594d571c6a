package shard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

var modelStart = time.Unix(1_000_000, 0)

func modelRules() config.Rules {
	return config.Rules{
		Services:     []config.Service{{Name: "svc", LatencyTarget: 60 * time.Millisecond}},
		Interference: config.Interference{MaxSlowdown: 1.25}, Sizing: config.Sizing{Percentile: 0.95, Headroom: 0.15},
	}
}

// heartbeatWith returns a heartbeat of a worker that runs one batch task next to an upstream, or none if used is zero.
func heartbeatWith(share, millis float64, used structs.Resources) structs.Heartbeat {
	hb := structs.Heartbeat{
		Worker:   structs.Worker{Name: "w", Capacity: structs.Resources{MilliCores: 10_000, MemoryMB: 10_000}},
		Services: []structs.ServiceLatency{{Service: "svc", Millis: millis}},
	}
	if !used.IsZero() {
		hb.Running = []structs.AllocationState{{State: structs.TaskRunning, Allocation: structs.Allocation{
			ID: "a", Kind: structs.KindBatch, Class: "noisy", Resources: structs.Resources{MilliCores: 5000, MemoryMB: 100},
		}}}
		hb.Usage = []structs.TaskUsage{{AllocationID: "a", Used: used, Share: share}}
	}
	return hb
}

// Guards against learned sizes that are not used in plans, and against sizes learned from throttled tasks.
func TestPlansUseLearnedSizes(t *testing.T) {
	c := qt.New(t)
	job := &structs.Job{ID: "j", Kind: structs.KindBatch, Class: "noisy", Resources: structs.Resources{MilliCores: 1000, MemoryMB: 1000}}
	reserve := func(share float64) structs.Resources {
		l := newModels(modelRules(), ModelSummary{}, modelStart)
		for i := range 200 {
			hb := heartbeatWith(share, 20, structs.Resources{MilliCores: 3000, MemoryMB: 500})
			l.observeHeartbeat(&hb, modelStart.Add(time.Duration(i)*time.Second))
		}
		input := scheduler.Snapshot{Pending: []scheduler.PendingTask{{Job: job}}}
		l.prepareSnapshot(&input, modelRules(), nil, modelStart.Add(200*time.Second))
		return input.Pending[0].Resources
	}
	learned := reserve(1)
	c.Assert(learned.MilliCores >= 3000 && learned.MemoryMB < 1000, qt.IsTrue, qt.Commentf("%+v", learned))
	c.Assert(reserve(0.1), qt.Equals, job.Resources)
}

// Guards against latencies of upstreams that are reported but don't update the interference model.
func TestUpstreamLatenciesUpdateInterference(t *testing.T) {
	c := qt.New(t)
	l := newModels(modelRules(), ModelSummary{}, modelStart)
	now := modelStart
	for cycle := range 6 {
		for range 20 {
			now = now.Add(time.Second)
			hb := heartbeatWith(1, 30, structs.Resources{})
			if cycle%2 == 1 {
				hb = heartbeatWith(1, 90, structs.Resources{MilliCores: 5000, MemoryMB: 100})
			}
			l.observeHeartbeat(&hb, now)
		}
	}
	c.Assert(l.interference.Estimate("svc", "noisy").Blocked, qt.IsTrue)
	view := &lifecycle.WorkerView{Worker: structs.Worker{Name: "w"}, Services: []structs.ServiceLatency{{Service: "svc"}}}
	c.Assert(upstreamTasks(view)[0].Job.Class, qt.Equals, "svc")
}

// Guards against placement by limits of outdated rules until the shard's owner changes.
func TestChangedLimitsApplyImmediately(t *testing.T) {
	c := qt.New(t)
	rules := modelRules()
	l := newModels(rules, ModelSummary{}, modelStart)
	for second := range 20 {
		hb := heartbeatWith(1, 20, structs.Resources{})
		l.observeHeartbeat(&hb, modelStart.Add(time.Duration(second)*time.Second))
	}
	limit := func() float64 {
		l.prepareSnapshot(&scheduler.Snapshot{}, rules, nil, modelStart.Add(time.Minute))
		return l.interference.Estimate("svc", "noisy").Limit
	}
	c.Assert(limit() > 2, qt.IsTrue, qt.Commentf("%g of a service that answers in a third of its target", limit()))
	rules.Services[0].LatencyTarget = 20 * time.Millisecond
	c.Assert(limit(), qt.Equals, 1.25)
	rules.Interference.MaxSlowdown = 1.1
	c.Assert(limit(), qt.Equals, 1.1)
	rules.Services[0].LatencyTarget = 60 * time.Millisecond
	c.Assert(limit() > 2, qt.IsTrue)
	rules.Services = nil
	c.Assert(limit(), qt.Equals, 1.1, qt.Commentf("the service has no target any more"))
}

// Guards against a rule on the failure domains of a service that has no effect, or that overrides the job's own
// constraint.
func TestRulesRestrictServices(t *testing.T) {
	c := qt.New(t)
	rules := modelRules()
	rules.Services[0].FailureDomains = []string{"north"}
	specs := serviceSpecs{rules: rules, restricted: map[string]*structs.Job{}}
	job := &structs.Job{ID: "j", Name: "svc", Kind: structs.KindService}
	c.Assert(specs.effectiveSpec(job).Constraints.FailureDomains, qt.DeepEquals, []string{"north"})
	first := specs.effectiveSpec(job)
	c.Assert(specs.effectiveSpec(job) == first, qt.IsTrue)
	c.Assert(job.Constraints.FailureDomains, qt.HasLen, 0)
	own := &structs.Job{ID: "k", Name: "svc", Kind: structs.KindService, Constraints: structs.Constraints{FailureDomains: []string{"south"}}}
	c.Assert(specs.effectiveSpec(own) == own, qt.IsTrue)
	batch := &structs.Job{ID: "l", Name: "svc", Kind: structs.KindBatch}
	c.Assert(specs.effectiveSpec(batch) == batch, qt.IsTrue)
}

// Guards against a throttled load that counts in full whenever a heartbeat carries no usage, so that its interference
// is underestimated. In this test a quarter of the worker triples the latency.
func TestThrottledLoadsStayThrottled(t *testing.T) {
	c := qt.New(t)
	l := newModels(modelRules(), ModelSummary{}, modelStart)
	now := modelStart
	for second := range 120 {
		now = now.Add(time.Second)
		hb := heartbeatWith(0.5, 30, structs.Resources{})
		if second >= 20 {
			hb = heartbeatWith(0.5, 90, structs.Resources{MilliCores: 5000, MemoryMB: 100})
			if second%5 != 0 {
				hb.Usage = nil
			}
		}
		l.observeHeartbeat(&hb, now)
	}
	estimate := l.interference.Estimate("svc", "noisy")
	c.Assert(estimate.Known && estimate.Slowdown > 8, qt.IsTrue, qt.Commentf("%+v", estimate))
}

// Guards against a quarantined worker that gets no task for ProbeTimeout after its probe ended without a result.
func TestProbeThatEndsWithoutResultAdmitsAnother(t *testing.T) {
	id := structs.TaskID{JobID: "probe"}
	type end func(m *lifecycle.Machine, hb structs.Heartbeat, alloc structs.Allocation, now time.Time)
	report := func(m *lifecycle.Machine, hb structs.Heartbeat, now time.Time) {
		_, _ = m.Heartbeat(now, now, hb, true, true)
	}
	for name, ends := range map[string]end{
		"evicted": func(m *lifecycle.Machine, hb structs.Heartbeat, alloc structs.Allocation, now time.Time) {
			hb.Results = []structs.TaskResult{{AllocationID: alloc.ID, Task: id, Attempt: 1, State: structs.TaskPending}}
			report(m, hb, now)
		},
		"cancelled": func(m *lifecycle.Machine, hb structs.Heartbeat, alloc structs.Allocation, now time.Time) {
			m.Cancel(id.JobID, now)
			hb.Results = []structs.TaskResult{{AllocationID: alloc.ID, Task: id, Attempt: 1, State: structs.TaskPending}}
			report(m, hb, now)
		},
		"missing": func(m *lifecycle.Machine, hb structs.Heartbeat, _ structs.Allocation, now time.Time) {
			report(m, hb, now)
		},
		"lost": func(m *lifecycle.Machine, _ structs.Heartbeat, _ structs.Allocation, now time.Time) {
			m.Expire(now.Add(time.Minute), now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := modelStart
			l := newModels(modelRules(), ModelSummary{}, now)
			m := lifecycle.NewMachine(lifecycle.DefaultSettings(), lifecycle.LeasePeriods{}, 0, 1, lifecycle.NewState(), now)
			m.OnAttemptEnd = func(e lifecycle.AttemptEnd) { l.observeAttemptEnd(e, now) }
			for _, job := range []string{"a", "b", "c"} {
				l.observeAttemptEnd(lifecycle.AttemptEnd{Task: structs.TaskID{JobID: job}, Worker: "w", Failed: true}, now)
			}
			now = now.Add(quarantine.DefaultBackoff)
			c.Assert(l.quarantine.Admits("w", now), qt.Equals, quarantine.AdmitProbe)

			m.Accept(structs.Job{ID: id.JobID, Kind: structs.KindBatch, Tasks: 1, Resources: structs.Resources{MilliCores: 1}})
			hb := structs.Heartbeat{Worker: structs.Worker{Name: "w"}, Incarnation: "i", Sequence: 1, Epoch: 1}
			report(m, hb, now)
			c.Assert(m.Place(id, "w", structs.Resources{MilliCores: 1}), qt.IsTrue)
			l.recordPlacement("w", now)
			alloc := m.LiveAttempts()[lifecycle.AllocationID(id, 1)].Alloc
			m.Committed(len(m.PendingEvents()))
			hb.Running = []structs.AllocationState{{Allocation: alloc, State: structs.TaskRunning}}
			hb.Sequence++
			report(m, hb, now)
			c.Assert(l.quarantine.Admits("w", now), qt.Equals, quarantine.AdmitNone)

			hb.Running = nil
			hb.Sequence++
			now = now.Add(time.Second)
			ends(m, hb, alloc, now)
			c.Assert(m.LiveAttempts(), qt.HasLen, 0)
			c.Assert(l.quarantine.Admits("w", now), qt.Equals, quarantine.AdmitProbe)
		})
	}
}
