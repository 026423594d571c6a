package owner

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// newRestoredTasks adds a job to a term of which each task has run 2 on executor "i-a@1", and returns the ends of the first runs and
// those of the second ones.
func newRestoredTasks(t *term, tasks int) (first, second []workflow.RunEnd) {
	job := workflow.Job{ID: "00000000000000aa", Steps: []workflow.Step{{Count: tasks}}, AcceptedUnixMillis: time.Now().UnixMilli()}
	record := &workflow.JobRecord{Phase: workflow.Running}
	for i := range tasks {
		record.Tasks = append(record.Tasks, workflow.TaskRecord{Index: i, Phase: workflow.TaskAssigned, Run: 2, Life: "i-a@1", Node: "a"})
		name := workflow.TaskID{Job: job.ID, Index: i}.String()
		first = append(first, workflow.RunEnd{Number: int64(i + 1), Task: name, Run: 1, How: workflow.EndDone})
		second = append(second, workflow.RunEnd{Number: int64(i + 1), Task: name, Run: 2, How: workflow.EndStopped})
	}
	now := t.clock.Now()
	t.engine.Add(job, record, now, time.Now())
	return first, second
}

// Guards against superseded runs that are neither logged nor counted, and against an unlimited number of lines when an executor that
// was taken for lost has finished many tasks.
func TestSupersededRunsAreLoggedAndLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const tasks = 300
		term, scope, lines := loggedTerm(t)
		first, second := newRestoredTasks(term, tasks)
		report := func(node string, number int64, ended []workflow.RunEnd) []map[string]any {
			now := term.clock.Now()
			term.engine.HandleReport(&workflow.Report{
				Node: node, Address: node, Incarnation: 1, Number: number, Executor: &workflow.Executor{ID: "i-" + node, StartedUnixMillis: 1},
				Listed: true, EndsComplete: true, Ended: ended,
			}, now, time.Now())
			term.logSuperseded(now)
			return lines()
		}
		read := report("b", 1, first)
		c.Assert(read, qt.HasLen, maxSupersededLines)
		for field, value := range map[string]any{
			"@message": "run superseded", "task": first[0].Task, "run": 2.0, "executor": "i-a@1", "node": "a", "done_run": 1.0, "done_executor": "i-b@1",
			"suppressed": float64(tasks - maxSupersededLines),
		} {
			c.Assert(read[0][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		time.Sleep(3 * limitInterval)
		read = report("a", 1, second)
		c.Assert(read, qt.HasLen, maxSupersededLines)
		for field, value := range map[string]any{
			"@message": "superseded run ended", "task": first[0].Task, "run": 2.0, "executor": "i-a@1", "cause": "ended stopped", "held_ms": 3000.0,
			"restored": false, "suppressed": float64(tasks - maxSupersededLines),
		} {
			c.Assert(read[0][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		counters := scope.Snapshot().Counters()
		c.Assert(counters["owner_superseded_runs+"].Value(), qt.Equals, int64(tasks))
		c.Assert(counters["owner_superseded_ends+cause=ended stopped"].Value(), qt.Equals, int64(tasks))
	})
}
