package quarantine

import (
	"slices"
	"time"
)

// Model distinguishes faulty workers from faulty jobs by which jobs fail on which workers. A worker is faulty when enough
// distinct jobs failed on it without a success in between; faulty jobs don't count. A job is faulty when it failed on
// enough distinct workers without a success in between; quarantined workers don't count. A failure that could have been
// caused by either the worker or the job counts half. A success clears the failures of both the worker and the job.
// Evictions, cancellations and lost workers are not failures and must not be reported. A Model is not safe for concurrent
// use.
type Model struct {
	config    Config
	fleetSize int
	workers   map[string]*workerRecord
	jobs      map[string]*jobRecord
}

// New returns a Model without recorded failures.
func New(config Config) *Model {
	return &Model{config: config.withDefaults(), workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
}

// SetFleetSize sets the total number of workers, to which MaxQuarantinedShare applies.
func (m *Model) SetFleetSize(workers int) { m.fleetSize = workers }

// RecordFailure records that a task of the job failed on the worker.
func (m *Model) RecordFailure(job, worker string, now time.Time) {
	j, w := m.ensureJob(job, now), m.ensureWorker(worker, now)
	recordFailure(j.workerFailures, worker, now)
	recordFailure(w.jobFailures, job, now)
	j.lastFailure, w.lastUpdated = now, now
	m.expireFailures(j.workerFailures, now)
	m.expireFailures(w.jobFailures, now)
	probing := w.quarantined && !w.probeStart.IsZero()
	w.probeStart = time.Time{}
	if !m.failedElsewhere(j, worker) {
		w.streak.recordFailure(&m.config, now)
	}
	if m.evaluateJob(job, j) {
		// The job is faulty, so its failures no longer count against the workers.
		m.releaseWorkers(job, now)
	}
	switch {
	case w.quarantined && probing && j.faultReason == "":
		m.quarantine(w, now)
	case !w.quarantined:
		m.evaluateWorker(worker, w, now)
	}
}

// RecordSuccess records that a task of the job finished on the worker. It clears the failures of both, and ends the
// worker's quarantine.
func (m *Model) RecordSuccess(job, worker string, now time.Time) {
	delete(m.jobs, job)
	w := m.workers[worker]
	if w == nil {
		return
	}
	clear(w.jobFailures)
	w.quarantined, w.probeStart, w.lastUpdated, w.streak = false, time.Time{}, now, streak{}
}

// RecordProbeStart records that a task started on a worker on probation, which admits no other task until this one ends or
// ProbeTimeout passes.
func (m *Model) RecordProbeStart(worker string, now time.Time) {
	if w := m.workers[worker]; w != nil && (w.quarantined || w.streak.active()) {
		w.probeStart = now
	}
}

// RecordProbeAbort records that the probe ended without a result, for example by eviction, so that another one may start.
func (m *Model) RecordProbeAbort(worker string) {
	if w := m.workers[worker]; w != nil {
		w.probeStart = time.Time{}
	}
}

// Admits returns which tasks the worker may start.
func (m *Model) Admits(worker string, now time.Time) Admission {
	w := m.workers[worker]
	switch {
	case w == nil || !w.quarantined && !w.streak.active():
		return AdmitAll
	case w.quarantined && now.Before(w.probationAt), now.Before(w.streak.pauseEnd):
		return AdmitNone
	case !w.probeStart.IsZero() && now.Sub(w.probeStart) < m.config.ProbeTimeout:
		return AdmitNone
	default:
		return AdmitProbe
	}
}

// JobFaultReason returns why the job is considered faulty, or the empty string if it isn't.
func (m *Model) JobFaultReason(job string) string {
	if j := m.jobs[job]; j != nil {
		return j.faultReason
	}
	return ""
}

// Quarantined returns the sorted names of the quarantined workers, including those on probation.
func (m *Model) Quarantined() []string {
	var names []string
	for name, w := range m.workers {
		if w.quarantined {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ForgetWorker drops all failures on a worker, for example after its host was replaced.
func (m *Model) ForgetWorker(worker string) {
	delete(m.workers, worker)
	for _, j := range m.jobs {
		delete(j.workerFailures, worker)
	}
}

// ForgetJob drops the record of a job that has ended. Its failures still count against workers until Window has passed.
func (m *Model) ForgetJob(job string) { delete(m.jobs, job) }
