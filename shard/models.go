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
	m := &models{
		sizes: sizing.New(sizing.Config{
			CorePercentile: rules.Sizing.Percentile, CoreHeadroom: headroom, MemoryHeadroom: headroom,
		}),
		interference: interference.New(interference.Config{}),
		quarantine:   quarantine.New(quarantine.Config{}), lastAdvance: now,
		shares: map[string]map[string]float64{},
	}
	m.setLimits(rules)
	m.sizes.Import(summary.Sizes, now)
	m.interference.Import(summary.Interference, now)
	return m
}

// setLimits applies the operators' limits on interference. It is called for each plan, since changed rules must apply
// immediately and not only to the next owner.
func (m *models) setLimits(rules config.Rules) {
	m.interference.SetLimit(rules.Interference.MaxSlowdown)
	last := m.objectives
	m.objectives = make(map[string]bool, len(rules.Services))
	for _, service := range rules.Services {
		m.objectives[service.Name] = true
		m.interference.SetObjective(service.Name, float64(service.LatencyTarget)/float64(time.Millisecond))
	}
	for service := range last {
		if !m.objectives[service] {
			m.interference.SetObjective(service, 0)
		}
	}
}

func (m *models) summary(now time.Time) ModelSummary {
	return ModelSummary{Sizes: m.sizes.Export(maxClasses, now), Interference: m.interference.Export(maxInterferencePairs, now)}
}

// observeHeartbeat updates the models with the usage and latencies that a worker reports.
func (m *models) observeHeartbeat(hb *structs.Heartbeat, now time.Time) {
	running := make(map[string]structs.Allocation, len(hb.Running))
	for _, r := range hb.Running {
		running[r.Allocation.ID] = r.Allocation
	}
	m.setLoads(hb, now)
	for _, usage := range hb.Usage {
		alloc, ok := running[usage.AllocationID]
		if !ok {
			continue
		}
		age := time.Duration(usage.AgeMillis) * time.Millisecond
		switch {
		case alloc.Kind == structs.KindService:
			m.observeLatency(hb.Worker.Name, alloc.Class, usage.LatencyMillis, age, now)
		case !usage.Throttled():
			// A throttled task uses less than it needs, so its usage says nothing about its size.
			m.sizes.Observe(alloc.Class, usage.Used, alloc.Resources, age, now)
		}
	}
	for _, s := range hb.Services {
		m.observeLatency(hb.Worker.Name, s.Service, s.Millis, time.Duration(s.AgeMillis)*time.Millisecond, now)
	}
}

func (m *models) observeLatency(worker, service string, millis float64, age time.Duration, now time.Time) {
	if millis > 0 {
		m.interference.Observe(worker, service, millis, age, now)
	}
}

// setLoads updates the batch load of a worker in the interference model, reduced by the guard's throttling.
func (m *models) setLoads(hb *structs.Heartbeat, now time.Time) {
	// Most heartbeats carry no usage; the last report remains valid until the next one.
	if len(hb.Usage) > 0 {
		throttled := map[string]float64{}
		for _, usage := range hb.Usage {
			if usage.Throttled() {
				throttled[usage.AllocationID] = usage.Share
			}
		}
		if len(m.shares) >= interference.MaxWorkers {
			clear(m.shares)
		}
		m.shares[hb.Worker.Name] = throttled
	}
	share := m.shares[hb.Worker.Name]
	cores := map[string]float64{}
	for _, r := range hb.Running {
		if r.Allocation.Kind != structs.KindBatch || r.State != structs.TaskRunning {
			continue
		}
		milliCores := float64(r.Allocation.Resources.MilliCores)
		if limited, throttled := share[r.Allocation.ID]; throttled {
			milliCores *= limited
		}
		cores[r.Allocation.Class] += milliCores
	}
	var loads []interference.Load
	for class, used := range cores {
		loads = append(loads, interference.Load{Class: class, Share: used / float64(max(1, hb.Worker.Capacity.MilliCores))})
	}
	m.interference.SetLoads(hb.Worker.Name, loads, now)
}

// observeAttemptEnd updates the quarantine model with an attempt that has ended.
func (m *models) observeAttemptEnd(end lifecycle.AttemptEnd, now time.Time) {
	switch {
	case end.Inconclusive:
		m.quarantine.RecordProbeAbort(end.Worker)
	case end.Failed:
		m.quarantine.RecordFailure(end.Task.JobID, end.Worker, now)
	default:
		m.quarantine.RecordSuccess(end.Task.JobID, end.Worker, now)
	}
}

// recordPlacement records that a task starts on a worker. If the worker is quarantined and due
// for a probe, this task is the probe.
func (m *models) recordPlacement(worker string, now time.Time) {
	if m.quarantine.Admits(worker, now) == quarantine.AdmitProbe {
		m.quarantine.RecordProbeStart(worker, now)
	}
}

// prepareSnapshot adds the models to the scheduler's input after applying the current rules. peaks holds the highest
// usage of each task that has run.
func (m *models) prepareSnapshot(input *scheduler.Snapshot, rules config.Rules, peaks map[structs.TaskID]structs.Resources, now time.Time) {
	m.setLimits(rules)
	if now.Sub(m.lastAdvance) >= advanceInterval {
		m.lastAdvance = now
		m.quarantine.Advance(now)
		m.interference.Advance(now)
	}
	m.quarantine.SetFleetSize(len(input.Workers))
	input.Interference, input.Quarantine = m.interference, m.quarantine
	for i := range input.Pending {
		task := &input.Pending[i]
		if task.Job.Kind == structs.KindBatch {
			task.Resources = m.sizes.Reservation(task.Job.Class, task.Job.Resources, peaks[task.ID()], now)
		}
	}
}
