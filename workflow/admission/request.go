package admission

import (
	"math"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// stepBytes, referenceBytes and jobBytes are what an owner needs for a step beyond that for its tasks, for an entry of After, and
	// for a job beyond that for its steps. TestFootprintCoversMemory measures them.
	stepBytes      = 512
	referenceBytes = 16
	jobBytes       = 2 * TaskBytes
	// maxNeed and maxEstimate bound the CPU of a task that counts, in millicores, and its duration, so that sums can't overflow.
	maxNeed     = 1 << 40
	maxEstimate = 10 * 24 * time.Hour
)

// EndedFootprint is the footprint of a job of which the owner only keeps the end.
const EndedFootprint = 1

// Request is what a decision depends on of a job.
type Request struct {
	// JobID is the ID of the job.
	JobID string
	// Tasks is the footprint of the job.
	Tasks int
	// Objective is the time from acceptance within which the job has its full value, by its estimates; 0 if lack of capacity is no
	// reason to reject it.
	Objective time.Duration
	// Path is the largest sum of estimates along dependent steps.
	Path time.Duration
	// Work is the CPU time that the job needs, and ReadyWork the part of it that reserves CPU and can start at once, in core seconds.
	Work, ReadyWork float64
	// SmallestNeed is the least CPU that a task needs that can start at once, in millicores.
	SmallestNeed int64
	// Demand is the CPU that the tasks need that can start at once, in millicores.
	Demand int64
}

// NewRequest returns the request of a valid job.
func NewRequest(job *workflow.Job) Request {
	r := Request{JobID: job.ID, Tasks: Footprint(job), Path: criticalPath(job), SmallestNeed: math.MaxInt64}
	for i := range job.Steps {
		s := &job.Steps[i]
		seconds := float64(s.Count) * estimate(s).Seconds()
		r.Work += seconds * float64(s.Need.MilliCores) / 1000
		if len(s.After) > 0 || job.Occurrences > 0 {
			continue
		}
		need := min(s.Reserved().MilliCores, maxNeed)
		r.SmallestNeed = min(r.SmallestNeed, need)
		r.Demand += need * int64(s.Count)
		if !s.LongRunning {
			r.ReadyWork += seconds * float64(need) / 1000
		}
	}
	if !isExempt(job) {
		r.Objective = latencyObjective(&job.Queue, r.Path)
	}
	return r
}

// IsLarge reports whether the job has many tasks or much work.
func (r *Request) IsLarge() bool {
	return !r.isSmall() || SizeClass(r.Work) == SizeClasses-1
}

// isExempt reports whether a job is never rejected for lack of capacity: it runs until it is cancelled, or it has due times.
func isExempt(job *workflow.Job) bool {
	if job.Occurrences > 0 {
		return true
	}
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// latencyObjective returns the objective of a job. Products beyond the range of a duration count as no objective.
func latencyObjective(q *workflow.Queue, path time.Duration) time.Duration {
	objective := q.Stretch*path.Seconds() + float64(q.ObjectiveMillis)/1000
	const mostSeconds = 1e9
	if !(objective > 0) || objective > mostSeconds {
		return 0
	}
	return time.Duration(objective * float64(time.Second))
}

func estimate(s *workflow.Step) time.Duration {
	return time.Duration(min(s.EstimateMillis, maxEstimate.Milliseconds())) * time.Millisecond
}

// criticalPath returns the largest sum of estimates along dependent steps.
func criticalPath(job *workflow.Job) time.Duration {
	ends := make([]time.Duration, len(job.Steps))
	var longest time.Duration
	for i := range job.Steps {
		var start time.Duration
		for _, after := range job.Steps[i].After {
			start = max(start, ends[after])
		}
		ends[i] = start + estimate(&job.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// Footprint returns the memory that an owner needs for a job, as the number of tasks that need as much: its tasks, and what its steps
// and texts need beyond that.
func Footprint(job *workflow.Job) int {
	tasks, bytes := 0, jobBytes+len(job.Spec)
	for i := range job.Steps {
		s := &job.Steps[i]
		tasks += s.Count
		bytes += stepBytes + referenceBytes*len(s.After) + len(s.Label) + len(s.Rack) + len(s.Image)
	}
	return tasks*job.OccurrenceCount() + (bytes+TaskBytes-1)/TaskBytes
}
