package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Model tells faulty workers from faulty jobs by who fails where. A worker is faulty when enough distinct jobs failed
// on it in a row, not counting jobs that are faulty themselves. A job is faulty when it failed on enough distinct
// workers in a row, not counting quarantined ones. A failure that the other side explains as well counts half. Either
// side's success clears its evidence. Evictions, cancellations and lost workers are no failures and must not be
// reported. A model is not safe for concurrent use.
type Model struct {
	config    Config
	fleetSize int
	workers   map[string]*workerRecord
	jobs      map[string]*jobRecord
}

type workerRecord struct {
	// jobFailures maps distinct jobs to when they last jobFailures here.
	jobFailures map[string]time.Time
	lastUpdated time.Time
	// until is when the quarantine turns into probation; the worker is quarantined while quarantined is set.
	quarantined bool
	probationAt time.Time
	// backoffLevel counts quarantines in a row, for the backoff.
	backoffLevel int
	// probeStart is the start of the probeStart under way, zero without one.
	probeStart time.Time
	streak     streak
}

type jobRecord struct {
	// workerFailures maps distinct workers to when the job last workerFailures there.
	workerFailures map[string]time.Time
	lastFailure    time.Time
	faultReason    string
}

// New returns a model without evidence.
func New(config Config) *Model {
	return &Model{config: config.withDefaults(), workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
}

// SetFleetSize sets the number of workers, of which MaxShare may be quarantined.
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
		// The job is to blame, so what it did to workers is no evidence against them.
		m.releaseWorkers(job, now)
	}
	switch {
	case w.quarantined && probing && j.faultReason == "":
		m.quarantine(w, now)
	case !w.quarantined:
		m.evaluateWorker(worker, w, now)
	}
}

// RecordSuccess records that a task of the job finished on the worker. It clears the evidence against both, and ends a
// quarantine.
func (m *Model) RecordSuccess(job, worker string, now time.Time) {
	delete(m.jobs, job)
	w := m.workers[worker]
	if w == nil {
		return
	}
	clear(w.jobFailures)
	w.quarantined, w.probeStart, w.lastUpdated, w.streak = false, time.Time{}, now, streak{}
}

// RecordProbeStart records that a task started on a worker on probation. Until it ends, the worker admits no other.
func (m *Model) RecordProbeStart(worker string, now time.Time) {
	if w := m.workers[worker]; w != nil && (w.quarantined || w.streak.active()) {
		w.probeStart = now
	}
}

// RecordProbeAbort records that the probe ended without a result, such as an eviction. Another one may start.
func (m *Model) RecordProbeAbort(worker string) {
	if w := m.workers[worker]; w != nil {
		w.probeStart = time.Time{}
	}
}

// Admits tells what the worker may start.
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

// JobFaultReason returns why the job is faulty, or the empty string if it isn't known to be.
func (m *Model) JobFaultReason(job string) string {
	if j := m.jobs[job]; j != nil {
		return j.faultReason
	}
	return ""
}

// Quarantined returns the names of the quarantined workers in order, those on probation included.
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

// ForgetWorker drops the evidence against a worker, as when its host was replaced.
func (m *Model) ForgetWorker(worker string) {
	delete(m.workers, worker)
	for _, j := range m.jobs {
		delete(j.workerFailures, worker)
	}
}

// ForgetJob drops the evidence against a job that has ended. What it did to workers stays until the window has passed.
func (m *Model) ForgetJob(job string) { delete(m.jobs, job) }

// Evidence is counted in halves: a failure that the other side explains as well counts half.
const (
	fullEvidence = 2
	halfEvidence = 1
)

// evaluateJob sets the verdict on a job and tells whether it is new. A quarantined worker is no evidence against the job,
// and a suspect one half.
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

// isSuspect tells whether a sound job other than the given one failed on the worker since its last success.
func (m *Model) isSuspect(w *workerRecord, except string) bool {
	for job := range w.jobFailures {
		if j := m.jobs[job]; job != except && (j == nil || j.faultReason == "") {
			return true
		}
	}
	return false
}

// evaluateWorker quarantines a worker if enough distinct jobs failed on it.
func (m *Model) evaluateWorker(name string, w *workerRecord, now time.Time) {
	if m.workerEvidence(name, w) >= m.config.JobThreshold*fullEvidence && m.mayQuarantine() {
		m.quarantine(w, now)
	}
}

// workerEvidence sums up the distinct jobs that failed on a worker. A faulty job is no workerEvidence against it, and one that failed
// on another worker that isn't quarantined half.
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

// mayQuarantine tells whether one more worker may be quarantined. One always may, in a fleet of two or more.
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

// releaseWorkers ends the quarantine of workers that only a faulty job gave enough evidence for.
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
		// The worker has been well for long enough that an old quarantine says nothing about it.
		w.backoffLevel = 0
	}
	return w
}

// Advance drops evidence that has aged out of the window. It is called about once a minute.
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

// recordFailure keeps the latest failures of at most maxEvidence names.
func recordFailure(failed map[string]time.Time, name string, now time.Time) {
	if _, ok := failed[name]; !ok && len(failed) >= maxTrackedFailures {
		dropOldest(failed, func(at time.Time) (time.Time, bool) { return at, true })
	}
	failed[name] = now
}

// dropOldest removes the oldest entry that may go; among equals the first by name. Without one it removes the first.
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

// Len returns the numbers of jobs and workers with evidence.
func (m *Model) Len() (jobs, workers int) { return len(m.jobs), len(m.workers) }
