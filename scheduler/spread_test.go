package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/structs"
)

// spreadFixture returns a snapshot with two failure domains, of which b is full of batch, and a service that the rules
// spread over two domains.
func spreadFixture() (scheduler.Snapshot, *structs.Job) {
	batch := newJob("batch", structs.KindBatch, 16000)
	s := newSnapshot(newWorker("a1", "a"), newWorker("a2", "a"), newWorker("b1", "b", running(batch, 0, time.Second)))
	web := newJob("web", structs.KindService, 4000)
	web.Tasks = 2
	s.Pending = pending(web, 2)
	s.Rules.SpreadDomains = map[string]int{"web": 2}
	return s, web
}

// Guards against a service with all replicas in one failure domain because batch fills the others. If the rules
// require two domains, batch is preempted.
func TestServiceSpreadsByRule(t *testing.T) {
	c := qt.New(t)
	s, _ := spreadFixture()
	c.Assert(planText(s, now), qt.Equals, "+web/0@a1, -batch/0 preempted")
	s.Rules.SpreadDomains = nil
	c.Assert(planText(s, now), qt.Equals, "+web/0@a1, +web/1@a2")
}

// Guards against a replica that waits for a failure domain that can't take it: one that is out of service, one that is
// full of services, or one that the job excludes.
func TestSpreadNeedsRoomElsewhere(t *testing.T) {
	for name, change := range map[string]func(*scheduler.Snapshot, *structs.Job){
		"out of service":  func(s *scheduler.Snapshot, _ *structs.Job) { s.Rules.Out = outOfService("b") },
		"full of service": func(s *scheduler.Snapshot, _ *structs.Job) { s.Workers[2].Running[0].Job.Kind = structs.KindService },
		"excluded":        func(_ *scheduler.Snapshot, web *structs.Job) { web.Constraints.FailureDomains = []string{"a"} },
		"one replica":     func(s *scheduler.Snapshot, web *structs.Job) { web.Tasks, s.Pending = 1, s.Pending[:1] },
	} {
		c := qt.New(t)
		s, web := spreadFixture()
		change(&s, web)
		c.Assert(placedOn(scheduler.Plan(s, now)), qt.HasLen, len(s.Pending), qt.Commentf("%s", name))
	}
}

// Guards against counting replicas that are about to be evicted, which would leave all replicas in one domain after an
// evacuation.
func TestEvacuationSpreadsByRule(t *testing.T) {
	c := qt.New(t)
	web := newJob("web", structs.KindService, 4000)
	web.Tasks = 2
	batch := newJob("batch", structs.KindBatch, 16000)
	s := newSnapshot(newWorker("a1", "a", running(web, 0, 0)), newWorker("b1", "b", running(web, 1, 0)), newWorker("b2", "b"),
		newWorker("c1", "c", running(batch, 0, time.Second)))
	s.Rules.SpreadDomains, s.Rules.Out = map[string]int{"web": 2}, outOfService("a")
	c.Assert(planText(s, now), qt.Equals, "-batch/0 preempted")
	s.Workers[3].Running = nil
	c.Assert(placedOn(scheduler.Plan(s, now)), qt.DeepEquals, map[string]string{"web/0": "c1"})
}
