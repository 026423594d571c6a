package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/scheduler/quota"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Recording is a snapshot that can be written as JSON without loss, so that recorded traces can be replayed: each job
// appears once, and the learned models are replaced by their results. The plan of the replayed snapshot equals the
// original one.
type Recording struct {
	Now     time.Time                    `json:"now"`
	Jobs    []structs.Job                `json:"jobs,omitempty"`
	Workers []RecordedWorker             `json:"workers,omitempty"`
	Pending []RecordedPending            `json:"pending,omitempty"`
	Rules   Rules                        `json:"rules"`
	Quotas  quota.Limits                 `json:"quotas"`
	Used    map[string]structs.Resources `json:"used,omitempty"`
	// Learned tells whether the snapshot had an interference model. Estimates holds the model's results for all pairs
	// of classes in the snapshot.
	Learned   bool               `json:"learned,omitempty"`
	Estimates []RecordedEstimate `json:"estimates,omitempty"`
	// Admissions holds the workers that the quarantine restricts.
	Admissions map[string]quarantine.Admission `json:"admissions,omitempty"`
}

// RecordedWorker is a worker of a recording.
type RecordedWorker struct {
	Worker        structs.Worker    `json:"worker"`
	Reported      bool              `json:"reported,omitempty"`
	Draining      bool              `json:"draining,omitempty"`
	DrainingSince time.Time         `json:"draining_since,omitzero"`
	Running       []RecordedRunning `json:"running,omitempty"`
}

// RecordedRunning is an allocation of a recording. Job is an index into Recording.Jobs.
type RecordedRunning struct {
	AllocationID string            `json:"allocation_id"`
	Job          int               `json:"job"`
	Index        int               `json:"index"`
	Attempt      int               `json:"attempt,omitempty"`
	Resources    structs.Resources `json:"resources"`
	State        structs.TaskState `json:"state"`
	Ready        bool              `json:"ready,omitempty"`
	Replaces     string            `json:"replaces,omitempty"`
	WorkDone     time.Duration     `json:"work_done,omitempty"`
}

// RecordedPending is a pending task of a recording. Job is an index into Recording.Jobs.
type RecordedPending struct {
	Job       int               `json:"job"`
	Index     int               `json:"index"`
	Attempt   int               `json:"attempt,omitempty"`
	Resources structs.Resources `json:"resources"`
	Since     time.Time         `json:"since,omitzero"`
	NotBefore time.Time         `json:"not_before,omitzero"`
	WorkDone  time.Duration     `json:"work_done,omitempty"`
	Avoid     []string          `json:"avoid,omitempty"`
}

// RecordedEstimate is the interference estimate of one pair of classes.
type RecordedEstimate struct {
	Service  string                `json:"service"`
	Batch    string                `json:"batch"`
	Estimate interference.Estimate `json:"estimate"`
}

// Record returns the recording of a snapshot at a time. It shares no memory with the snapshot that is modified later.
func Record(s Snapshot, now time.Time) Recording {
	r := Recording{Now: now, Rules: s.Rules, Quotas: s.Quotas, Used: s.Used, Learned: s.Interference != nil}
	positions := map[string]int{}
	position := func(job *structs.Job) int {
		i, ok := positions[job.ID]
		if !ok {
			i = len(r.Jobs)
			positions[job.ID] = i
			r.Jobs = append(r.Jobs, *job)
		}
		return i
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		out := RecordedWorker{Worker: w.Worker, Reported: w.Reported, Draining: w.Draining, DrainingSince: w.DrainingSince}
		for _, t := range w.Running {
			out.Running = append(out.Running, RecordedRunning{
				t.AllocationID, position(t.Job), t.Index, t.Attempt, t.Resources, t.State, t.Ready, t.Replaces, t.WorkDone,
			})
		}
		r.Workers = append(r.Workers, out)
	}
	for _, t := range s.Pending {
		r.Pending = append(r.Pending, RecordedPending{
			position(t.Job), t.Index, t.Attempt, t.Resources, t.Since, t.NotBefore, t.WorkDone, slices.Clone(t.Avoid),
		})
	}
	r.recordModels(s, now)
	return r
}

func (r *Recording) recordModels(s Snapshot, now time.Time) {
	if s.Quarantine != nil {
		r.Admissions = map[string]quarantine.Admission{}
		for i := range s.Workers {
			if a := s.Quarantine.Admits(s.Workers[i].Name, now); a != quarantine.AdmitAll {
				r.Admissions[s.Workers[i].Name] = a
			}
		}
	}
	if s.Interference == nil {
		return
	}
	classes := map[structs.JobKind][]string{}
	for i := range r.Jobs {
		if job := &r.Jobs[i]; !slices.Contains(classes[job.Kind], job.Class) {
			classes[job.Kind] = append(classes[job.Kind], job.Class)
		}
	}
	for _, service := range classes[structs.KindService] {
		for _, batch := range classes[structs.KindBatch] {
			r.Estimates = append(r.Estimates, RecordedEstimate{service, batch, s.Interference.Estimate(service, batch)})
		}
	}
}

// Snapshot returns the recorded snapshot, or an error if a task refers to a job that the recording lacks.
func (r *Recording) Snapshot() (Snapshot, error) {
	s := Snapshot{Rules: r.Rules, Quotas: r.Quotas, Used: r.Used}
	for _, in := range r.Workers {
		w := WorkerView{Worker: in.Worker, Reported: in.Reported, Draining: in.Draining, DrainingSince: in.DrainingSince}
		for _, t := range in.Running {
			if t.Job < 0 || t.Job >= len(r.Jobs) {
				return Snapshot{}, fmt.Errorf("scheduler: allocation %s refers to job %d, and the recording has %d jobs", t.AllocationID, t.Job, len(r.Jobs))
			}
			w.Running = append(w.Running, RunningTask{
				t.AllocationID, &r.Jobs[t.Job], t.Index, t.Attempt, t.Resources, t.State, t.Ready, t.Replaces, t.WorkDone,
			})
		}
		s.Workers = append(s.Workers, w)
	}
	for i, t := range r.Pending {
		if t.Job < 0 || t.Job >= len(r.Jobs) {
			return Snapshot{}, fmt.Errorf("scheduler: pending task %d refers to job %d, and the recording has %d jobs", i, t.Job, len(r.Jobs))
		}
		s.Pending = append(s.Pending, PendingTask{
			Job: &r.Jobs[t.Job], Index: t.Index, Attempt: t.Attempt, Resources: t.Resources, Since: t.Since,
			NotBefore: t.NotBefore, WorkDone: t.WorkDone, Avoid: t.Avoid,
		})
	}
	if r.Learned {
		s.Interference = newRecordedEstimates(r.Estimates)
	}
	if r.Admissions != nil {
		s.Quarantine = recordedAdmissions(r.Admissions)
	}
	return s, nil
}

type recordedEstimates map[[2]string]interference.Estimate

func newRecordedEstimates(list []RecordedEstimate) recordedEstimates {
	estimates := recordedEstimates{}
	for _, e := range list {
		estimates[[2]string{e.Service, e.Batch}] = e.Estimate
	}
	return estimates
}

// Estimate returns the recorded estimate of a pair. Pairs that were not recorded count as unknown.
func (e recordedEstimates) Estimate(service, batch string) interference.Estimate {
	if estimate, ok := e[[2]string{service, batch}]; ok {
		return estimate
	}
	return interference.Estimate{Slowdown: 1}
}

type recordedAdmissions map[string]quarantine.Admission

// Admits returns the recorded admission; workers without one are unrestricted.
func (a recordedAdmissions) Admits(worker string, _ time.Time) quarantine.Admission { return a[worker] }
