package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/interference"
	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

var now = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

// newWorker returns a reported worker with 16 cores and 60 GB, in the first rack of its failure domain.
func newWorker(name, domain string, running ...scheduler.RunningTask) scheduler.WorkerView {
	return scheduler.WorkerView{Reported: true, Running: running, Worker: structs.Worker{
		Name: name, FailureDomain: domain, Rack: domain + "-1", Capacity: structs.Resources{MilliCores: 16000, MemoryMB: 60000},
	}}
}

func newJob(id string, kind structs.JobKind, milliCores int64) *structs.Job {
	return &structs.Job{
		ID: id, Team: "team", Name: id, Kind: kind, Class: id, Tasks: 1,
		Resources: structs.Resources{MilliCores: milliCores, MemoryMB: 100}, Accepted: now.Add(-time.Minute),
	}
}

func pending(job *structs.Job, n int) []scheduler.PendingTask {
	tasks := make([]scheduler.PendingTask, n)
	for i := range tasks {
		tasks[i] = scheduler.PendingTask{Job: job, Index: i}
	}
	return tasks
}

func running(job *structs.Job, index int, workDone time.Duration) scheduler.RunningTask {
	return scheduler.RunningTask{
		AllocationID: fmt.Sprintf("%s/%d", job.ID, index), Job: job, Index: index, Resources: job.Resources,
		State: structs.TaskRunning, Ready: true, WorkDone: workDone,
	}
}

// placedOn maps each placed task, as job/index, to its worker.
func placedOn(d scheduler.Decisions) map[string]string {
	placed := map[string]string{}
	for _, p := range d.Place {
		placed[fmt.Sprintf("%s/%d", p.Task.JobID, p.Task.Index)] = p.Worker
	}
	return placed
}

// fixedEstimates is an interference model with fixed estimates by service and batch class. All other pairs are known
// to be harmless.
type fixedEstimates map[[2]string]interference.Estimate

func (e fixedEstimates) Estimate(service, batch string) interference.Estimate {
	if estimate, ok := e[[2]string{service, batch}]; ok {
		return estimate
	}
	return interference.Estimate{Slowdown: 1, Known: true}
}

// fixedAdmissions is a quarantine with fixed admissions by worker.
type fixedAdmissions map[string]quarantine.Admission

func (a fixedAdmissions) Admits(worker string, _ time.Time) quarantine.Admission { return a[worker] }

func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "1", "nofailfile": "true"})
}
