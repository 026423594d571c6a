// Package workertest provides an in-memory worker for tests and for the stand-in process. Its time comes from an
// injected clock: tasks make progress and finish, and their leases expire, as the clock advances.
package workertest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// DefaultUsageLag is the age of reported usage.
const DefaultUsageLag = 3 * time.Second

// Worker is an in-memory worker. It is safe for concurrent use.
type Worker struct {
	clock    clock.Clock
	capacity structs.Resources
	usageLag time.Duration

	mu     sync.Mutex
	tasks  map[string]*task
	faults Faults
	calls  map[string]int
	starts []worker.TaskSpec
	// history holds the ended intervals in which tasks ran.
	history []RunInterval
}

var _ worker.Worker = (*Worker)(nil)

// Faults are the injected faults of a worker. The zero value is a healthy worker.
type Faults struct {
	// Down makes each call fail without effect.
	Down bool `json:"down"`
	// LoseResponses is the number of next calls that take effect but return ErrUnavailable.
	LoseResponses int `json:"lose_responses"`
	// FailTasks makes each task fail as soon as it has started.
	FailTasks bool `json:"fail_tasks"`
	// FailCheckpoints makes checkpoints fail.
	FailCheckpoints bool `json:"fail_checkpoints"`
}

type task struct {
	spec         worker.TaskSpec
	behaviour    taskBehaviour
	phase        worker.Phase
	share        float64
	progress     float64
	updatedAt    time.Time
	startedAt    time.Time
	leaseEnd     time.Time
	checkpointID string
	reason       string
	// runningSince is when the current run interval began; it is zero while the task doesn't run.
	runningSince time.Time
	ranBefore    bool
}

// New returns a worker with the given capacity.
func New(c clock.Clock, capacity structs.Resources) *Worker {
	return &Worker{
		clock: c, capacity: capacity, usageLag: DefaultUsageLag, tasks: map[string]*task{}, calls: map[string]int{},
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
}

// Calls returns the number of calls by name.
func (w *Worker) Calls() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.calls)
}

// Starts returns the specifications of all tasks that were started, in order.
func (w *Worker) Starts() []worker.TaskSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// Running returns the IDs of the tasks that are running now.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var ids []string
	for id, t := range w.tasks {
		if t.phase == worker.PhaseRunning {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Overcommitted reports whether the reserved resources exceed the capacity. Like the platform's workers, this worker
// doesn't reject starts for lack of capacity; the agent has to stay within it.
func (w *Worker) Overcommitted() bool {
	return !w.Reserved().Fits(w.capacity)
}

// Reserved returns the declared resources of the tasks that run or are suspended.
func (w *Worker) Reserved() structs.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	var sum structs.Resources
	for _, t := range w.tasks {
		if t.phase == worker.PhaseRunning || t.phase == worker.PhaseSuspended {
			sum = sum.Add(t.spec.Resources)
		}
	}
	return sum
}

// Reset removes all tasks, as a restart of the host does.
func (w *Worker) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.tasks {
		w.endInterval(t, w.clock.Now())
	}
	clear(w.tasks)
}

// advance updates all tasks to the current time.
func (w *Worker) advance() {
	now := w.clock.Now()
	for _, t := range w.tasks {
		t.advance(now)
	}
	w.updateHistory()
}

func (t *task) advance(now time.Time) {
	if t.phase != worker.PhaseRunning && t.phase != worker.PhaseSuspended {
		return
	}
	until := now
	lapsed := !now.Before(t.leaseEnd)
	if lapsed {
		until = t.leaseEnd
	}
	if t.phase == worker.PhaseRunning && t.behaviour.duration > 0 && until.After(t.updatedAt) {
		t.progress += t.share * until.Sub(t.updatedAt).Seconds() / t.behaviour.duration.Seconds()
	}
	t.updatedAt = now
	switch {
	case t.phase == worker.PhaseRunning && t.behaviour.failAt >= 0 && t.progress >= t.behaviour.failAt:
		t.updatedAt = t.timeOfProgress(t.behaviour.failAt, until)
		t.phase, t.reason = worker.PhaseFailed, "the task failed"
	case t.phase == worker.PhaseRunning && t.behaviour.duration > 0 && t.progress >= 1:
		t.updatedAt = t.timeOfProgress(1, until)
		t.phase, t.progress = worker.PhaseFinished, 1
	case lapsed:
		t.phase, t.reason = worker.PhaseStopped, "the lease ran out"
	}
}

// timeOfProgress returns when a running task reached an earlier progress, given that it has its current progress at the
// time at.
func (t *task) timeOfProgress(progress float64, at time.Time) time.Time {
	if t.behaviour.duration <= 0 || t.share <= 0 {
		return at
	}
	return at.Add(-time.Duration((t.progress - progress) / t.share * float64(t.behaviour.duration)))
}

// call counts an API call and applies it under the lock, with the injected faults.
func (w *Worker) call(name string, apply func() error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.calls[name]++
	if w.faults.Down {
		return worker.ErrUnavailable
	}
	err := apply()
	w.updateHistory()
	if w.faults.LoseResponses > 0 {
		w.faults.LoseResponses--
		return worker.ErrUnavailable
	}
	return err
}

// Start implements worker.Worker.
func (w *Worker) Start(_ context.Context, spec worker.TaskSpec) error {
	return w.call("start", func() error {
		if w.tasks[spec.ID] != nil {
			return worker.ErrExists
		}
		behaviour, err := parseBehaviour(spec.Command, spec.Resources)
		if err != nil {
			return fmt.Errorf("%w: %w", worker.ErrRejected, err)
		}
		progress, err := CheckpointProgress(spec.CheckpointID)
		if err != nil {
			return fmt.Errorf("%w: %w", worker.ErrRejected, err)
		}
		if w.faults.FailTasks {
			behaviour.failAt = 0
		}
		now := w.clock.Now()
		w.tasks[spec.ID] = &task{
			spec: spec, behaviour: behaviour, phase: worker.PhaseRunning, share: 1, progress: progress, updatedAt: now, startedAt: now,
			leaseEnd: now.Add(spec.Lease), checkpointID: spec.CheckpointID,
		}
		w.starts = append(w.starts, spec)
		return nil
	})
}

// active returns a task that is running or suspended.
func (w *Worker) active(id string) (*task, error) {
	t := w.tasks[id]
	if t == nil || (t.phase != worker.PhaseRunning && t.phase != worker.PhaseSuspended) {
		return nil, worker.ErrNotFound
	}
	return t, nil
}

// Renew implements worker.Worker.
func (w *Worker) Renew(_ context.Context, id string, lease time.Duration) error {
	return w.call("renew", func() error {
		t, err := w.active(id)
		if err == nil {
			t.leaseEnd = w.clock.Now().Add(lease)
		}
		return err
	})
}

// Throttle implements worker.Worker.
func (w *Worker) Throttle(_ context.Context, id string, share float64) error {
	return w.call("throttle", func() error {
		t, err := w.active(id)
		if err != nil {
			return err
		}
		if share < 0 || share > 1 {
			return worker.ErrRejected
		}
		t.share, t.phase = share, worker.PhaseRunning
		if share == 0 {
			t.phase = worker.PhaseSuspended
		}
		return nil
	})
}

// Checkpoint implements worker.Worker.
func (w *Worker) Checkpoint(_ context.Context, id string) (string, error) {
	var checkpoint string
	err := w.call("checkpoint", func() error {
		t, err := w.active(id)
		if err != nil {
			return err
		}
		if w.faults.FailCheckpoints {
			return fmt.Errorf("%w: the checkpoint failed", worker.ErrRejected)
		}
		checkpoint = checkpointID(id, t.progress)
		t.checkpointID = checkpoint
		return nil
	})
	if err != nil {
		return "", err
	}
	return checkpoint, nil
}

// Stop implements worker.Worker.
func (w *Worker) Stop(_ context.Context, id string) error {
	return w.call("stop", func() error {
		if w.tasks[id] == nil {
			return worker.ErrNotFound
		}
		w.endInterval(w.tasks[id], w.clock.Now())
		delete(w.tasks, id)
		return nil
	})
}

// Status implements worker.Worker.
func (w *Worker) Status(context.Context) ([]worker.TaskStatus, error) {
	var list []worker.TaskStatus
	err := w.call("status", func() error {
		now := w.clock.Now()
		for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
			list = append(list, w.tasks[id].status(now, w.usageLag))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}

// status returns the status of the task. It contains no usage until the task is older than the lag.
func (t *task) status(now time.Time, lag time.Duration) worker.TaskStatus {
	s := worker.TaskStatus{
		ID: t.spec.ID, Phase: t.phase, UsageAge: lag, Progress: t.progress, CheckpointID: t.checkpointID, Reason: t.reason,
		Annotations: t.spec.Annotations, LatencyMillis: t.behaviour.latencyMillis,
	}
	if now.Sub(t.startedAt) >= lag && t.phase == worker.PhaseRunning {
		s.Used = t.behaviour.used
		s.Used.MilliCores = int64(float64(s.Used.MilliCores) * t.share)
	}
	return s
}
