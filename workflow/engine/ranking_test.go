package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

var rankingQueue = workflow.Queue{Name: "checks", Pool: "pool", MaxAttempts: 2, Stretch: 1.5, ObjectiveMillis: 250}

// drawEngine returns an engine with executors of random capacity and load, and the current time.
func drawEngine(t *rapid.T) (*Engine, time.Time) {
	now := time.Unix(1000, 0)
	e := newConfiguredEngine(now.Add(-time.Minute))
	for i := range rapid.IntRange(1, 8).Draw(t, "executors") {
		name := fmt.Sprintf("host-%d", i)
		e.HandleReport(&workflow.Report{Node: name, Address: name, Incarnation: 1, Number: 1, Listed: true, EndsComplete: true, Executor: &workflow.Executor{
			ID: "i-" + name, StartedUnixMillis: 1, Pool: "pool", FailureDomain: "domain", Labels: []string{fmt.Sprintf("r%d", i%2)},
			Capacity: structs.Resources{MilliCores: int64(1000 * rapid.IntRange(1, 8).Draw(t, "cores")), MemoryMB: 8000},
		}}, now, now)
	}
	e.Add(drawJob(t, 1, workflow.Step{LongRunning: true, TargetMillis: 50, Image: "serving"}), nil, now, now)
	e.Plan(now, now)
	for _, tasks := range e.tasksWithRun {
		for _, t := range tasks {
			t.listed, t.usage, t.startedAt = true, 20, now.Add(-time.Minute)
		}
	}
	return e, now
}

func drawJob(t *rapid.T, number int, step workflow.Step) workflow.Job {
	step.Count = rapid.IntRange(1, 12).Draw(t, "count")
	step.Need = structs.Resources{MilliCores: int64(100 * rapid.IntRange(1, 20).Draw(t, "cpu")), MemoryMB: int64(rapid.IntRange(1, 4000).Draw(t, "memory"))}
	step.PerExecutor = rapid.IntRange(0, 2).Draw(t, "per executor")
	return workflow.Job{ID: fmt.Sprintf("%016x", number), Steps: []workflow.Step{step}, Queue: rankingQueue, AcceptedUnixMillis: 1000_000}
}

// Guards against stale scores and filter results within a group: after each placement, a kept ranking must choose the
// same executor as a new one.
func TestRankingFollowsPlacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := drawEngine(t)
		step := workflow.Step{EstimateMillis: 800, BestEffort: rapid.Bool().Draw(t, "fills"), Image: "filling"}
		if rapid.Bool().Draw(t, "rack") {
			step.Rack = "r1"
		}
		e.Add(drawJob(t, 2, step), nil, now, now)
		j := e.jobs[fmt.Sprintf("%016x", 2)]
		request := &placementRequest{engine: e, queue: &rankingQueue, task: j.tasks[0], now: now}
		kept := e.rankExecutors(request)
		for _, task := range j.tasks {
			if rapid.Bool().Draw(t, "failed before") {
				task.failedHosts = []string{"host-0"}
			}
			want := e.rankExecutors(request).best(task)
			if got := kept.best(task); got != want {
				t.Fatalf("task %s: got %v, want %v", task.name, nameOf(got), nameOf(want))
			}
			if want == nil {
				continue
			}
			e.assign(task, want, task.run+1, now)
			kept.update(want)
		}
	})
}

func nameOf(n *node) string {
	if n == nil {
		return "none"
	}
	return n.name
}

// Guards against skipping a task that needs less than one that found no executor, or that differs in image, pool, label
// or kind.
func TestUnplaceableShapesCoverLargerNeedsOnly(t *testing.T) {
	c := qt.New(t)
	need := func(cpu, memory int64) structs.Resources { return structs.Resources{MilliCores: cpu, MemoryMB: memory} }
	full := &unplaceableShapes{}
	full.add(shape{pool: "p", need: need(1000, 500)})
	full.add(shape{pool: "p", need: need(500, 900)})
	full.add(shape{pool: "p", image: "i", bestEffort: true, need: need(1000, 500)})
	c.Assert(full.covers(shape{pool: "p", need: need(1000, 500)}), qt.IsTrue)
	c.Assert(full.covers(shape{pool: "p", need: need(2000, 500)}), qt.IsTrue)
	c.Assert(full.covers(shape{pool: "p", need: need(500, 900)}), qt.IsTrue)
	c.Assert(full.covers(shape{pool: "p", need: need(900, 800)}), qt.IsFalse)
	c.Assert(full.covers(shape{pool: "q", need: need(2000, 2000)}), qt.IsFalse)
	c.Assert(full.covers(shape{pool: "p", label: "a", need: need(2000, 2000)}), qt.IsFalse)
	c.Assert(full.covers(shape{pool: "p", longRunning: true, need: need(2000, 2000)}), qt.IsFalse)
	c.Assert(full.covers(shape{pool: "p", image: "j", bestEffort: true, need: need(2000, 500)}), qt.IsFalse)
	full.add(shape{pool: "p", need: need(100, 100)})
	c.Assert(full.shapes, qt.HasLen, 2)
}

// Guards against jobs that wait because a task before them avoids the only executor with room.
func TestAvoidedExecutorRunsOtherTasks(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	e := New(Settings{LeaseDuration: 6500 * time.Millisecond, LeaseExpiry: 7060 * time.Millisecond, RemoteSlowdown: 1.5}, now)
	e.SetEvacuated(nil)
	e.HandleReport(&workflow.Report{Node: "a", Address: "a", Incarnation: 1, Number: 1, Listed: true, EndsComplete: true, Executor: &workflow.Executor{
		ID: "i-a", StartedUnixMillis: 1, Pool: "pool", Capacity: structs.Resources{MilliCores: 4000, MemoryMB: 8000},
	}}, now, now)
	for number := range 2 {
		e.Add(workflow.Job{
			ID: fmt.Sprintf("%016x", number), Queue: rankingQueue, AcceptedUnixMillis: now.UnixMilli(),
			Steps: []workflow.Step{{Count: 1, Need: structs.Resources{MilliCores: 1000}, EstimateMillis: 800}},
		}, nil, now, now)
	}
	first, second := e.jobs[fmt.Sprintf("%016x", 0)].tasks[0], e.jobs[fmt.Sprintf("%016x", 1)].tasks[0]
	first.avoidNode(e.nodes["a"], now)
	e.Plan(now, now)
	c.Assert(first.phase, qt.Equals, workflow.TaskWaiting)
	c.Assert(second.phase, qt.Equals, workflow.TaskAssigned)
}
