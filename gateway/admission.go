package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// lookupTimeout limits looking a job up in the store before it is rejected.
const lookupTimeout = 300 * time.Millisecond

// RejectedError is the rejection of a job for lack of capacity or memory. The job was not stored and never runs, unless it is
// submitted again. It matches ErrUnavailable.
type RejectedError struct {
	Reason admission.Reason
	// RetryAfterSeconds is when the client may submit the job again.
	RetryAfterSeconds int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%v: lack of %s, retry after %d s", ErrUnavailable, e.Reason, e.RetryAfterSeconds)
}

// Is implements errors.Is.
func (e *RejectedError) Is(target error) bool { return target == ErrUnavailable }

// admit decides whether a job may be stored. If so, it counts the job as being stored and returns since when. A job that was submitted
// here before without a rejection, or that the store may hold, is admitted in any case, so that no rejection contradicts an acceptance.
func (g *Gateway) admit(ctx context.Context, job *workflow.Job, request *admission.Request) (since time.Time, err error) {
	g.loads.markActive(job.Queue.Name, time.Now())
	g.recent.beginWait(request)
	defer g.recent.endWait(request)
	g.refreshLoad(ctx, &job.Queue, request)
	decision, snapshot, since := g.decide(job, request)
	if !decision.Rejected() {
		return since, nil
	}
	mayBeStored := g.mayBeStored(ctx, job.ID)
	// Another submission of the job may have stored it since it was looked up.
	if g.submitted.begin(job.ID, mayBeStored) {
		now := time.Now()
		g.recent.begin(&job.Queue, request, now)
		return now, nil
	}
	g.recordRejection(job, request, &decision, &snapshot)
	return time.Time{}, &RejectedError{Reason: decision.Reason, RetryAfterSeconds: decision.RetryAfterSeconds}
}

// decide applies the decision to a job and counts it as being stored unless it is rejected. Only one job is decided on at a time, so
// that each decision counts the jobs before.
func (g *Gateway) decide(job *workflow.Job, request *admission.Request) (d admission.Decision, s admission.Snapshot, since time.Time) {
	g.deciding.Lock()
	defer g.deciding.Unlock()
	now := time.Now()
	s = g.snapshot(&job.Queue, request, now)
	if s.Held != nil {
		g.metrics.summaryAge.Update(s.HeldAge.Seconds())
	}
	d = admission.Decide(&s, request)
	if !g.submitted.begin(job.ID, !d.Rejected()) {
		return d, s, time.Time{}
	}
	g.recent.begin(&job.Queue, request, now)
	return admission.Decision{}, s, now
}

// snapshot returns what the gateway knows of the load.
func (g *Gateway) snapshot(q *workflow.Queue, request *admission.Request, now time.Time) admission.Snapshot {
	epoch := int64(0)
	if record, present := g.locator.Current(); present {
		epoch = record.Epoch
	}
	load, newest := g.loads.current(q.Name, epoch)
	s := admission.Snapshot{}
	if newest != nil {
		s.Held, s.HeldAge = &newest.Summary, newest.age(now)
		s.LocalTasks = g.recent.tasksSince(newest.takenAfter)
	}
	if load != nil {
		s.Summary, s.Age = &load.Summary, load.age(now)
		s.LocalWork, s.LocalDemand = g.recent.loadSince(load.takenBefore, q, admission.SizeClass(request.Work))
	}
	return s
}

// mayBeStored reports whether a job is in the store, or whether that can't be determined.
func (g *Gateway) mayBeStored(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, found, _, err := g.store.Get(ctx, owner.JobPrefix+id)
	return found || err != nil
}

// recordRejection counts and logs a rejection with its inputs.
func (g *Gateway) recordRejection(job *workflow.Job, request *admission.Request, d *admission.Decision, s *admission.Snapshot) {
	g.metrics.scope.Tagged(map[string]string{"reason": string(d.Reason)}).Counter("jobs_rejected").Inc(1)
	fields := []any{
		"job", job.ID, "queue", job.Queue.Name, "error", "lack of " + string(d.Reason), "retry_after_s", d.RetryAfterSeconds,
		"tasks", request.Tasks, "local_tasks", s.LocalTasks.Small + s.LocalTasks.Large,
	}
	if s.Held != nil {
		fields = append(fields, "held_tasks", s.Held.HeldTasks, "max_tasks", s.Held.MaxTasks, "small_grant", s.Held.Grant.Small, "large_grant", s.Held.Grant.Large,
			"held_age_ms", s.HeldAge.Milliseconds(), "epoch", s.Held.Epoch)
	}
	if d.Reason == admission.ReasonCapacity {
		l := &s.Summary.Load
		fields = append(fields, "forecast_ms", d.Forecast.Milliseconds(), "allowed_ms", d.Allowed.Milliseconds(), "age_ms", s.Age.Milliseconds(),
			"backlog_core_s", l.Backlog[admission.SizeClass(request.Work)], "local_core_s", s.LocalWork, "capacity", l.Capacity, "reserved", l.Reserved,
			"largest_free", l.LargestFree, "running", l.Running, "waiting", l.Waiting, "objective_ms", request.Objective.Milliseconds(),
			"work_core_s", request.Work)
	}
	g.log.Info("job rejected", fields...)
}
