package engine_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// placementAction is one step of a random history of an owner and its hosts.
type placementAction struct {
	kind string
	host int
	// pick chooses among what the action may apply to, and outcome how orders end.
	pick, outcome int
	// job and executor are what the action submits or starts.
	job      workflow.Job
	executor workflow.Executor
}

// placementActionKinds begin with one that does nothing, to which histories shrink.
var placementActionKinds = []string{
	"nothing", "submit", "submit", "submit", "round", "round", "hear", "hear", "hear", "hear", "hear", "hear", "plan", "plan", "plan", "plan",
	"flush", "flush", "commit", "deliver", "deliver", "deliver", "give up", "result", "result", "lose result", "list", "repeat", "repeat", "repeat", "report", "report",
	"receive", "receive", "lose report", "wait", "wait", "wait", "wait", "end", "end", "end", "carry out", "carry out", "silence", "respond",
	"respond", "lapse", "lapse", "cancel", "foreign", "restart", "replace", "restart node", "change owner", "configure",
}

const (
	placementHosts = 3
	// placementCores is the largest capacity of an executor.
	placementCores = 4
	// maxPick is the largest choice of an action.
	maxPick = 11
	// minPlacementActions and maxPlacementActions limit the length of a history.
	minPlacementActions, maxPlacementActions = 50, 250
)

// placementWaits are how long the time may advance in one step.
var placementWaits = []time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond}

func drawPlacementActions(t *rapid.T) []placementAction {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) placementAction {
		a := placementAction{
			kind: rapid.SampledFrom(placementActionKinds).Draw(t, "kind"), host: rapid.IntRange(0, placementHosts-1).Draw(t, "host"),
			pick: rapid.IntRange(0, maxPick).Draw(t, "pick"), outcome: rapid.IntRange(0, maxPick).Draw(t, "outcome"),
		}
		switch a.kind {
		case "submit":
			a.job = drawPlacementJob(t)
		case "restart", "replace", "foreign":
			a.executor = drawPlacementExecutor(t)
		}
		return a
	}), minPlacementActions, maxPlacementActions).Draw(t, "actions")
}

func drawPlacementJob(t *rapid.T) workflow.Job {
	job := workflow.Job{Queue: queue, Occurrences: rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "occurrences")}
	for i := range rapid.IntRange(1, 2).Draw(t, "steps") {
		s := step(rapid.IntRange(1, 4).Draw(t, "count"))
		s.Need.MilliCores = rapid.SampledFrom([]int64{500, 1000, 3000}).Draw(t, "millicores")
		s.PerExecutor = rapid.SampledFrom([]int{1, 1, 2, 0}).Draw(t, "limit")
		s.Label = rapid.SampledFrom([]string{"", "", "ssd", "gpu"}).Draw(t, "label")
		s.Gang = rapid.IntRange(1, 4).Draw(t, "gang") == 1
		s.LongRunning = !s.Gang && rapid.IntRange(1, 6).Draw(t, "long-running") == 1
		if i > 0 {
			s.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, s)
	}
	return job
}

func drawPlacementExecutor(t *rapid.T) workflow.Executor {
	return workflow.Executor{
		Pool: rapid.SampledFrom([]string{"pool", "pool", "pool", "pool", "pool", "pool", "other", "stray"}).Draw(t, "pool"), FailureDomain: "domain",
		Labels:   rapid.SampledFrom([][]string{{"ssd", "gpu"}, {"ssd"}, {"gpu"}, nil}).Draw(t, "labels"),
		Capacity: structs.Resources{MilliCores: 1000 * rapid.Int64Range(1, placementCores).Draw(t, "cores"), MemoryMB: 8000},
	}
}

// defaultPlacementChecks is the number of histories unless -rapid.checks is given.
const defaultPlacementChecks = "1000"

// Guards against starts in a pool to which no configuration sends the queue, without the label of the step, beyond its limit on an
// executor or beyond the executor's capacity, counting all runs that the executor may have, under random faults (incident ROUTE).
func TestPlacementConstraintsUnderFaults(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(defaultPlacementChecks)
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		first := make([]workflow.Executor, placementHosts)
		for i := range first {
			first[i] = drawPlacementExecutor(t)
		}
		w := newPlacementWorld(first)
		for _, a := range drawPlacementActions(t) {
			w.apply(&a)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		starts += w.starts
	})
	if starts == 0 {
		t.Error("no start was checked")
	}
}
