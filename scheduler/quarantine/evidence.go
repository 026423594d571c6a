package quarantine

import (
	"fmt"
	"time"
)

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
