package engine

import (
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// EndCause tells why a run of a task has ceased to count as the task's current run.
type EndCause string

// Causes of the end of a run. Those of a run whose end its executor has listed are "ended " and the reason that it gave.
const (
	// LeaseExpired means that the lease of the executor has expired.
	LeaseExpired EndCause = "lease expired"
	// ExecutorLeft means that the executor has left as announced.
	ExecutorLeft EndCause = "executor left"
	// ExecutorReplaced means that an executor with another ID has responded on the same host.
	ExecutorReplaced EndCause = "executor replaced"
	// StartRejected means that the start had no effect.
	StartRejected EndCause = "start rejected"
	// UnlistedAndStopped means that the executor did not list the run after it had accepted an order to stop it.
	UnlistedAndStopped EndCause = "not listed and stopped"
	// RestoredAsWaiting means that the record of the job says that a former owner had taken the run for ended.
	RestoredAsWaiting EndCause = "restored as waiting"
)

// listedEnd returns the cause for a run whose end the executor has listed.
func listedEnd(how workflow.EndReason) EndCause { return EndCause(listedEndPrefix + string(how)) }

const listedEndPrefix = "ended "

// Seen reports whether the executor has shown the end: it has listed it, or rejected the start. Other ends are counted or inferred, and the
// run may go on if the count is wrong.
func (c EndCause) Seen() bool {
	return c == StartRejected || strings.HasPrefix(string(c), listedEndPrefix)
}

// UnknownAge stands for an unknown age.
const UnknownAge = time.Duration(-1)

// FormerRun is the last run of a task before the current one, and what this owner knew of it when it took it for ended.
type FormerRun struct {
	Run int
	// Executor is the executor incarnation; empty if it is not known.
	Executor string
	Cause    EndCause
	// LeaseSource tells how the expiry of the lease was known, if Cause is LeaseExpired.
	LeaseSource LeaseSource
	// ListAge is the time since the executor had listed its runs to this owner, or UnknownAge if it had not.
	ListAge time.Duration
	// Started is set if the executor had confirmed or listed the start, Listed if it had listed the run to this owner.
	Started, Listed bool
	// Restored is set if a former owner had ordered the run, so that this owner knew it from the record of the job.
	Restored bool
	// Reassigned is set if the run was ordered to a former incarnation of the executor.
	Reassigned bool
	// StopReason is why a stop was requested; empty if none was.
	StopReason string
}

// endedRun is a former run.
type endedRun struct {
	FormerRun
	// takenForEndedAt is when this owner took the run for ended, or read of its end.
	takenForEndedAt time.Time
}

// StartBasis is what the owner knew of a task, and why its executor was admitted, when the owner decided on a start.
type StartBasis struct {
	Admission Admission
	// Former is the last run whose start was not rejected, or if there is none the last rejected one.
	// It is nil if the task has not run before.
	Former *FormerRun
	// SinceFormer is the time since this owner took the former run for ended or read of its end.
	SinceFormer time.Duration
	// RejectedStarts is the number of rejected starts since the former run that was not rejected.
	RejectedStarts int
	// JobRecorded is set if the job had a record when this owner read it, JobKnown is the time since then.
	JobRecorded bool
	JobKnown    time.Duration
	// JobForgotten is set if this owner had removed the job before.
	JobForgotten bool
}

// executorLists tells which executor incarnation last listed its runs to this owner, and when.
type executorLists struct {
	incarnation string
	at          time.Time
}

// keepFormerRun records the current run of a task as its former run, before it ceases to be the current one. A rejected start does not
// replace the run before it.
func (t *task) keepFormerRun(cause EndCause, now time.Time) {
	if cause == StartRejected {
		t.rejected, t.rejectedStarts = t.describeRun(cause, now), t.rejectedStarts+1
		return
	}
	t.former, t.rejected, t.rejectedStarts = t.describeRun(cause, now), nil, 0
}

func (t *task) describeRun(cause EndCause, now time.Time) *endedRun {
	f := &endedRun{takenForEndedAt: now, FormerRun: FormerRun{
		Run: t.run, Executor: t.executorIncarnation, Cause: cause, ListAge: UnknownAge, Started: t.started, Listed: t.listed,
		Restored: t.restored, Reassigned: t.reassigned, StopReason: t.stopReason,
	}}
	if t.node != nil && t.node.lists.incarnation == t.executorIncarnation {
		f.ListAge = max(now.Sub(t.node.lists.at), 0)
	}
	return f
}

// startBasis returns what is known when the current run of the task is assigned.
func (e *Engine) startBasis(t *task) StartBasis {
	b := StartBasis{
		Admission:      e.admission(t),
		RejectedStarts: t.rejectedStarts, JobRecorded: t.job.recorded, JobKnown: t.startedAt.Sub(t.job.knownAt),
		JobForgotten: t.job.forgotten,
	}
	former := t.former
	if former == nil {
		former = t.rejected
	}
	if former != nil {
		b.Former, b.SinceFormer = &former.FormerRun, t.startedAt.Sub(former.takenForEndedAt)
	}
	return b
}
