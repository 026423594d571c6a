package audit_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/audit"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

func newRun(index int, from, to int64, phase worker.Phase) workertest.RunInterval {
	text, _ := json.Marshal(structs.Allocation{ID: "a", Task: structs.TaskID{JobID: "j", Index: index}})
	return workertest.RunInterval{
		AllocationID: "a", Annotations: map[string]string{"allocation": string(text)}, FromUnixNano: from, ToUnixNano: to,
		Phase: phase, Resources: structs.Resources{MilliCores: 600},
	}
}

func newHistory(name string, runs ...workertest.RunInterval) audit.WorkerHistory {
	return audit.WorkerHistory{
		Worker: structs.Worker{Name: name, FailureDomain: name, Capacity: structs.Resources{MilliCores: 1000}}, Runs: runs,
	}
}

// Guards against an audit that misses a violation or reports one for a correct history.
func TestCheckFindsViolations(t *testing.T) {
	c := qt.New(t)
	finished, stopped := worker.PhaseFinished, worker.PhaseStopped
	out := []audit.Outage{{Domain: "w1", From: 100, To: 200}}
	for want, records := range map[string][]audit.WorkerHistory{
		"":                        {newHistory("w1", newRun(0, 1, 5, stopped), newRun(1, 5, 9, finished)), newHistory("w2", newRun(0, 5, 9, finished))},
		".* at the same time .*":  {newHistory("w1", newRun(0, 1, 5, stopped)), newHistory("w2", newRun(0, 4, 9, finished))},
		".* finished 2 times: .*": {newHistory("w1", newRun(0, 1, 5, finished)), newHistory("w2", newRun(0, 5, 9, finished))},
		".* at once and holds .*": {newHistory("w1", newRun(0, 1, 5, finished), newRun(1, 4, 9, finished))},
		".* was taken out":        {newHistory("w1", newRun(0, 150, 190, finished), newRun(1, 201, 205, finished))},
	} {
		_, got := audit.Check(records, out, 10*time.Nanosecond)
		if want == "" {
			c.Assert(got, qt.HasLen, 0)
			continue
		}
		c.Assert(got, qt.HasLen, 1, qt.Commentf("%s", want))
		c.Assert(got[0], qt.Matches, want)
	}
}
