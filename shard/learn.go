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

const (
	// advanceEvery is how often the models apply the time that has passed.
	advanceEvery = time.Second
	// maxPeaks bounds the tasks whose highest usage is remembered. At the bound the table starts again, and the tasks that
	// run are observed within a heartbeat.
	maxPeaks = 100_000
)

// learner feeds what workers report to the models, and their estimates to plans. It starts empty with each term, and
// its owner's mutex guards it.
type learner struct {
	sizes        *sizing.Model
	interference *interference.Model
	quarantine   *quarantine.Model
	objectives   map[string]time.Duration
	peaks        map[structs.TaskID]structs.Resources
	advanced     time.Time
}

func newLearner(rules config.Rules) *learner {
	l := &learner{
		sizes: sizing.New(sizing.Config{
			CorePercentile: rules.Sizing.Percentile, CoreHeadroom: 1 + rules.Sizing.Headroom, MemoryHeadroom: 1 + rules.Sizing.Headroom,
		}),
		interference: interference.New(interference.Config{Limit: rules.Interference.MaxSlowdown}),
		quarantine:   quarantine.New(quarantine.Config{}),
		objectives:   map[string]time.Duration{},
		peaks:        map[structs.TaskID]structs.Resources{},
	}
	for _, service := range rules.Services {
		l.objectives[service.Name] = service.LatencyTarget
		l.interference.SetObjective(service.Name, float64(service.LatencyTarget)/float64(time.Millisecond))
	}
	return l
}

// heartbeat learns from one report of a worker.
func (l *learner) heartbeat(m *lifecycle.Machine, hb structs.Heartbeat, now time.Time) {
	usage := make(map[string]structs.TaskUsage, len(hb.Usage))
	for _, u := range hb.Usage {
		usage[u.AllocationID] = u
	}
	l.interference.SetLoads(hb.Worker.Name, batchLoads(hb, usage), now)
	for _, running := range hb.Running {
		u, ok := usage[running.Allocation.ID]
		if !ok {
			continue
		}
		age := time.Duration(u.AgeMillis) * time.Millisecond
		if running.Allocation.Kind == structs.KindService {
			l.interference.Observe(hb.Worker.Name, running.Allocation.Class, u.LatencyMillis, age, now)
		}
		l.size(running.Allocation, u, age, now)
	}
	for _, service := range hb.Services {
		age := time.Duration(service.AgeMillis) * time.Millisecond
		l.interference.Observe(hb.Worker.Name, service.Service, service.Millis, age, now)
	}
	l.quarantine.SetFleet(len(m.Workers()))
	if now.Sub(l.advanced) >= advanceEvery {
		l.advanced = now
		l.interference.Advance(now)
		l.quarantine.Advance(now)
	}
}

// size learns the usage of a class. A throttled task uses less than it needs, so it teaches nothing.
func (l *learner) size(a structs.Allocation, u structs.TaskUsage, age time.Duration, now time.Time) {
	if u.Throttled() || u.Used.IsZero() {
		return
	}
	l.sizes.Observe(a.Class, u.Used, age, now)
	if len(l.peaks) >= maxPeaks {
		clear(l.peaks)
	}
	peak := l.peaks[a.Task]
	l.peaks[a.Task] = structs.Resources{
		MilliCores: max(peak.MilliCores, u.Used.MilliCores), MemoryMB: max(peak.MemoryMB, u.Used.MemoryMB),
	}
}

func batchLoads(hb structs.Heartbeat, usage map[string]structs.TaskUsage) []interference.Load {
	if hb.Worker.Capacity.MilliCores <= 0 {
		return nil
	}
	var loads []interference.Load
	at := map[string]int{}
	for _, running := range hb.Running {
		a := running.Allocation
		if a.Kind != structs.KindBatch || running.State != structs.TaskRunning {
			continue
		}
		i, known := at[a.Class]
		if !known {
			i = len(loads)
			at[a.Class] = i
			loads = append(loads, interference.Load{Class: a.Class})
		}
		share := float64(a.Resources.MilliCores) / float64(hb.Worker.Capacity.MilliCores)
		if u := usage[a.ID]; u.Throttled() {
			share *= u.Share
		}
		loads[i].Share += share
	}
	return loads
}

// ended learns from the end of an attempt.
func (l *learner) ended(o lifecycle.Observation, now time.Time) {
	switch {
	case o.Failed:
		l.quarantine.Failed(o.Task.JobID, o.Worker, now)
	case o.Finished:
		l.quarantine.Succeeded(o.Task.JobID, o.Worker, now)
	default:
		l.quarantine.ProbeEnded(o.Worker)
	}
	delete(l.peaks, o.Task)
}

// refine completes the input of a plan: learned sizes, the models, and no task of a job that fails wherever it runs.
// It returns the jobs that are held back, with the reason.
func (l *learner) refine(input *scheduler.Snapshot, now time.Time) map[string]string {
	input.Interference, input.Quarantine = l.interference, l.quarantine
	held := map[string]string{}
	kept := input.Pending[:0]
	for _, task := range input.Pending {
		reason, seen := held[task.Job.ID]
		if !seen {
			reason = l.quarantine.JobVerdict(task.Job.ID)
			held[task.Job.ID] = reason
		}
		if reason != "" {
			continue
		}
		if task.Job.Kind == structs.KindBatch {
			task.Resources = l.sizes.Reservation(task.Job.Class, task.Job.Resources, l.peaks[task.ID()], now)
		}
		kept = append(kept, task)
	}
	input.Pending = kept
	for id, reason := range held {
		if reason == "" {
			delete(held, id)
		}
	}
	return held
}

// placed notes that a worker on probation got its probe.
func (l *learner) placed(d scheduler.Decisions, now time.Time) {
	for _, p := range d.Place {
		if l.quarantine.Admits(p.Worker, now) == quarantine.Probe {
			l.quarantine.ProbeStarted(p.Worker, now)
		}
	}
}
