package plugins_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/structs"
)

var now = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

func worker(name, domain string) scheduler.WorkerView {
	return scheduler.WorkerView{Reported: true, Worker: structs.Worker{
		Name: name, FailureDomain: domain, Rack: domain + "-1", Capacity: structs.Resources{MilliCores: 16000, MemoryMB: 60000},
	}}
}

func job(id string, kind structs.JobKind, milliCores int64) *structs.Job {
	return &structs.Job{ID: id, Team: "t", Name: id, Kind: kind, Class: id, Tasks: 1, Resources: structs.Resources{MilliCores: milliCores, MemoryMB: 100}}
}

// Guards against replicas of a service that share a failure domain although another one has room.
func TestServiceSpreads(t *testing.T) {
	c := qt.New(t)
	service := job("s", structs.KindService, 1000)
	got := scheduler.Plan(scheduler.Snapshot{
		Workers: []scheduler.WorkerView{worker("a1", "a"), worker("a2", "a"), worker("b1", "b"), worker("b2", "b")},
		Pending: []scheduler.PendingTask{{Job: service, Index: 0}, {Job: service, Index: 1}},
	}, now)
	c.Assert(got.Place, qt.HasLen, 2)
	c.Assert(got.Place[0].Worker[:1], qt.Not(qt.Equals), got.Place[1].Worker[:1])
}
