package quarantine

import (
	"cmp"
	"time"
)

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
