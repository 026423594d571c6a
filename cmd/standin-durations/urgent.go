package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// submission holds the ID of an urgent job and the times at which it was sent and accepted.
type submission struct {
	id             string
	sent, accepted time.Time
}

func batchJob(id string, tasks int, urgent bool, command string) structs.Job {
	return structs.Job{
		ID: id, Team: "shop", Name: id, Kind: structs.KindBatch, Priority: 50, Urgent: urgent, Tasks: tasks, MaxAttempts: 10,
		Resources: structs.Resources{MilliCores: 2000, MemoryMB: 4000}, Class: "durations", Command: command,
	}
}

func (r *runner) submitJob(entry int, j structs.Job) error {
	return r.call(http.MethodPost, "http://"+r.entries[entry%len(r.entries)]+"/v1/jobs", j, nil)
}

func (r *runner) measureUrgentIdle() error {
	fmt.Fprintln(r.out, "urgent jobs of one task, time to the start on the worker")
	return r.measureUrgentJobs("idle", 50*time.Millisecond, 350*time.Millisecond)
}

func (r *runner) measureUrgentFull() error {
	slots := r.slotsPerWorker * len(r.workers)
	// The urgent jobs are submitted within about a minute, in which a slot runs four of the batch tasks.
	const rounds = 20
	fill := "fill-" + r.label
	if err := r.submitJob(0, batchJob(fill, rounds*slots, false, "run=15s")); err != nil {
		return err
	}
	// Learned sizes are larger than the declared ones, so a worker may run fewer tasks than it has slots.
	err := r.waitFor("workers are full", func() (bool, error) {
		status, err := r.jobStatus(fill)
		return status.Counts[structs.TaskRunning] > slots/2 && status.Counts[structs.TaskPending] > 0, err
	})
	if err != nil {
		return err
	}
	if !r.pause(fillTime) {
		return r.ctx.Err()
	}
	if err := r.measureUrgentJobs("full", 200*time.Millisecond, 800*time.Millisecond); err != nil {
		return err
	}
	status, err := r.jobStatus(fill)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "  at the end workers ran %d tasks of 15 s, with %d slots, and %d were pending\n",
		status.Counts[structs.TaskRunning], slots, status.Counts[structs.TaskPending])
	if status.Counts[structs.TaskPending] == 0 {
		return eris.Wrap(errNotMeasured, "no batch task was pending")
	}
	return r.cancelJob(fill)
}

// fillTime is the wait for the owner to fill all workers after more than half of their slots are taken.
const fillTime = 5 * time.Second

func (r *runner) jobStatus(id string) (structs.JobStatus, error) {
	var status structs.JobStatus
	return status, r.call(http.MethodGet, "http://"+r.entries[0]+"/v1/jobs/"+id, nil, &status)
}

// cancelJob cancels a job and waits until it has ended.
func (r *runner) cancelJob(id string) error {
	if err := r.call(http.MethodDelete, "http://"+r.entries[0]+"/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return r.waitFor("job "+id+" has ended", func() (bool, error) {
		status, err := r.jobStatus(id)
		return status.Done, err
	})
}

// measureUrgentJobs submits urgent jobs through the entries in turn, with random pauses in between, and prints the times
// until they started.
func (r *runner) measureUrgentJobs(label string, minPause, maxPause time.Duration) error {
	var jobs []submission
	for i := range r.urgentCount {
		if !r.pause(minPause + rand.N(maxPause-minPause)) {
			return r.ctx.Err()
		}
		s := submission{id: fmt.Sprintf("urgent-%s-%s-%d", r.label, label, i), sent: time.Now()}
		if err := r.submitJob(i, batchJob(s.id, 1, true, "run=1s")); err != nil {
			return err
		}
		s.accepted = time.Now()
		jobs = append(jobs, s)
	}
	firstStart := map[string]time.Time{}
	err := r.waitFor("all urgent jobs have started", func() (bool, error) {
		starts, err := r.taskStarts()
		if err != nil {
			return false, err
		}
		for _, s := range starts {
			if at, ok := firstStart[s.task.JobID]; !ok || s.at.Before(at) {
				firstStart[s.task.JobID] = s.at
			}
		}
		for _, s := range jobs {
			if firstStart[s.id].IsZero() {
				return false, nil
			}
		}
		return true, nil
	})
	if err != nil {
		return err
	}
	var fromAccepted, fromSent []time.Duration
	for _, s := range jobs {
		fromAccepted = append(fromAccepted, firstStart[s.id].Sub(s.accepted))
		fromSent = append(fromSent, firstStart[s.id].Sub(s.sent))
	}
	printPercentiles(r.out, "  "+label+" fleet, from acceptance", fromAccepted)
	printPercentiles(r.out, "  "+label+" fleet, from sending", fromSent)
	return nil
}
