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
	config  Config
	fleet   int
	workers map[string]*workerRecord
	jobs    map[string]*jobRecord
}

type workerRecord struct {
	// failed maps distinct jobs to when they last failed here.
	failed map[string]time.Time
	last   time.Time
	// until is when the quarantine turns into probation; the worker is quarantined while closed is set.
	closed bool
	until  time.Time
	// level counts quarantines in a row, for the backoff.
	level int
	// probe is the start of the probe under way, zero without one.
	probe  time.Time
	streak streak
}

type jobRecord struct {
	// failed maps distinct workers to when the job last failed there.
	failed map[string]time.Time
	last   time.Time
	reason string
}

// New returns a model without evidence.
func New(config Config) *Model {
	return &Model{config: config.withDefaults(), workers: map[string]*workerRecord{}, jobs: map[string]*jobRecord{}}
}

// SetFleet sets the number of workers, of which MaxShare may be quarantined.
func (m *Model) SetFleet(workers int) { m.fleet = workers }

// Failed records that a task of the job failed on the worker.
func (m *Model) Failed(job, worker string, now time.Time) {
	j, w := m.job(job, now), m.worker(worker, now)
	record(j.failed, worker, now)
	record(w.failed, job, now)
	j.last, w.last = now, now
	m.expire(j.failed, now)
	m.expire(w.failed, now)
	probed := w.closed && !w.probe.IsZero()
	w.probe = time.Time{}
	if !m.failedElsewhere(j, worker) {
		w.streak.failed(&m.config, now)
	}
	if m.judgeJob(job, j) {
		// The job is to blame, so what it did to workers is no evidence against them.
		m.releaseFrom(job, now)
	}
	switch {
	case w.closed && probed && j.reason == "":
		m.close(w, now)
	case !w.closed:
		m.judgeWorker(worker, w, now)
	}
}

// Succeeded records that a task of the job finished on the worker. It clears the evidence against both, and ends a
// quarantine.
func (m *Model) Succeeded(job, worker string, now time.Time) {
	delete(m.jobs, job)
	w := m.workers[worker]
	if w == nil {
		return
	}
	clear(w.failed)
	w.closed, w.probe, w.last, w.streak = false, time.Time{}, now, streak{}
}

// ProbeStarted records that a task started on a worker on probation. Until it ends, the worker admits no other.
func (m *Model) ProbeStarted(worker string, now time.Time) {
	if w := m.workers[worker]; w != nil && (w.closed || w.streak.active()) {
		w.probe = now
	}
}

// ProbeEnded records that the probe ended without a result, such as an eviction. Another one may start.
func (m *Model) ProbeEnded(worker string) {
	if w := m.workers[worker]; w != nil {
		w.probe = time.Time{}
	}
}

// Admits tells what the worker may start.
func (m *Model) Admits(worker string, now time.Time) Admission {
	w := m.workers[worker]
	switch {
	case w == nil || !w.closed && !w.streak.active():
		return Open
	case w.closed && now.Before(w.until), now.Before(w.streak.until):
		return Closed
	case !w.probe.IsZero() && now.Sub(w.probe) < m.config.ProbeTimeout:
		return Closed
	default:
		return Probe
	}
}

// JobVerdict returns why the job is faulty, or the empty string if it isn't known to be.
func (m *Model) JobVerdict(job string) string {
	if j := m.jobs[job]; j != nil {
		return j.reason
	}
	return ""
}

// Quarantined returns the names of the quarantined workers in order, those on probation included.
func (m *Model) Quarantined() []string {
	var names []string
	for name, w := range m.workers {
		if w.closed {
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
		delete(j.failed, worker)
	}
}

// ForgetJob drops the evidence against a job that has ended. What it did to workers stays until the window has passed.
func (m *Model) ForgetJob(job string) { delete(m.jobs, job) }

// Evidence is counted in halves: a failure that the other side explains as well counts half.
const (
	fullEvidence = 2
	halfEvidence = 1
)

// judgeJob sets the verdict on a job and tells whether it is new. A quarantined worker is no evidence against the job,
// and a suspect one half.
func (m *Model) judgeJob(name string, j *jobRecord) bool {
	if j.reason != "" {
		return false
	}
	evidence, workers := 0, 0
	for worker := range j.failed {
		w := m.workers[worker]
		switch {
		case w != nil && w.closed:
			continue
		case w != nil && m.suspect(w, name):
			evidence += halfEvidence
		default:
			evidence += fullEvidence
		}
		workers++
	}
	if evidence < m.config.Workers*fullEvidence {
		return false
	}
	j.reason = fmt.Sprintf("failed on %d distinct workers that are not quarantined, and nowhere succeeded since", workers)
	return true
}

// suspect tells whether a sound job other than the given one failed on the worker since its last success.
func (m *Model) suspect(w *workerRecord, except string) bool {
	for job := range w.failed {
		if j := m.jobs[job]; job != except && (j == nil || j.reason == "") {
			return true
		}
	}
	return false
}

// judgeWorker quarantines a worker if enough distinct jobs failed on it.
func (m *Model) judgeWorker(name string, w *workerRecord, now time.Time) {
	if m.evidence(name, w) >= m.config.Jobs*fullEvidence && m.mayClose() {
		m.close(w, now)
	}
}

// evidence sums up the distinct jobs that failed on a worker. A faulty job is no evidence against it, and one that failed
// on another worker that isn't quarantined half.
func (m *Model) evidence(name string, w *workerRecord) int {
	sum := 0
	for job := range w.failed {
		j := m.jobs[job]
		switch {
		case j == nil:
			sum += fullEvidence
		case j.reason != "":
		case m.failedElsewhere(j, name):
			sum += halfEvidence
		default:
			sum += fullEvidence
		}
	}
	return sum
}

func (m *Model) failedElsewhere(j *jobRecord, except string) bool {
	for worker := range j.failed {
		if w := m.workers[worker]; worker != except && (w == nil || !w.closed) {
			return true
		}
	}
	return false
}

// mayClose tells whether one more worker may be quarantined. One always may, in a fleet of two or more.
func (m *Model) mayClose() bool {
	closed := 0
	for _, w := range m.workers {
		if w.closed {
			closed++
		}
	}
	limit := int(m.config.MaxShare * float64(m.fleet))
	return m.fleet != 1 && (m.fleet == 0 || closed < max(limit, 1))
}

func (m *Model) close(w *workerRecord, now time.Time) {
	backoff := m.config.MaxBackoff
	if w.level < 32 && m.config.Backoff<<w.level > 0 {
		backoff = min(backoff, m.config.Backoff<<w.level)
	}
	w.closed, w.until, w.level, w.probe = true, now.Add(backoff), w.level+1, time.Time{}
}

// releaseFrom ends the quarantine of workers that only a faulty job gave enough evidence for.
func (m *Model) releaseFrom(job string, now time.Time) {
	for name, w := range m.workers {
		if _, ok := w.failed[job]; ok {
			w.streak = streak{}
		}
		if _, ok := w.failed[job]; ok && w.closed && m.evidence(name, w) < m.config.Jobs*fullEvidence {
			w.closed, w.probe, w.last, w.level = false, time.Time{}, now, max(w.level-1, 0)
		}
	}
}

func (m *Model) job(name string, now time.Time) *jobRecord {
	if j := m.jobs[name]; j != nil {
		return j
	}
	if len(m.jobs) >= MaxJobs {
		dropOldest(m.jobs, func(j *jobRecord) (time.Time, bool) { return j.last, true })
	}
	j := &jobRecord{failed: map[string]time.Time{}, last: now}
	m.jobs[name] = j
	return j
}

func (m *Model) worker(name string, now time.Time) *workerRecord {
	w := m.workers[name]
	if w == nil {
		if len(m.workers) >= MaxWorkers {
			dropOldest(m.workers, func(w *workerRecord) (time.Time, bool) { return w.last, !w.closed })
		}
		w = &workerRecord{failed: map[string]time.Time{}, last: now}
		m.workers[name] = w
	}
	if !w.closed && now.Sub(w.last) > m.config.MaxBackoff {
		// The worker has been well for long enough that an old quarantine says nothing about it.
		w.level = 0
	}
	return w
}

// Advance drops evidence that has aged out of the window. It is called about once a minute.
func (m *Model) Advance(now time.Time) {
	for name, j := range m.jobs {
		if m.expire(j.failed, now); len(j.failed) == 0 && j.reason == "" {
			delete(m.jobs, name)
		}
	}
	for name, w := range m.workers {
		if w.closed {
			continue
		}
		if m.expire(w.failed, now); len(w.failed) == 0 && now.Sub(w.last) > m.config.MaxBackoff {
			delete(m.workers, name)
		}
	}
}

func (m *Model) expire(failed map[string]time.Time, now time.Time) {
	for name, at := range failed {
		if now.Sub(at) > m.config.Window {
			delete(failed, name)
		}
	}
}

// record keeps the latest failures of at most maxEvidence names.
func record(failed map[string]time.Time, name string, now time.Time) {
	if _, ok := failed[name]; !ok && len(failed) >= maxEvidence {
		dropOldest(failed, func(at time.Time) (time.Time, bool) { return at, true })
	}
	failed[name] = now
}

// dropOldest removes the oldest entry that may go; among equals the first by name. Without one it removes the first.
func dropOldest[T any](entries map[string]T, age func(T) (time.Time, bool)) {
	type candidate struct {
		name string
		at   time.Time
		may  bool
	}
	var found *candidate
	for name, entry := range entries {
		at, may := age(entry)
		c := &candidate{name, at, may}
		if found == nil || c.may && !found.may ||
			c.may == found.may && cmp.Or(c.at.Compare(found.at), cmp.Compare(c.name, found.name)) < 0 {
			found = c
		}
	}
	if found != nil {
		delete(entries, found.name)
	}
}

// Len returns the numbers of jobs and workers with evidence.
func (m *Model) Len() (jobs, workers int) { return len(m.jobs), len(m.workers) }
