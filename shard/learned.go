package shard

import (
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/sizing"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/structs"
)

// learned holds what an owner learns from heartbeats. It is not safe for concurrent use.
type learned struct {
	sizes        *sizing.Model
	interference *interference.Model
	quarantine   *quarantine.Model
	advanced     time.Time
}

const (
	// advanceEvery is how often aged evidence is dropped.
	advanceEvery = time.Minute
	// maxClasses and maxPairs bound the summary in the snapshot, to about 100 KB.
	maxClasses = 512
	maxPairs   = 1024
)

// Learned is the part of what was learned that a new owner takes over, as part of the snapshot.
type Learned struct {
	Sizes        []sizing.ClassSummary `json:"sizes,omitempty"`
	Interference interference.Summary  `json:"interference"`
}

func newLearned(summary Learned, now time.Time) *learned {
	l := &learned{
		sizes: sizing.New(sizing.Config{}), interference: interference.New(interference.Config{}),
		quarantine: quarantine.New(quarantine.Config{}), advanced: now,
	}
	l.sizes.Import(summary.Sizes, now)
	l.interference.Import(summary.Interference, now)
	return l
}

func (l *learned) summary(now time.Time) Learned {
	return Learned{Sizes: l.sizes.Export(maxClasses, now), Interference: l.interference.Export(maxPairs, now)}
}

// heartbeat learns from the usage and the latencies that a worker reports.
func (l *learned) heartbeat(hb *structs.Heartbeat, now time.Time) {
	running := make(map[string]structs.Allocation, len(hb.Running))
	shares := map[string]int64{}
	for _, r := range hb.Running {
		running[r.Allocation.ID] = r.Allocation
		if r.Allocation.Kind == structs.KindBatch && r.State == structs.TaskRunning {
			shares[r.Allocation.Class] += r.Allocation.Resources.MilliCores
		}
	}
	var loads []interference.Load
	for class, cores := range shares {
		loads = append(loads, interference.Load{
			Class: class, Share: float64(cores) / float64(max(1, hb.Worker.Capacity.MilliCores)),
		})
	}
	l.interference.SetLoads(hb.Worker.Name, loads, now)
	for _, usage := range hb.Usage {
		alloc, ok := running[usage.AllocationID]
		if !ok {
			continue
		}
		age := time.Duration(usage.AgeMillis) * time.Millisecond
		if alloc.Kind == structs.KindBatch {
			l.sizes.Observe(alloc.Class, usage.Used, age, now)
		} else if usage.LatencyMillis > 0 {
			l.interference.Observe(hb.Worker.Name, alloc.Class, usage.LatencyMillis, age, now)
		}
	}
}

// ended learns from an attempt that has ended by itself.
func (l *learned) ended(o lifecycle.Observation, now time.Time) {
	if o.Failed {
		l.quarantine.Failed(o.Task.JobID, o.Worker, now)
	} else {
		l.quarantine.Succeeded(o.Task.JobID, o.Worker, now)
	}
}

// placed notes that a task starts on a worker, which may be the one that a quarantined worker is tried with.
func (l *learned) placed(worker string, now time.Time) {
	if l.quarantine.Admits(worker, now) == quarantine.Probe {
		l.quarantine.ProbeStarted(worker, now)
	}
}

// prepare adds what was learned to the scheduler's input. peaks holds the highest usage of each task that has run.
func (l *learned) prepare(input *scheduler.Snapshot, peaks map[structs.TaskID]structs.Resources, now time.Time) {
	if now.Sub(l.advanced) >= advanceEvery {
		l.advanced = now
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
