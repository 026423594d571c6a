package quarantine

import (
	"cmp"
	"fmt"
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

type workerRecord struct {
	// jobFailures maps each job that failed on this worker to the time of its latest failure.
	jobFailures map[string]time.Time
	lastUpdated time.Time
	// probationAt is when a quarantined worker may start probes. It stays quarantined until a task succeeds on it, or until
	// its failures are attributed to a faulty job.
	quarantined bool
	probationAt time.Time
	// backoffLevel is the number of consecutive quarantines; each one doubles the backoff.
	backoffLevel int
	// probeStart is the start time of the running probe, zero if none runs.
	probeStart time.Time
	streak     streak
}

type jobRecord struct {
	// workerFailures maps each worker on which the job failed to the time of the latest failure.
	workerFailures map[string]time.Time
	lastFailure    time.Time
	faultReason    string
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

// Weights of a failure. A failure that could have been caused by either the worker or the job counts half.
const (
	fullEvidence = 2
	halfEvidence = 1
)

// evaluateJob declares a job faulty if it failed on enough workers, and reports whether it did so now. Failures on a
// quarantined worker don't count, and failures on a suspect worker count half.
func (m *Model) evaluateJob(name string, j *jobRecord) bool {
	if j.faultReason != "" {
		return false
	}
	evidence, workers := 0, 0
	for worker := range j.workerFailures {
		w := m.workers[worker]
		switch {
		case w != nil && w.quarantined:
			continue
		case w != nil && m.isSuspect(w, name):
			evidence += halfEvidence
		default:
			evidence += fullEvidence
		}
		workers++
	}
	if evidence < m.config.WorkerThreshold*fullEvidence {
		return false
	}
	j.faultReason = fmt.Sprintf("failed on %d distinct workers that are not quarantined, and nowhere succeeded since", workers)
	return true
}

// isSuspect reports whether a job that isn't faulty, other than the given one, failed on the worker since the worker's last
// success.
func (m *Model) isSuspect(w *workerRecord, except string) bool {
	for job := range w.jobFailures {
		if j := m.jobs[job]; job != except && (j == nil || j.faultReason == "") {
			return true
		}
	}
	return false
}

// evaluateWorker quarantines a worker if enough distinct jobs failed on it and the limit of quarantined workers allows it.
func (m *Model) evaluateWorker(name string, w *workerRecord, now time.Time) {
	if m.workerEvidence(name, w) >= m.config.JobThreshold*fullEvidence && m.mayQuarantine() {
		m.quarantine(w, now)
	}
}

// workerEvidence returns the weighted number of distinct jobs that failed on a worker. Faulty jobs don't count, and a job
// that also failed on another worker that isn't quarantined counts half.
func (m *Model) workerEvidence(name string, w *workerRecord) int {
	sum := 0
	for job := range w.jobFailures {
		j := m.jobs[job]
		switch {
		case j == nil:
			sum += fullEvidence
		case j.faultReason != "":
		case m.failedElsewhere(j, name):
			sum += halfEvidence
		default:
			sum += fullEvidence
		}
	}
	return sum
}

func (m *Model) failedElsewhere(j *jobRecord, except string) bool {
	for worker := range j.workerFailures {
		if w := m.workers[worker]; worker != except && (w == nil || !w.quarantined) {
			return true
		}
	}
	return false
}

// mayQuarantine reports whether one more worker may be quarantined. In a fleet of two or more, one always may.
func (m *Model) mayQuarantine() bool {
	quarantined := 0
	for _, w := range m.workers {
		if w.quarantined {
			quarantined++
		}
	}
	limit := int(m.config.MaxQuarantinedShare * float64(m.fleetSize))
	return m.fleetSize != 1 && (m.fleetSize == 0 || quarantined < max(limit, 1))
}

func (m *Model) quarantine(w *workerRecord, now time.Time) {
	backoff := m.config.MaxBackoff
	if w.backoffLevel < 32 && m.config.Backoff<<w.backoffLevel > 0 {
		backoff = min(backoff, m.config.Backoff<<w.backoffLevel)
	}
	w.quarantined, w.probationAt, w.backoffLevel, w.probeStart = true, now.Add(backoff), w.backoffLevel+1, time.Time{}
}

// releaseWorkers ends the quarantine of workers that don't reach the threshold without the failures of a job found faulty.
// It also resets the failure streak of each worker on which the job failed.
func (m *Model) releaseWorkers(job string, now time.Time) {
	for name, w := range m.workers {
		if _, ok := w.jobFailures[job]; ok {
			w.streak = streak{}
		}
		if _, ok := w.jobFailures[job]; ok && w.quarantined && m.workerEvidence(name, w) < m.config.JobThreshold*fullEvidence {
			w.quarantined, w.probeStart, w.lastUpdated, w.backoffLevel = false, time.Time{}, now, max(w.backoffLevel-1, 0)
		}
	}
}

func (m *Model) ensureJob(name string, now time.Time) *jobRecord {
	if j := m.jobs[name]; j != nil {
		return j
	}
	if len(m.jobs) >= MaxJobs {
		dropOldest(m.jobs, func(j *jobRecord) (time.Time, bool) { return j.lastFailure, true })
	}
	j := &jobRecord{workerFailures: map[string]time.Time{}, lastFailure: now}
	m.jobs[name] = j
	return j
}

func (m *Model) ensureWorker(name string, now time.Time) *workerRecord {
	w := m.workers[name]
	if w == nil {
		if len(m.workers) >= MaxWorkers {
			dropOldest(m.workers, func(w *workerRecord) (time.Time, bool) { return w.lastUpdated, !w.quarantined })
		}
		w = &workerRecord{jobFailures: map[string]time.Time{}, lastUpdated: now}
		m.workers[name] = w
	}
	if !w.quarantined && now.Sub(w.lastUpdated) > m.config.MaxBackoff {
		// The worker's record has been unchanged for so long that earlier quarantines no longer raise the backoff.
		w.backoffLevel = 0
	}
	return w
}

// Advance drops failures that are older than Window. It is called about once a minute.
func (m *Model) Advance(now time.Time) {
	for name, j := range m.jobs {
		if m.expireFailures(j.workerFailures, now); len(j.workerFailures) == 0 && j.faultReason == "" {
			delete(m.jobs, name)
		}
	}
	for name, w := range m.workers {
		if w.quarantined {
			continue
		}
		if m.expireFailures(w.jobFailures, now); len(w.jobFailures) == 0 && now.Sub(w.lastUpdated) > m.config.MaxBackoff {
			delete(m.workers, name)
		}
	}
}

func (m *Model) expireFailures(failed map[string]time.Time, now time.Time) {
	for name, at := range failed {
		if now.Sub(at) > m.config.Window {
			delete(failed, name)
		}
	}
}

// recordFailure sets the time of the latest failure of a name, and keeps at most maxTrackedFailures names.
func recordFailure(failed map[string]time.Time, name string, now time.Time) {
	if _, ok := failed[name]; !ok && len(failed) >= maxTrackedFailures {
		dropOldest(failed, func(at time.Time) (time.Time, bool) { return at, true })
	}
	failed[name] = now
}

// dropOldest removes the oldest removable entry, or the oldest of all entries if none is removable. Among entries of the
// same age it removes the first by name.
func dropOldest[T any](entries map[string]T, lastUsed func(T) (time.Time, bool)) {
	type candidate struct {
		name      string
		at        time.Time
		removable bool
	}
	var oldest *candidate
	for name, entry := range entries {
		at, may := lastUsed(entry)
		c := &candidate{name, at, may}
		if oldest == nil || c.removable && !oldest.removable ||
			c.removable == oldest.removable && cmp.Or(c.at.Compare(oldest.at), cmp.Compare(c.name, oldest.name)) < 0 {
			oldest = c
		}
	}
	if oldest != nil {
		delete(entries, oldest.name)
	}
}

// Len returns the numbers of tracked jobs and workers.
func (m *Model) Len() (jobs, workers int) { return len(m.jobs), len(m.workers) }
