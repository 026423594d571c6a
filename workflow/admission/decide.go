package admission

import (
	"hash/fnv"
	"time"
)

// Reason is why a job is rejected.
type Reason string

// Reasons of rejections.
const (
	// ReasonNone is the reason of an accepted job.
	ReasonNone Reason = ""
	// ReasonMemory means that the owner can't hold the tasks of the job.
	ReasonMemory Reason = "memory"
	// ReasonCapacity means that the job can't be served while it has any value left for its client.
	ReasonCapacity Reason = "capacity"
)

const (
	// FreshAge is the age from which a gateway that accepts jobs asks for a new summary.
	FreshAge = time.Second
	// MaxLoadAge is the age from which a summary says nothing of the load any more: most tasks last a few seconds at most.
	MaxLoadAge = 3 * time.Second
	// MaxHeldAge is the age from which it says nothing of the tasks that the owner holds. They change more slowly than the load, since
	// finished jobs are kept for two minutes, and a gateway adds what it has accepted itself. It covers a change of owner.
	MaxHeldAge = 10 * time.Second
	// lateFactor is the multiple of the objective after which a job has no value left for its client.
	lateFactor = 3
	// backlogFactor is the part of the predicted backlog that a forecast counts. Predictions rest on the clients' estimates until
	// enough tasks of a queue have ended, and may be too high by a factor of two.
	backlogFactor = 0.5
	// memoryRetry is the least Retry-After of a job that the owner can't hold, and maxRetry the longest for a lack of capacity, before
	// they are spread. Both in seconds.
	memoryRetry = 5
	maxRetry    = 30
)

// Snapshot is what a gateway knows of the load.
type Snapshot struct {
	// Summary is the newest summary of the owner in office with the load of the queue, nil if there is none, and Age its age.
	Summary *Summary
	Age     time.Duration
	// Held is the newest summary of any queue, nil if there is none, and HeldAge its age.
	Held    *Summary
	HeldAge time.Duration
	// LocalTasks is the footprint of the jobs that this gateway has accepted or is about to store and that Held may lack.
	LocalTasks Grant
	// LocalWork is the work, in core seconds, of the jobs that this gateway has accepted since Summary was taken and that come before
	// the job.
	LocalWork float64
	// LocalDemand is the CPU, in millicores, that tasks of all jobs that this gateway has accepted for the pool since Summary was taken
	// can use at once.
	LocalDemand int64
}

// Decision is the result of Decide, with the inputs that it depends on.
type Decision struct {
	Reason Reason
	// RetryAfterSeconds is when the client may repeat a rejected job.
	RetryAfterSeconds int
	// Forecast is the least time after which capacity works on the job, and Allowed the most that leaves it any value.
	Forecast, Allowed time.Duration
}

// Rejected reports whether the job is rejected.
func (d *Decision) Rejected() bool { return d.Reason != ReasonNone }

// Decide returns whether a gateway accepts a job. It rejects only on a summary that is not stale: a job for whose tasks the owner has no
// room, and a job that can't be served within three times its objective even if all capacity of its pool worked on what comes before
// it, and then on the job, without a pause. It never does the latter while some executor has room for a task of the job.
func Decide(s *Snapshot, r *Request) Decision {
	if !fitsMemory(s, r) {
		return Decision{Reason: ReasonMemory, RetryAfterSeconds: spread(r.JobID, memoryRetry)}
	}
	forecast, known := forecastWait(s, r)
	if !known {
		return Decision{}
	}
	d := Decision{Forecast: forecast, Allowed: lateFactor*r.Objective - r.Path}
	// A job whose own path exceeds its limit isn't late because of the backlog.
	if d.Allowed > 0 && d.Forecast > d.Allowed {
		wait := int((d.Forecast - d.Allowed) / time.Second)
		d.Reason, d.RetryAfterSeconds = ReasonCapacity, spread(r.JobID, min(max(wait, 1), maxRetry))
	}
	return d
}

// forecastWait returns the least time after which capacity works on a job. known is false if there is no sound forecast, or if the job
// must not be rejected for lack of capacity.
func forecastWait(s *Snapshot, r *Request) (wait time.Duration, known bool) {
	if r.Objective <= 0 || s.Summary == nil || !s.Summary.HasLoad || s.Age > MaxLoadAge {
		return 0, false
	}
	l := &s.Summary.Load
	if l.Capacity <= 0 || l.hasRoom(r.SmallestNeed, s.LocalDemand) {
		return 0, false
	}
	ahead := backlogFactor * (l.Backlog[SizeClass(r.Work)] + s.LocalWork)
	// The capacity has worked on the backlog since the summary was taken.
	seconds := ahead/(float64(l.Capacity)/1000) - s.Age.Seconds()
	const mostSeconds = 1e9
	return time.Duration(min(max(seconds, 0), mostSeconds) * float64(time.Second)), true
}

// hasRoom reports whether some executor has room for a task beside those that the gateway has accepted since.
func (l *QueueLoad) hasRoom(need, localDemand int64) bool {
	return need == 0 || l.LargestFree >= need && l.Capacity-l.Reserved > localDemand
}

// spread returns a time of at least base and at most twice base seconds, which depends on the job.
func spread(job string, base int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return base + int(h.Sum32()%uint32(base+1))
}
