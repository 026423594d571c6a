package lifecycle

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// DefaultMaxAttempts is the number of failed attempts after which a task fails if its job sets no limit.
const DefaultMaxAttempts = 3

// Task is the durable state of one task.
type Task struct {
	State structs.TaskState `json:"s"`
	// Attempt is the number of recorded starts. Only the newest attempt may run.
	Attempt int `json:"a,omitempty"`
	// Failures is the number of failed attempts.
	Failures     int     `json:"f,omitempty"`
	Worker       string  `json:"w,omitempty"`
	CheckpointID string  `json:"c,omitempty"`
	Progress     float64 `json:"p,omitempty"`
	Reason       string  `json:"r,omitempty"`
	// Avoid lists the workers on which the task failed most recently.
	Avoid []string `json:"v,omitempty"`
	// Replaces is the ID of the allocation of the same service that this replica replaces, if any.
	Replaces string `json:"x,omitempty"`
	// NotBefore is the earliest time of the next attempt. It is not durable: a change of ownership ends the delay.
	NotBefore time.Time `json:"-"`
	// PendingSince is when this owner first saw the task pending. It is not durable.
	PendingSince time.Time `json:"-"`
	// PeakUsage is the highest reported usage of the task. It is not durable.
	PeakUsage structs.Resources `json:"-"`
}

// canFinish reports whether the successful end of an attempt finishes the task. An earlier attempt may have finished
// before its lease expired and be reported late. Its result counts only while the task is pending: once a later attempt
// may run, its start could still arrive after the task has finished.
func (t *Task) canFinish(attempt int) bool {
	if t.State == structs.TaskPending {
		return attempt >= 1 && attempt <= t.Attempt
	}
	return t.Active() && attempt == t.Attempt
}

// maxAvoidedWorkers bounds Task.Avoid.
const maxAvoidedWorkers = 4

// Active reports whether the current attempt may be running on a worker.
func (t *Task) Active() bool { return !t.State.Terminal() && t.State != structs.TaskPending }

// Job is the durable state of one job.
type Job struct {
	Spec      structs.Job `json:"spec"`
	Tasks     []*Task     `json:"tasks,omitempty"`
	Cancelled bool        `json:"cancelled,omitempty"`
	Verdict   string      `json:"verdict,omitempty"`
	// Reason is the reason of the first task that failed.
	Reason string `json:"reason,omitempty"`
	// OpenTasks is the number of tasks that have not ended.
	OpenTasks int `json:"open"`
	// FinalCounts holds the number of tasks by final state once the tasks of an ended job have been dropped.
	FinalCounts map[structs.TaskState]int `json:"ended,omitempty"`
	// EndedUnixMilli is when the last task ended, 0 before that.
	EndedUnixMilli int64 `json:"ended_at,omitempty"`
}

// Counts returns the number of tasks by state.
func (j *Job) Counts() map[structs.TaskState]int {
	counts := map[structs.TaskState]int{}
	for state, count := range j.FinalCounts {
		counts[state] = count
	}
	for _, task := range j.Tasks {
		counts[task.State]++
	}
	return counts
}

// TasksByWorker returns the number of tasks that may be running on each worker.
func (j *Job) TasksByWorker() map[string]int {
	workers := map[string]int{}
	for _, task := range j.Tasks {
		if task.Active() {
			workers[task.Worker]++
		}
	}
	return workers
}

// State is the durable state of a shard, as computed from its log.
type State struct {
	Jobs map[string]*Job `json:"jobs"`
}

// NewState returns an empty state.
func NewState() *State { return &State{Jobs: map[string]*Job{}} }

// Task returns a task, or nil.
func (s *State) Task(id structs.TaskID) *Task {
	job := s.Jobs[id.JobID]
	if job == nil || id.Index < 0 || id.Index >= len(job.Tasks) {
		return nil
	}
	return job.Tasks[id.Index]
}

// JobIDs returns the IDs of all jobs in sorted order.
func (s *State) JobIDs() []string {
	ids := make([]string, 0, len(s.Jobs))
	for id := range s.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply applies one event. An event that violates a life cycle rule returns an error and changes nothing.
func (s *State) Apply(e Event) error {
	switch e.Kind {
	case EventAccept:
		return s.accept(e)
	case EventCancel, EventFailJob, EventVerdict, EventGrow, EventForget:
		return s.applyToJob(e)
	default:
		return s.applyToTask(e)
	}
}

func (s *State) accept(e Event) error {
	if e.Job == nil || s.Jobs[e.Job.ID] != nil {
		return eris.Errorf("accept: job is missing or already exists")
	}
	job := &Job{Spec: *e.Job, OpenTasks: e.Job.Tasks}
	for range e.Job.Tasks {
		job.Tasks = append(job.Tasks, &Task{State: structs.TaskPending})
	}
	s.Jobs[e.Job.ID] = job
	return nil
}

func (s *State) applyToJob(e Event) error {
	job := s.Jobs[e.JobID]
	if job == nil {
		return eris.Errorf("%s: unknown job %q", e.Kind, e.JobID)
	}
	switch e.Kind {
	case EventVerdict:
		job.Verdict = e.Reason
	case EventCancel:
		job.Cancelled = true
		s.endAllTasks(job, structs.TaskCancelled, e)
	case EventFailJob:
		if job.Spec.Kind == structs.KindService {
			return eris.Errorf("failjob: %q is a service", e.JobID)
		}
		s.endAllTasks(job, structs.TaskFailed, e)
	case EventGrow:
		if job.Spec.Kind != structs.KindService || job.Cancelled || e.Index != len(job.Tasks) {
			return eris.Errorf("grow: index %d is not the next of service %q", e.Index, e.JobID)
		}
		job.Tasks = append(job.Tasks, &Task{State: structs.TaskPending, Replaces: e.Replaces})
		job.OpenTasks++
	case EventForget:
		if job.OpenTasks > 0 {
			return eris.Errorf("forget: job %q has open tasks", e.JobID)
		}
		delete(s.Jobs, e.JobID)
	}
	return nil
}

func (s *State) endAllTasks(job *Job, state structs.TaskState, e Event) {
	for _, task := range job.Tasks {
		if !task.State.Terminal() {
			s.endTask(job, task, state, e)
		}
	}
}

func (s *State) applyToTask(e Event) error {
	task := s.Task(e.Task())
	if task == nil {
		return eris.Errorf("%s: unknown task %s/%d", e.Kind, e.JobID, e.Index)
	}
	if task.State.Terminal() {
		return eris.Errorf("%s: task %s/%d has ended as %s", e.Kind, e.JobID, e.Index, task.State)
	}
	job := s.Jobs[e.JobID]
	switch e.Kind {
	case EventStart:
		if task.State != structs.TaskPending || e.Attempt != task.Attempt+1 {
			return eris.Errorf("start: task %s/%d is %s at attempt %d", e.JobID, e.Index, task.State, task.Attempt)
		}
		task.State, task.Attempt, task.Worker = structs.TaskStarting, e.Attempt, e.Worker
		task.PendingSince = time.Time{}
		return nil
	case EventFinish:
		if !task.canFinish(e.Attempt) {
			return eris.Errorf("finish: attempt %d can't finish task %s/%d in its current state", e.Attempt, e.JobID, e.Index)
		}
		task.Progress = 1
		s.endTask(job, task, structs.TaskFinished, e)
		return nil
	case EventRetire:
		s.endTask(job, task, structs.TaskCancelled, e)
		return nil
	}
	if !task.Active() || e.Attempt != task.Attempt {
		return eris.Errorf("%s: attempt %d of task %s/%d is not active", e.Kind, e.Attempt, e.JobID, e.Index)
	}
	s.applyToAttempt(job, task, e)
	return nil
}

func (s *State) applyToAttempt(job *Job, task *Task, e Event) {
	if e.CheckpointID != "" {
		task.CheckpointID, task.Progress = e.CheckpointID, e.Progress
	}
	switch e.Kind {
	case EventRequeue:
		task.State, task.Worker, task.Reason = structs.TaskPending, "", e.Reason
	case EventFail:
		task.Failures++
		if !slices.Contains(task.Avoid, task.Worker) {
			task.Avoid = append(task.Avoid, task.Worker)
			task.Avoid = task.Avoid[max(0, len(task.Avoid)-maxAvoidedWorkers):]
		}
		task.Reason = e.Reason
		limit := job.Spec.MaxAttempts
		if limit < 1 {
			limit = DefaultMaxAttempts
		}
		// A service replica is retried until it is retired or the service is cancelled.
		if task.Failures >= limit && job.Spec.Kind != structs.KindService {
			s.endTask(job, task, structs.TaskFailed, e)
			return
		}
		task.State, task.Worker = structs.TaskPending, ""
	}
}

// endTask sets the final state of a task. Once all tasks of a job have ended, they are replaced by their counts.
func (s *State) endTask(job *Job, task *Task, state structs.TaskState, e Event) {
	task.State, task.CheckpointID = state, ""
	if e.Reason != "" {
		task.Reason = e.Reason
	}
	if state == structs.TaskFailed && job.Reason == "" {
		job.Reason = e.Reason
	}
	job.OpenTasks--
	if job.OpenTasks > 0 || (job.Spec.Kind == structs.KindService && !job.Cancelled) {
		return
	}
	job.EndedUnixMilli = e.UnixMilli
	job.FinalCounts, job.Tasks = job.Counts(), nil
}
