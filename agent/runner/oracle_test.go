package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// oracle checks the invariants using only the log in the store and the task lists of the workers, independently of the
// implementation.
type oracle struct {
	c *cluster
	// fail reports a violated invariant.
	fail          func(format string, args ...any)
	nextRecord    int64
	tasks         map[structs.TaskID]*oracleTask
	checkedStarts map[*node]int
	// checkedRuns is the number of ended runs of each worker that have been checked.
	checkedRuns map[*node]int
	outSince    map[string]time.Time
	kinds       map[string]structs.JobKind
}

type oracleTask struct {
	finished   bool
	checkpoint string
	attempt    int
	// worker and startCheckpoint are those of the newest start record.
	worker, startCheckpoint string
	// startsByAttempt counts the starts on workers by attempt.
	startsByAttempt map[int]int
	// finishedOn is the worker on which the task finished, whether its result is known or not.
	finishedOn *node
	// unreachable is set once the worker may have been unreachable for an owner after the task finished there.
	unreachable bool
}

func newOracle(c *cluster, fail func(string, ...any)) *oracle {
	o := &oracle{
		c: c, fail: fail, nextRecord: 1, tasks: map[structs.TaskID]*oracleTask{}, checkedStarts: map[*node]int{},
		checkedRuns: map[*node]int{},
		outSince:    map[string]time.Time{}, kinds: map[string]structs.JobKind{},
	}
	c.checkInvariants, c.keepTruncated = o.check, true
	return o
}

func (o *oracle) task(id structs.TaskID) *oracleTask {
	if o.tasks[id] == nil {
		o.tasks[id] = &oracleTask{startsByAttempt: map[int]int{}}
	}
	return o.tasks[id]
}

// check compares the state of the workers with the log after each tick.
func (o *oracle) check() {
	// The log is read before the starts are checked, since the record of a start is written before the task starts.
	o.readLog()
	places := map[structs.TaskID][]string{}
	for _, n := range o.c.nodes {
		for _, id := range n.worker.Running() {
			task := taskIDOf(id)
			places[task] = append(places[task], n.name)
		}
		if n.worker.Overcommitted() {
			o.fail("worker %s holds more than its capacity: %+v", n.name, n.worker.Reserved())
		}
		starts := n.worker.Starts()
		for _, spec := range starts[min(o.checkedStarts[n], len(starts)):] {
			o.checkStart(n, spec.ID, spec.CheckpointID)
		}
		o.checkedStarts[n] = len(starts)
		o.checkFinishes(n)
	}
	for task, names := range places {
		if len(names) > 1 {
			o.fail("task %v runs on %v", task, names)
		}
	}
}

// markUnreachable records that owners may be unable to ask a worker for the tasks that finished on it.
func (o *oracle) markUnreachable(n *node) {
	for _, task := range o.tasks {
		task.unreachable = task.unreachable || task.finishedOn == n
	}
}

// checkFinishes checks that no task finishes on a worker after it has finished on another one that owners were able to
// ask ever since, whatever happened to the agents.
func (o *oracle) checkFinishes(n *node) {
	if slices.ContainsFunc(o.c.nodes, func(m *node) bool { return m.peersDisconnected }) {
		o.markUnreachable(n)
	}
	runs := n.worker.History()
	for _, run := range runs[min(o.checkedRuns[n], len(runs)):] {
		if run.ToUnixNano == 0 {
			break
		}
		o.checkedRuns[n]++
		if run.Phase != worker.PhaseFinished {
			continue
		}
		task := o.task(taskIDOf(run.AllocationID))
		if earlier := task.finishedOn; earlier != nil && !task.unreachable {
			o.fail("%s finished on %s although the task had finished on %s", run.AllocationID, n.name, earlier.name)
		}
		task.finishedOn, task.unreachable = n, false
	}
}

func taskIDOf(allocation string) structs.TaskID {
	var id structs.TaskID
	var attempt int
	parts := strings.Split(allocation, ":")
	id.JobID = parts[0]
	_, _ = fmt.Sscan(parts[1], &id.Index)
	_, _ = fmt.Sscan(parts[2], &attempt)
	return id
}

func (o *oracle) checkStart(n *node, allocation, checkpoint string) {
	id := taskIDOf(allocation)
	task := o.task(id)
	var attempt int
	_, _ = fmt.Sscan(allocation[strings.LastIndex(allocation, ":")+1:], &attempt)
	task.startsByAttempt[attempt]++
	switch {
	case task.startsByAttempt[attempt] > 1:
		o.fail("attempt %d of task %v was started %d times", attempt, id, task.startsByAttempt[attempt])
	case attempt > task.attempt:
		o.fail("attempt %d of task %v was started without a start record", attempt, id)
	case attempt == task.attempt && task.worker != n.name:
		o.fail("attempt %d of task %v was started on %s, the record says %s", attempt, id, n.name, task.worker)
	case attempt == task.attempt && checkpoint != task.startCheckpoint:
		o.fail("attempt %d of task %v started from %q, the newest checkpoint was %q", attempt, id, checkpoint, task.startCheckpoint)
	case task.finished:
		o.fail("finished task %v was started again", id)
	}
	if out, ok := o.outSince[n.domain]; ok && o.c.clock.Now().Sub(out) > 3*time.Second+tick {
		o.fail("task %v started in %s, which is out since %s", id, n.domain, o.c.clock.Now().Sub(out))
	}
}

func (o *oracle) readLog() {
	faults := o.c.store.Faults()
	o.c.store.SetFaults(storetest.Faults{})
	defer o.c.store.SetFaults(faults)
	entries, err := o.c.store.List(context.Background(), "shards/0/log/")
	if err != nil {
		o.fail("reading the log: %v", err)
	}
	entries = append(o.c.truncated, entries...)
	o.c.truncated = nil
	slices.SortStableFunc(entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, entry := range entries {
		var record shard.Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			o.fail("record %s: %v", entry.Key, err)
		}
		if record.Sequence < o.nextRecord {
			continue
		}
		if record.Sequence != o.nextRecord {
			o.fail("record %d is missing", o.nextRecord)
		}
		o.nextRecord++
		for _, event := range record.Events {
			o.apply(event)
		}
	}
}

func (o *oracle) apply(e lifecycle.Event) {
	if e.Kind == lifecycle.EventAccept {
		o.kinds[e.Job.ID] = e.Job.Kind
		return
	}
	task := o.task(e.Task())
	switch e.Kind {
	case lifecycle.EventStart:
		if task.finished {
			o.fail("a start of the finished task %v is in the log", e.Task())
		}
		if e.Attempt != task.attempt+1 {
			o.fail("attempt %d of task %v follows %d", e.Attempt, e.Task(), task.attempt)
		}
		task.attempt, task.worker, task.startCheckpoint = e.Attempt, e.Worker, task.checkpoint
	case lifecycle.EventFinish:
		if task.finished {
			o.fail("task %v finished twice", e.Task())
		}
		task.finished = true
	case lifecycle.EventCheckpoint, lifecycle.EventRequeue, lifecycle.EventFail:
		if e.CheckpointID != "" {
			o.checkCheckpoint(task, e)
		}
	}
}

// checkCheckpoint checks that a checkpoint in the log never replaces a newer one.
func (o *oracle) checkCheckpoint(task *oracleTask, e lifecycle.Event) {
	before, _ := workertest.CheckpointProgress(task.checkpoint)
	after, err := workertest.CheckpointProgress(e.CheckpointID)
	if err != nil || after < before {
		o.fail("checkpoint %q of task %v replaces %q", e.CheckpointID, e.Task(), task.checkpoint)
	}
	task.checkpoint = e.CheckpointID
}
