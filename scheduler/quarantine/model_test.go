package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/scheduler/quarantine"
	"github.com/quetzalshed/quetzalshed/structs"
)

var start = time.Date(2026, 5, 4, 10, 0, 0, 0, time.UTC)

func failDistinctJobs(m *quarantine.Model, worker string, n int, now time.Time) {
	for i := range n {
		m.RecordFailure(fmt.Sprintf("%s-job%d", worker, i), worker, now)
	}
}

func failOn(m *quarantine.Model, job string, now time.Time, workers ...string) {
	for _, worker := range workers {
		m.RecordFailure(job, worker, now)
	}
}

// A faulty worker must be quarantined, and the jobs that failed on it must not be declared faulty.
func TestFaultyWorker(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	failDistinctJobs(m, "w", 2, start)
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitAll)
	m.RecordFailure("w-job1", "w", start)
	c.Assert(m.Quarantined(), qt.HasLen, 0, qt.Commentf("a repeated failure of the same job doesn't count again"))
	failDistinctJobs(m, "w", 3, start)
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitNone)
	for i := range 3 {
		c.Assert(m.JobFaultReason(fmt.Sprintf("w-job%d", i)), qt.Equals, "")
	}
}

// A faulty job must not be retried forever, nor cause the quarantine of healthy workers.
func TestFaultyJob(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	failOn(m, "bad", start, "w1", "w1", "w2", "w1", "w2")
	c.Assert(m.JobFaultReason("bad"), qt.Equals, "")
	m.RecordFailure("bad", "w3", start)
	c.Assert(m.JobFaultReason("bad"), qt.Matches, "failed on 3 distinct workers.*")
	c.Assert(m.Quarantined(), qt.HasLen, 0)
	m.ForgetJob("bad")
	c.Assert(m.JobFaultReason("bad"), qt.Equals, "")
}

// Failures must not count any more after a success, or after the window.
func TestEvidenceExpires(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	failDistinctJobs(m, "w", 2, start)
	m.RecordSuccess("other", "w", start)
	m.RecordFailure("third", "w", start)
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitAll)

	failOn(m, "bad", start, "w1", "w2")
	m.RecordSuccess("bad", "w4", start)
	m.RecordFailure("bad", "w3", start)
	c.Assert(m.JobFaultReason("bad"), qt.Equals, "")

	late := start.Add(quarantine.DefaultWindow + time.Second)
	failOn(m, "bad", late, "w5", "w6")
	c.Assert(m.JobFaultReason("bad"), qt.Equals, "", qt.Commentf("the failure on w3 is older than the window"))
	failDistinctJobs(m, "w", 2, late)
	c.Assert(m.Quarantined(), qt.HasLen, 0)
}

// A worker must not stay quarantined because of the failures of a job that is later found faulty.
func TestFaultyJobsReleaseWorker(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	failDistinctJobs(m, "w", 3, start)
	c.Assert(m.Quarantined(), qt.DeepEquals, []string{"w"})
	failOn(m, "w-job0", start, "x", "y", "z")
	c.Assert(m.JobFaultReason("w-job0"), qt.Not(qt.Equals), "")
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitAll)
}

// A healthy job must not be declared faulty because of faulty workers: neither quarantined workers, nor workers that are
// suspect because other jobs failed on them too.
func TestFaultyWorkersDoNotFailJob(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	for i := range 3 {
		worker := fmt.Sprintf("quarantined%d", i)
		failDistinctJobs(m, worker, 3, start)
		m.RecordFailure("healthy", worker, start)
	}
	failOn(m, "healthy", start, "x", "y")
	c.Assert(m.JobFaultReason("healthy"), qt.Equals, "", qt.Commentf("only two of the workers are healthy"))

	for i := range 6 {
		c.Assert(m.JobFaultReason("other"), qt.Equals, "", qt.Commentf("%d suspect workers", i))
		worker := fmt.Sprintf("suspect%d", i)
		failDistinctJobs(m, worker, 1, start)
		m.RecordFailure("other", worker, start)
	}
	c.Assert(m.JobFaultReason("other"), qt.Not(qt.Equals), "")
}

// A healthy worker must not be quarantined because of faulty jobs: neither jobs known to be faulty, nor jobs that failed on
// other workers too.
func TestFaultyJobsDoNotQuarantineWorker(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	for i := range 5 {
		failOn(m, fmt.Sprintf("spread%d", i), start, fmt.Sprintf("elsewhere%d", i), "w")
	}
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitAll)
	failOn(m, "spread5", start, "elsewhere5", "w")
	c.Assert(m.Admits("w", start), qt.Equals, quarantine.AdmitNone)

	failOn(m, "bad", start, "x", "y", "z", "v")
	failOn(m, "bad2", start, "x", "y", "z", "v")
	failDistinctJobs(m, "v", 2, start)
	c.Assert(m.Admits("v", start), qt.Equals, quarantine.AdmitAll)
	failDistinctJobs(m, "v", 3, start)
	now := start.Add(quarantine.DefaultBackoff)
	m.RecordProbeStart("v", now)
	m.RecordFailure("bad", "v", now)
	c.Assert(m.Admits("v", now), qt.Equals, quarantine.AdmitProbe, qt.Commentf("a probe with a faulty job gives no result"))
}

// A quarantine must end, probes must not run concurrently, and the backoff must grow with each failed probe.
func TestProbation(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{Backoff: time.Minute, MaxBackoff: 3 * time.Minute, ProbeTimeout: time.Minute})
	now := start
	failDistinctJobs(m, "w", 3, now)
	m.RecordFailure("running", "w", now)
	for i, backoff := range []time.Duration{time.Minute, 2 * time.Minute, 3 * time.Minute, 3 * time.Minute} {
		c.Assert(m.Admits("w", now.Add(backoff-1)), qt.Equals, quarantine.AdmitNone)
		now = now.Add(backoff)
		c.Assert(m.Admits("w", now), qt.Equals, quarantine.AdmitProbe)
		m.RecordProbeStart("w", now)
		c.Assert(m.Admits("w", now), qt.Equals, quarantine.AdmitNone)
		m.RecordFailure(fmt.Sprintf("probe%d", i), "w", now)
	}
	now = now.Add(3 * time.Minute)
	m.RecordProbeStart("w", now)
	m.RecordProbeAbort("w")
	c.Assert(m.Admits("w", now), qt.Equals, quarantine.AdmitProbe, qt.Commentf("the probe was evicted"))
	m.RecordProbeStart("w", now)
	c.Assert(m.Admits("w", now.Add(time.Minute)), qt.Equals, quarantine.AdmitProbe, qt.Commentf("the probe timed out"))
	m.RecordSuccess("probe", "w", now)
	c.Assert(m.Admits("w", now), qt.Equals, quarantine.AdmitAll)
	failDistinctJobs(m, "w", 3, now)
	c.Assert(m.Admits("w", now.Add(2*time.Minute)), qt.Equals, quarantine.AdmitNone, qt.Commentf("again soon: the backoff is kept"))
	m.RecordSuccess("probe", "w", now)
	now = now.Add(time.Hour)
	failDistinctJobs(m, "w", 3, now)
	c.Assert(m.Admits("w", now.Add(time.Minute)), qt.Equals, quarantine.AdmitProbe, qt.Commentf("healthy for long: the backoff is reset"))
}

// Failures with a common cause, such as a broken file server, must not quarantine the whole fleet.
func TestQuarantinedShareIsLimited(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	m.SetFleetSize(11)
	for i := range 11 {
		failDistinctJobs(m, fmt.Sprintf("w%d", i), 5, start)
	}
	c.Assert(m.Quarantined(), qt.HasLen, 3)
	singleWorker := quarantine.New(quarantine.Config{})
	singleWorker.SetFleetSize(1)
	failDistinctJobs(singleWorker, "w", 5, start)
	c.Assert(singleWorker.Quarantined(), qt.HasLen, 0)
}

// With faulty workers and faulty jobs at the same time, exactly the faulty jobs must be declared faulty, and at the end
// exactly the faulty workers must be quarantined.
func TestFaultyWorkersAndJobsTogether(t *testing.T) {
	for seed := range uint64(300) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		m := quarantine.New(quarantine.Config{})
		const workers, jobs, faultyWorkers, faultyJobs = 20, 30, 3, 4
		m.SetFleetSize(workers)
		now := start
		for range 3000 {
			now = now.Add(200 * time.Millisecond)
			w, j := random.IntN(workers), random.IntN(jobs)
			worker, job := fmt.Sprintf("w%02d", w), fmt.Sprintf("j%02d", j)
			if m.JobFaultReason(job) != "" || m.Admits(worker, now) == quarantine.AdmitNone {
				continue
			}
			m.RecordProbeStart(worker, now)
			if w < faultyWorkers || j < faultyJobs {
				m.RecordFailure(job, worker, now)
			} else {
				m.RecordSuccess(job, worker, now)
			}
		}
		for j := range jobs {
			c.Assert(m.JobFaultReason(fmt.Sprintf("j%02d", j)) != "", qt.Equals, j < faultyJobs, qt.Commentf("seed %d job %d", seed, j))
		}
		c.Assert(m.Quarantined(), qt.DeepEquals, []string{"w00", "w01", "w02"}, qt.Commentf("seed %d", seed))
	}
}

// The tables of jobs and workers must not grow without limit.
func TestTableSizesAreBounded(t *testing.T) {
	c := qt.New(t)
	m := quarantine.New(quarantine.Config{})
	failDistinctJobs(m, "first", 3, start)
	for i := range quarantine.MaxWorkers + 10 {
		m.RecordFailure(fmt.Sprintf("job%d", i), fmt.Sprintf("worker%d", i), start.Add(time.Duration(i)))
	}
	jobs, workers := m.Len()
	c.Assert(jobs, qt.Equals, quarantine.MaxJobs)
	c.Assert(workers, qt.Equals, quarantine.MaxWorkers)
	c.Assert(m.Quarantined(), qt.DeepEquals, []string{"first"}, qt.Commentf("quarantined workers are not dropped"))
	m.Advance(start.Add(2 * time.Hour))
	jobs, workers = m.Len()
	c.Assert(jobs, qt.Equals, 0)
	c.Assert(workers, qt.Equals, 1)
}

// Retries must be limited in number and must not all start at the same moment.
func TestRetryPolicy(t *testing.T) {
	c := qt.New(t)
	p := quarantine.RetryPolicy{BaseDelay: time.Second, MaxDelay: 10 * time.Second}
	distinct := map[time.Duration]bool{}
	for failures, want := range []time.Duration{time.Second, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 10 * time.Second} {
		for index := range 20 {
			delay, ok := p.NextDelay(structs.TaskID{JobID: "j", Index: index}, failures, 50)
			c.Assert(ok, qt.IsTrue)
			c.Assert(delay >= want*3/4 && delay <= want*5/4, qt.IsTrue, qt.Commentf("%d failures: %v", failures, delay))
			distinct[delay] = true
		}
	}
	c.Assert(len(distinct) > 60, qt.IsTrue)
	_, ok := p.NextDelay(structs.TaskID{}, 3, 3)
	c.Assert(ok, qt.IsFalse)
	_, ok = p.NextDelay(structs.TaskID{}, quarantine.DefaultAttempts, 0)
	c.Assert(ok, qt.IsFalse)
	_, ok = p.NextDelay(structs.TaskID{}, quarantine.DefaultMaxAttempts, 1000)
	c.Assert(ok, qt.IsFalse)
}
