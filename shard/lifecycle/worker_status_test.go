package lifecycle

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// Guards against work that is repeated or runs twice because a worker's status answer is taken as final too early or
// ignored. Before the lease has expired only the end of a task is final, afterwards every state except running.
func TestWorkerStatusEndsAttempts(t *testing.T) {
	const before, after = 5 * time.Second, 8 * time.Second
	for name, test := range map[string]struct {
		silent time.Duration
		phase  worker.Phase
		want   structs.TaskState
	}{
		"finished":                  {before, worker.PhaseFinished, structs.TaskFinished},
		"failed":                    {before, worker.PhaseFailed, structs.TaskPending},
		"stopped":                   {before, worker.PhaseStopped, structs.TaskPending},
		"suspended":                 {before, worker.PhaseSuspended, structs.TaskStarting},
		"running":                   {before, worker.PhaseRunning, structs.TaskStarting},
		"unknown to the worker":     {before, "", structs.TaskStarting},
		"suspended after the lease": {after, worker.PhaseSuspended, structs.TaskPending},
		"unknown after the lease":   {after, "", structs.TaskPending},
		"running after the lease":   {after, worker.PhaseRunning, structs.TaskStarting},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, alloc := newFixtureWithStartedTask()
			f.now = f.now.Add(test.silent)
			c.Assert(f.WorkersToQuery(f.now), qt.DeepEquals, []string{"w"})
			var statuses []worker.TaskStatus
			if test.phase != "" {
				statuses = []worker.TaskStatus{{ID: alloc.ID, Phase: test.phase, CheckpointID: "c", Progress: 0.5}}
			}
			f.ApplyWorkerStatus("w", statuses, f.now, f.now, f.now)
			f.advance(0)
			status, _ := f.Status("a")
			c.Assert(status.Counts, qt.DeepEquals, map[structs.TaskState]int{test.want: 1})
			if test.want == structs.TaskPending && test.phase != "" {
				c.Assert(f.task().CheckpointID, qt.Equals, "c")
			}
		})
	}
}

// Guards against applying a status answer that is older than the agent's heartbeat, and against queries while agents
// report.
func TestWorkerStatusIgnoredWhileAgentReports(t *testing.T) {
	c := qt.New(t)
	f, alloc := newFixtureWithStartedTask()
	queriedAt := f.now.Add(5 * time.Second)
	f.now = queriedAt.Add(time.Second)
	f.sendHeartbeat("w", 7, []structs.Allocation{alloc})
	f.ApplyWorkerStatus("w", []worker.TaskStatus{{ID: alloc.ID, Phase: worker.PhaseStopped}}, queriedAt, f.now, f.now)
	c.Assert(f.WorkersToQuery(f.now), qt.HasLen, 0)
	c.Assert(f.task().State, qt.Equals, structs.TaskRunning)
}

// Guards against an attempt that is ended between two answers of its worker, and against one that waits indefinitely
// for a worker that has stopped answering.
func TestAttemptWaitsForNextWorkerStatus(t *testing.T) {
	c := qt.New(t)
	f, alloc := newFixtureWithStartedTask()
	f.now = f.now.Add(6 * time.Second)
	f.ApplyWorkerStatus("w", []worker.TaskStatus{{ID: alloc.ID, Phase: worker.PhaseSuspended}}, f.now, f.now, f.now)
	f.advance(2 * time.Second)
	c.Assert(f.task().State, qt.Equals, structs.TaskStarting)
	f.advance(time.Second)
	c.Assert(f.task().State, qt.Equals, structs.TaskPending)
}
