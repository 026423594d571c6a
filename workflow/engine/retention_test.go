package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a job that runs again: an owner whose wall clock is ahead deletes it as soon as it has ended, and then its client
// repeats the submission.
func TestRetentionIsNotCountedByWallClock(t *testing.T) {
	const ahead = time.Hour
	finished := func(h *harness) workflow.Job {
		job, running := h.startJob(executor("a", 1), step(1))
		h.report("a", executor("a", 1), nil, []workflow.RunEnd{{Number: 1, Task: running[0].Task, Run: 1, How: workflow.EndDone}})
		h.plan()
		h.Assert(h.phase(job.ID), qt.Equals, workflow.Completed)
		return job
	}
	for name, takeover := range map[string]func(h *harness, job workflow.Job, record *workflow.JobRecord){
		"by its record alone": func(h *harness, job workflow.Job, record *workflow.JobRecord) { h.engine.AddEnded(job.ID, record) },
		"with its input": func(h *harness, job workflow.Job, record *workflow.JobRecord) {
			h.engine.Add(job, record, h.now, h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			job := finished(h)
			record := &workflow.JobRecord{Phase: workflow.Completed, EndedUnixMillis: h.now.UnixMilli()}
			h.now = h.now.Add(ahead)
			h.engine = h.newEngine()
			takeover(h, job, record)
			h.Assert(h.engine.ExpiredJobs(h.now, 8), qt.HasLen, 0, qt.Commentf("the owner doesn't know for how long the job has ended"))
			h.Assert(h.engine.ExpiredJobs(h.now.Add(131*time.Second), 8), qt.DeepEquals, []string{job.ID})
		})
	}
}
