// Package workflow defines jobs whose steps depend on each other, the queues that accept them, and the records and
// messages that track their progress.
package workflow

import (
	"fmt"
	"strings"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Limits of a job. A job beyond them is rejected on submission.
const (
	// MaxSpecBytes is the maximum length of the specification.
	MaxSpecBytes = 4000
	// MaxTasks is the maximum number of tasks over all steps and occurrences. It limits the size of a job's record.
	MaxTasks = 5000
)

const (
	// maxFindings limits the errors in a job that are described, since a client may send thousands of invalid steps.
	maxFindings = 10
	// maxShownID limits the length of an ID in an error, in bytes.
	maxShownID = 64
)

// Step is a group of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Need is the resources that each task requests.
	Need structs.Resources `json:"need"`
	// EstimateMillis is a rough estimate of a task's duration.
	EstimateMillis int64 `json:"estimate_ms,omitempty"`
	// After lists the earlier steps, by index, whose tasks must have finished first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the tasks only make progress while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks are slower when spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the executor must have; empty if any executor will do.
	Label string `json:"label,omitempty"`
	// Rack is the rack of the tasks' data; tasks are slower on any other. Empty for no preference.
	Rack string `json:"rack,omitempty"`
	// PerExecutor is the maximum number of tasks of one occurrence on one executor; 0 for no limit.
	PerExecutor int `json:"per_executor,omitempty"`
	// Speculative is set if copies of a task may run concurrently.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is set if tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMillis is the target for the tail latency of a serving task; 0 for other tasks.
	TargetMillis int64 `json:"target_ms,omitempty"`
	// BestEffort is set if the tasks reserve no CPU and use what other tasks leave.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be down at the same time because of the scheduler.
	MaxUnavailable int `json:"may_miss,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its executor.
func (s *Step) Reserved() structs.Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCores = 0
	}
	return need
}

// Job is a job as submitted by a client.
type Job struct {
	ID    string `json:"id"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 means once without a due time.
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

// DueUnixMillis returns when an occurrence is due, in milliseconds since 1970; 0 if it is due immediately.
func (j *Job) DueUnixMillis(occurrence int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstUnixMillis + int64(occurrence)*j.IntervalMillis
}

// Validate returns a list of errors in the job: the first maxFindings and the number of the others.
func (j *Job) Validate() *findings.List {
	found := &findings.List{}
	omitted := 0
	add := func(key, format string, args ...any) {
		if found.Len() == maxFindings {
			omitted++
			return
		}
		found.Addf(findings.Location{File: "job", Section: j.shownID(), Key: key}, format, args...)
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
	if j.exceedsMaxTasks() {
		add("steps", "more than %d tasks", MaxTasks)
	}
	for i := range j.Steps {
		validateStep(&j.Steps[i], i, add)
	}
	if omitted > 0 {
		found.Addf(findings.Location{File: "job", Section: j.shownID()}, "%d more errors", omitted)
	}
	return found
}

// shownID returns the ID as it is shown in errors, which limits its length since clients choose it.
func (j *Job) shownID() string {
	if len(j.ID) <= maxShownID {
		return j.ID
	}
	return strings.ToValidUTF8(j.ID[:maxShownID], "") + "..."
}

// exceedsMaxTasks reports whether the job has more than MaxTasks tasks. Their number may exceed the range of an int.
func (j *Job) exceedsMaxTasks() bool {
	left := MaxTasks / j.OccurrenceCount()
	for i := range j.Steps {
		if j.Steps[i].Count > left {
			return true
		}
		left -= max(j.Steps[i].Count, 0)
	}
	return false
}

func validateStep(s *Step, number int, add func(key, format string, args ...any)) {
	place := func() string { return fmt.Sprintf("steps[%d]", number) }
	if s.Count < 1 {
		add(place()+".count", "must be at least 1, is %d", s.Count)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		add(place()+".need", "must not be negative")
	}
	if s.EstimateMillis < 0 || s.PerExecutor < 0 || s.MaxUnavailable < 0 || s.TargetMillis < 0 {
		add(place(), "durations and limits must not be negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			add(place()+".after", "%d is not an earlier step", a)
		}
	}
}

// ValidID reports whether an ID chosen by a client is well-formed: 16 hexadecimal digits.
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
