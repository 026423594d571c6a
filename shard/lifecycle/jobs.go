package lifecycle

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Accept adds a job. It returns the log position of its event, or 0 if the job is already known.
func (m *Machine) Accept(job structs.Job) int64 {
	if m.state.Jobs[job.ID] != nil {
		return 0
	}
	return m.propose(Event{Kind: EventAccept, Job: &job})
}

// Cancel cancels all unfinished tasks of a job and requests its attempts to stop. known is false if the shard doesn't
// have the job. The cancellation is durable once DurablePosition reaches lsn.
func (m *Machine) Cancel(jobID string, wall time.Time) (lsn int64, known bool) {
	job := m.state.Jobs[jobID]
	if job == nil {
		return 0, false
	}
	if job.Cancelled || job.OpenTasks == 0 {
		return m.LastPosition(), true
	}
	lsn = m.propose(Event{Kind: EventCancel, JobID: jobID, UnixMilli: wall.UnixMilli()})
	m.stopAttempts(jobID, "the job was cancelled")
	return lsn, true
}

// FailJob fails all unfinished tasks of a batch job and requests its attempts to stop.
func (m *Machine) FailJob(jobID, reason string, wall time.Time) {
	job := m.state.Jobs[jobID]
	if job == nil || job.OpenTasks == 0 || job.Spec.Kind == structs.KindService {
		return
	}
	m.propose(Event{Kind: EventFailJob, JobID: jobID, Reason: reason, UnixMilli: wall.UnixMilli()})
	m.stopAttempts(jobID, reason)
}

func (m *Machine) stopAttempts(jobID, reason string) {
	for _, live := range m.attempts {
		if live.Alloc.Task.JobID == jobID {
			live.Stop = &structs.TaskStop{AllocationID: live.Alloc.ID, Reason: reason}
		}
	}
}

// Status returns the externally visible state of a job.
func (m *Machine) Status(jobID string) (structs.JobStatus, bool) {
	job := m.state.Jobs[jobID]
	if job == nil {
		return structs.JobStatus{}, false
	}
	status := structs.JobStatus{
		ID: jobID, Kind: job.Spec.Kind, Tasks: job.Spec.Tasks, Counts: job.Counts(), Workers: job.TasksByWorker(), Verdict: job.Verdict,
		Reason: job.Reason, Cancelled: job.Cancelled, Done: job.EndedUnixMilli > 0,
	}
	return status, true
}
