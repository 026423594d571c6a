package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against misplaced runs that are neither logged nor counted, and against an unlimited number of lines when many executors
// have them.
func TestMisplacedRunsAreLoggedAndLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const nodes, tasks = 20, 10
		term, scope, lines := loggedTerm(t)
		now := term.clock.Now()
		step := workflow.Step{Count: nodes * tasks, Label: "fast", PerExecutor: tasks - 1}
		term.engine.Add(workflow.Job{ID: "00000000000000aa", Steps: []workflow.Step{step}, AcceptedUnixMillis: time.Now().UnixMilli()}, nil, now, time.Now())
		report := func(number int64) {
			for i := range nodes {
				node := fmt.Sprint("n", i)
				r := &workflow.Report{Node: node, Address: node, Incarnation: 1, Number: number, Executor: &workflow.Executor{ID: "i-" + node}, Listed: true}
				for k := range tasks {
					r.Running = append(r.Running, workflow.RunState{Task: workflow.TaskID{Job: "00000000000000aa", Index: tasks*i + k}.String(), Run: 1})
				}
				term.engine.HandleReport(r, now, time.Now())
				term.logMisplaced(now)
			}
		}
		report(1)
		read := lines()
		c.Assert(read, qt.HasLen, maxMisplacedLines)
		for field, value := range map[string]any{
			"@message": "an executor runs a task that may not run there", "@level": "warn", "kind": "label", "label": "fast",
			"task": "00000000000000aa.0.0.0", "executor": "i-n0@0", "ordered_ms": -1.0, "counted": false, "superseded": false,
		} {
			c.Assert(read[0][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		report(2)
		c.Assert(lines(), qt.HasLen, 0)
		counters := scope.Snapshot().Counters()
		c.Assert(counters["owner_misplaced_runs+kind=label"].Value(), qt.Equals, int64(nodes*tasks))
		c.Assert(counters["owner_misplaced_runs+kind=limit"].Value(), qt.Equals, int64(nodes))
		c.Assert(term.misplacedLines.suppressed > 0, qt.IsTrue)
	})
}

// Guards against lines on misplaced runs that don't tell what they rest on.
func TestMisplacedRunLinesTellWhy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, _, lines := loggedTerm(t)
		now := term.clock.Now()
		job := workflow.Job{
			ID: "00000000000000aa", AcceptedUnixMillis: time.Now().UnixMilli(), Queue: workflow.Queue{Name: "checks", Pool: "pool"},
			Steps: []workflow.Step{{Count: 2, PerExecutor: 1}},
		}
		job.Steps[0].Need.MemoryMB = 10
		term.engine.Add(job, nil, now, time.Now())
		term.engine.Configure(&workflow.Config{Version: 3})
		executor := &workflow.Executor{ID: "i-a", Pool: "other"}
		executor.Capacity.MemoryMB = 10
		term.engine.HandleReport(&workflow.Report{
			Node: "a", Address: "a", Incarnation: 1, Number: 1, Executor: executor, Listed: true,
			Running: []workflow.RunState{{Task: job.ID + ".0.0.0", Run: 1}, {Task: job.ID + ".0.0.1", Run: 1}},
		}, now, time.Now())
		term.logMisplaced(now)
		byKind := map[any]map[string]any{}
		for _, line := range lines() {
			byKind[line["kind"]] = line
		}
		c.Assert(byKind, qt.HasLen, 3)
		for kind, fields := range map[string]map[string]any{
			"limit": {"limit": 1.0, "listed": 2.0, "listed_tasks": []any{job.ID + ".0.0.0", job.ID + ".0.0.1"}},
			"pool":  {"queue": "checks", "pool": "", "job_pool": "pool", "executor_pool": "other", "config": 3.0},
			"capacity": {
				"reserved": map[string]any{"milli_cores": 0.0, "memory_mb": 20.0}, "capacity": map[string]any{"milli_cores": 0.0, "memory_mb": 10.0},
			},
		} {
			for field, value := range fields {
				c.Assert(byKind[kind][field], qt.DeepEquals, value, qt.Commentf("%s: field %s", kind, field))
			}
		}
	})
}
