package shard

import (
	"time"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/sizing"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// models holds the models that an owner trains on heartbeats. It is not safe for concurrent use.
type models struct {
	sizes        *sizing.Model
	interference *interference.Model
	quarantine   *quarantine.Model
	lastAdvance  time.Time
	// objectives is the set of services that had a latency target in the rules that were applied last.
	objectives map[string]bool
	// shares holds the CPU shares that the guard leaves to throttled tasks, by worker and allocation, as of the newest
	// usage report.
	shares map[string]map[string]float64
}

const (
	// advanceInterval is how often old observations are dropped and expired blocks are removed.
	advanceInterval = time.Second
	// maxClasses and maxInterferencePairs bound the model summary in the snapshot to about 100 KB.
	maxClasses           = 512
	maxInterferencePairs = 1024
)

// ModelSummary is the part of the models that is stored in the snapshot for the next owner.
type ModelSummary struct {
	Sizes        []sizing.ClassSummary `json:"sizes,omitempty"`
	Interference interference.Summary  `json:"interference"`
}

// newModels returns models initialized from the summary of an earlier owner and the parameters in the operators' rules.
func newModels(rules config.Rules, summary ModelSummary, now time.Time) *models {
	headroom := 1 + rules.Sizing.Headroom
	l := &models{
		sizes: sizing.New(sizing.Config{
			CorePercentile: rules.Sizing.Percentile, CoreHeadroom: headroom, MemoryHeadroom: headroom,
		}),
		interference: interference.New(interference.Config{}),
		quarantine:   quarantine.New(quarantine.Config{}), lastAdvance: now,
		shares: map[string]map[string]float64{},
	}
	l.setLimits(rules)
	l.sizes.Import(summary.Sizes, now)
	l.interference.Import(summary.Interference, now)
	return l
}

// setLimits applies the operators' limits on interference. It is called for each plan, since changed rules must apply
// immediately and not only to the next owner.
func (l *models) setLimits(rules config.Rules) {
	l.interference.SetLimit(rules.Interference.MaxSlowdown)
	last := l.objectives
	l.objectives = make(map[string]bool, len(rules.Services))
	for _, service := range rules.Services {
		l.objectives[service.Name] = true
		l.interference.SetObjective(service.Name, float64(service.LatencyTarget)/float64(time.Millisecond))
	}
	for service := range last {
		if !l.objectives[service] {
			l.interference.SetObjective(service, 0)
		}
	}
}

func (l *models) summary(now time.Time) ModelSummary {
	return ModelSummary{Sizes: l.sizes.Export(maxClasses, now), Interference: l.interference.Export(maxInterferencePairs, now)}
}

// observeHeartbeat updates the models with the usage and latencies that a worker reports.
func (l *models) observeHeartbeat(hb *structs.Heartbeat, now time.Time) {
	running := make(map[string]structs.Allocation, len(hb.Running))
	for _, r := range hb.Running {
		running[r.Allocation.ID] = r.Allocation
	}
	l.setLoads(hb, now)
	for _, usage := range hb.Usage {
		alloc, ok := running[usage.AllocationID]
		if !ok {
			continue
		}
		age := time.Duration(usage.AgeMillis) * time.Millisecond
		switch {
		case alloc.Kind == structs.KindService:
			l.observeLatency(hb.Worker.Name, alloc.Class, usage.LatencyMillis, age, now)
		case !usage.Throttled():
			// A throttled task uses less than it needs, so its usage says nothing about its size.
			l.sizes.Observe(alloc.Class, usage.Used, alloc.Resources, age, now)
		}
	}
	for _, s := range hb.Services {
		l.observeLatency(hb.Worker.Name, s.Service, s.Millis, time.Duration(s.AgeMillis)*time.Millisecond, now)
	}
}

func (l *models) observeLatency(worker, service string, millis float64, age time.Duration, now time.Time) {
	if millis > 0 {
		l.interference.Observe(worker, service, millis, age, now)
	}
}

// setLoads updates the batch load of a worker in the interference model, reduced by the guard's throttling.
func (l *models) setLoads(hb *structs.Heartbeat, now time.Time) {
	// Most heartbeats carry no usage; the last report remains valid until the next one.
	if len(hb.Usage) > 0 {
		throttled := map[string]float64{}
		for _, usage := range hb.Usage {
			if usage.Throttled() {
				throttled[usage.AllocationID] = usage.Share
			}
		}
		if len(l.shares) >= interference.MaxWorkers {
			clear(l.shares)
		}
		l.shares[hb.Worker.Name] = throttled
	}
	share := l.shares[hb.Worker.Name]
	cores := map[string]float64{}
	for _, r := range hb.Running {
		if r.Allocation.Kind != structs.KindBatch || r.State != structs.TaskRunning {
			continue
		}
		part := float64(r.Allocation.Resources.MilliCores)
		if limited, throttled := share[r.Allocation.ID]; throttled {
			part *= limited
		}
		cores[r.Allocation.Class] += part
	}
	var loads []interference.Load
	for class, used := range cores {
		loads = append(loads, interference.Load{Class: class, Share: used / float64(max(1, hb.Worker.Capacity.MilliCores))})
	}
	l.interference.SetLoads(hb.Worker.Name, loads, now)
}

// observeAttemptEnd updates the quarantine model with an attempt that finished or failed.
func (l *models) observeAttemptEnd(o lifecycle.AttemptEnd, now time.Time) {
	if o.Failed {
		l.quarantine.Failed(o.Task.JobID, o.Worker, now)
	} else {
		l.quarantine.Succeeded(o.Task.JobID, o.Worker, now)
	}
}

// recordPlacement records that a task starts on a worker. If the worker is quarantined, the task is its probe.
func (l *models) recordPlacement(worker string, now time.Time) {
	if l.quarantine.Admits(worker, now) == quarantine.Probe {
		l.quarantine.ProbeStarted(worker, now)
	}
}

// prepareSnapshot adds the models to the scheduler's input after applying the current rules. peaks holds the highest
// usage of each task that has run.
func (l *models) prepareSnapshot(input *scheduler.Snapshot, rules config.Rules, peaks map[structs.TaskID]structs.Resources, now time.Time) {
	l.setLimits(rules)
	if now.Sub(l.lastAdvance) >= advanceInterval {
		l.lastAdvance = now
		l.quarantine.Advance(now)
		l.interference.Advance(now)
	}
	l.quarantine.SetFleet(len(input.Workers))
	input.Interference, input.Quarantine = l.interference, l.quarantine
	for i := range input.Pending {
		task := &input.Pending[i]
		if task.Job.Kind == structs.KindBatch {
			task.Resources = l.sizes.Reservation(task.Job.Class, task.Job.Resources, peaks[task.ID()], now)
		}
	}
}
