package owner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/logging/loggingtest"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// loggedTerm returns a term whose log lines lines returns, and with metrics in scope.
func loggedTerm(t *testing.T) (logged *term, scope tally.TestScope, lines func() []map[string]any) {
	scope = tally.NewTestScope("", nil)
	logged = newTerm(t, rpctest.New())
	logged.log, lines = loggingtest.New(t, "owner")
	logged.metrics = newMetrics(scope)
	return logged, scope, lines
}

// Guards against a second start of a task whose line does not tell how the first run ended, and against more than one line for
// each start.
func TestStartLineTellsFormerRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, scope, lines := loggedTerm(t)
		term.logStarts(&engine.NodeOrders{
			Node: "b", Orders: workflow.Orders{Epoch: 7, Starts: []workflow.StartOrder{{Run: 1}, {Run: 4}}},
			Bases: []engine.StartBasis{{JobRecorded: true, JobKnown: 3 * time.Second, JobForgotten: true}, {
				Former: &engine.FormerRun{
					Run: 1, Executor: "i-a@1", Cause: engine.LeaseExpired, LeaseSource: engine.LeaseOfTakeover, ListAge: engine.UnknownAge, Restored: true,
				},
				SinceFormer: 40 * time.Millisecond, RejectedStarts: 2,
			}},
		})
		read := lines()
		c.Assert(read, qt.HasLen, 2)
		c.Assert(read[0]["job_recorded"], qt.Equals, true)
		c.Assert(read[0]["job_known_ms"], qt.Equals, 3000.0)
		c.Assert(read[0]["job_forgotten"], qt.Equals, true)
		_, isRestart := read[0]["former_run"]
		c.Assert(isRestart, qt.IsFalse)
		for field, value := range map[string]any{
			"epoch": 7.0, "run": 4.0, "former_run": 1.0, "former_executor": "i-a@1", "former_end": string(engine.LeaseExpired), "former_end_seen": false, "former_ended_ms": 40.0,
			"former_list_age_ms": -1.0, "former_started": false, "former_listed": false, "restored": true,
			"former_lease_known_from": string(engine.LeaseOfTakeover), "rejected_starts": 2.0,
		} {
			c.Assert(read[1][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		counter := scope.Snapshot().Counters()["owner_restarts+cause=lease expired"]
		c.Assert(counter, qt.IsNotNil)
		c.Assert(counter.Value(), qt.Equals, int64(1))
	})
}

// Guards against a start line that lacks what admitted the start, and against long lines of steps without a constraint.
func TestStartLineTellsAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, _, lines := loggedTerm(t)
		term.logStarts(&engine.NodeOrders{
			Orders: workflow.Orders{Starts: make([]workflow.StartOrder, 3)},
			Bases: []engine.StartBasis{
				{Admission: engine.Admission{ConfigVersion: 4, Queue: "checks", Pool: "pool", ExecutorPool: "pool", ExecutorLabels: []string{"fast"}}},
				{Admission: engine.Admission{Label: "fast", Limit: 2, Counted: 1, ExecutorLabels: []string{"fast", "r1", "3", "4", "5", "6", "7", "8", "9"}}},
				{Admission: engine.Admission{Pool: "pool", ExecutorPool: "other", QueueRemoved: true}},
			},
		})
		read := lines()
		c.Assert(read, qt.HasLen, 3)
		for field, value := range map[string]any{"config": 4.0, "queue": "checks", "pool": "pool"} {
			c.Assert(read[0][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		for _, field := range []string{"label", "executor_labels", "limit", "counted", "queue_removed", "executor_pool"} {
			_, found := read[0][field]
			c.Assert(found, qt.IsFalse, qt.Commentf("field %s", field))
		}
		for field, value := range map[string]any{"label": "fast", "limit": 2.0, "counted": 1.0} {
			c.Assert(read[1][field], qt.Equals, value, qt.Commentf("field %s", field))
		}
		c.Assert(read[1]["executor_labels"], qt.HasLen, maxLoggedLabels)
		c.Assert(read[2]["queue_removed"], qt.Equals, true)
		c.Assert(read[2]["executor_pool"], qt.Equals, "other")
	})
}

// Guards against an unlimited number of lines when many executors list runs that their owner doesn't know, and against
// contradictions that are neither logged nor counted.
func TestContradictionLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term, scope, lines := loggedTerm(t)
		report := func(number int64) {
			now := time.Now()
			for i := range 20 {
				node := fmt.Sprint("n", i)
				r := &workflow.Report{Node: node, Address: node, Incarnation: 1, Number: number, Executor: &workflow.Executor{ID: "i-" + node}, Listed: true}
				for run := range 20 {
					r.Running = append(r.Running, workflow.RunState{Task: "00000000000000ff.0.0.0", Run: 100*int(number) + run + 1})
				}
				term.engine.HandleReport(r, now, now)
				term.logContradictions(now)
			}
		}
		report(1)
		read := lines()
		c.Assert(read, qt.HasLen, maxContradictionLines)
		c.Assert(read[0]["kind"], qt.Equals, string(engine.JobUnknown))
		c.Assert(read[0]["phase"], qt.Equals, "unknown")
		c.Assert(read[0]["@level"], qt.Equals, "warn")
		time.Sleep(limitInterval)
		report(2)
		read = lines()
		c.Assert(read, qt.HasLen, maxContradictionLines)
		c.Assert(read[0]["suppressed"].(float64) >= 20*20-maxContradictionLines, qt.IsTrue, qt.Commentf("line: %v", read[0]))
		counter := scope.Snapshot().Counters()["owner_contradictions+kind=job unknown"]
		c.Assert(counter, qt.IsNotNil)
		c.Assert(counter.Value(), qt.Equals, int64(2*20*20))
	})
}
