package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// job is the state of one job.
type job struct {
	workflow.Job
	// footprint is the memory of the job, as package admission counts.
	footprint int
	phase     workflow.Phase
	// storedPhase is the last stored phase, which is the one reported to clients.
	storedPhase     workflow.Phase
	tasks           []*task
	groups          []group
	endedUnixMillis int64
	// begun is set once an executor has confirmed or listed a start of a task. The phase is running as soon as a start is ordered.
	begun bool
	// endKnownAt is since when this owner knows that the job has ended, on its clock. The retention counts from it, since the
	// wall clocks of owners differ.
	endKnownAt time.Time
	// acceptedAt is when the job was accepted, on the owner's clock.
	acceptedAt time.Time
	// knownAt is when this owner learned of the job; recorded is set if the job had a record then, forgotten if this owner had
	// removed it before.
	knownAt   time.Time
	recorded  bool
	forgotten bool
	cancelled bool
	// crashing is set once the job is to be given up because a task of it crashes executors.
	crashing bool
	// idleSince is when Plan first found the job ready with no task running; zero while a task runs.
	idleSince time.Time
	// noRunSince is when no executor was first found to list a run of the job although a task was ready; zero while one does.
	// idleState is the state that was last explained.
	noRunSince time.Time
	idleState  IdleState
	// waitReason is why the job's first ready task did not start when that was last looked for, at waitExplainedAt.
	waitReason      string
	waitExplainedAt time.Time
}

// group holds the tasks of one step in one occurrence.
type group struct {
	occurrence, step int
	tasks            []*task
	done             int
	// failedRun is the last run of a gang that counts as failed.
	failedRun int
	// median caches the median duration of the finished tasks when medianOf of them were done.
	median   time.Duration
	medianOf int
	// lowest caches the lowest latency of the group's tasks as of lowestAt.
	lowest   lowestLatency
	lowestAt time.Time
}

// buildTasks creates the groups and tasks of all occurrences.
func (j *job) buildTasks() {
	steps := len(j.Steps)
	j.groups = make([]group, 0, steps*j.OccurrenceCount())
	for occurrence := range j.OccurrenceCount() {
		for step := range j.Steps {
			j.groups = append(j.groups, group{occurrence: occurrence, step: step})
			g := &j.groups[len(j.groups)-1]
			for index := range j.Steps[step].Count {
				id := workflow.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
				t := &task{job: j, step: &j.Steps[step], group: g, id: id, name: id.String()}
				g.tasks = append(g.tasks, t)
				j.tasks = append(j.tasks, t)
			}
		}
	}
}

func (j *job) group(occurrence, step int) *group {
	if occurrence < 0 || occurrence >= j.OccurrenceCount() || step < 0 || step >= len(j.Steps) {
		return nil
	}
	return &j.groups[occurrence*len(j.Steps)+step]
}

func (j *job) findTask(id workflow.TaskID) *task {
	g := j.group(id.Occurrence, id.Step)
	if g == nil || id.Index < 0 || id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

// criticalPath returns the largest sum of estimates along dependent steps.
func (j *job) criticalPath() time.Duration {
	return j.longestPath(func(g *group) time.Duration { return g.tasks[0].estimate() })
}

// longestPath returns the largest sum of durations along dependent steps of one occurrence.
func (j *job) longestPath(duration func(*group) time.Duration) time.Duration {
	var longest time.Duration
	var buffer [8]time.Duration
	ends := buffer[:0]
	for occurrence := range j.OccurrenceCount() {
		ends = ends[:0]
		for step := range j.Steps {
			var start time.Duration
			for _, after := range j.Steps[step].After {
				start = max(start, ends[after])
			}
			end := start + duration(j.group(occurrence, step))
			ends = append(ends, end)
			longest = max(longest, end)
		}
	}
	return longest
}
