package engine

import (
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

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
