// Package workflow holds jobs whose steps depend on each other, the queues that accept them, and the records that are
// kept of their progress.
package workflow

import (
	"fmt"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of a job. A job beyond them is rejected when it is submitted.
const (
	// MaxSpecBytes is the longest specification.
	MaxSpecBytes = 4000
	// MaxTasks is the largest number of tasks over all steps and occurrences, which bounds the record of a job.
	MaxTasks = 5000
)

// Step is a group of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is what each task reserves.
	Need structs.Resources `json:"need"`
	// EstimateMillis is a rough duration of a task in milliseconds.
	EstimateMillis int64 `json:"estimate_ms,omitempty"`
	// After lists earlier steps, by number from 0, whose tasks must have finished first.
	After []int `json:"after,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tells that the tasks only work while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tells that the tasks are slower on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is one that the executor must have; empty for any.
	Label string `json:"label,omitempty"`
	// Rack is where the tasks' data is; they are slower on any other. Empty for anywhere.
	Rack string `json:"rack,omitempty"`
	// PerExecutor is the most tasks of one occurrence on one executor; 0 for no limit.
	PerExecutor int `json:"per_executor,omitempty"`
	// Speculative tells that copies of a task may run side by side.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tells that tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMillis is the bound of the tail latency of a serving task in milliseconds; 0 for others.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// BestEffort tells that the tasks use the processor time that others leave, and reserve none.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be down at once because of the scheduler.
	MaxUnavailable int `json:"may_miss,omitempty"`
}

// Reserved returns what a task of the step takes from the capacity of its executor.
func (s *Step) Reserved() structs.Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCores = 0
	}
	return need
}

// Job is what a client submits.
type Job struct {
	ID    string `json:"id"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 stands for one run without a due time.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstUnixMillis is when the first occurrence is due, in milliseconds since 1970.
	FirstUnixMillis int64 `json:"first_unix_ms,omitempty"`
	// IntervalMillis is the time between occurrences.
	IntervalMillis int64 `json:"interval_ms,omitempty"`
	// AcceptedUnixMillis is when an entry received the job, in milliseconds since 1970.
	AcceptedUnixMillis int64 `json:"accepted_unix_ms"`
	// Queue is the queue as it was configured when the job was accepted.
	Queue Queue `json:"queue"`
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// DueUnixMillis returns when an occurrence is due, in milliseconds since 1970; 0 if it is due at once.
func (j *Job) DueUnixMillis(occurrence int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstUnixMillis + int64(occurrence)*j.IntervalMillis
}

// Validate lists everything that is wrong with the job.
func (j *Job) Validate() *findings.List {
	found := &findings.List{}
	add := func(key, format string, args ...any) {
		found.Addf(findings.Place{File: "job", Section: j.ID, Key: key}, format, args...)
	}
	if !ValidID(j.ID) {
		add("id", "must be 16 hexadecimal digits")
	}
	if len(j.Spec) > MaxSpecBytes {
		add("spec", "has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 {
		add("steps", "must not be empty")
	}
	if j.Occurrences < 0 || j.IntervalMillis < 0 || j.FirstUnixMillis < 0 {
		add("occurrences", "times and counts must not be negative")
	}
	total := 0
	for i := range j.Steps {
		validateStep(&j.Steps[i], i, add)
		total += j.Steps[i].Count
		if total > MaxTasks {
			break
		}
	}
	if j.Occurrences > MaxTasks || total*j.OccurrenceCount() > MaxTasks {
		add("steps", "more than %d tasks", MaxTasks)
	}
	return found
}

func validateStep(s *Step, number int, add func(key, format string, args ...any)) {
	place := fmt.Sprintf("steps[%d]", number)
	if s.Count < 1 {
		add(place+".count", "must be at least 1, is %d", s.Count)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		add(place+".need", "must not be negative")
	}
	if s.EstimateMillis < 0 || s.PerExecutor < 0 || s.MaxUnavailable < 0 || s.TargetMillis < 0 {
		add(place, "durations and limits must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			add(place+".after", "%d is not an earlier step", a)
		}
	}
}

// ValidID tells whether an ID has the form that clients choose: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
