package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// submitted is an urgent job with the times of its submission.
type submitted struct {
	id             string
	sent, accepted time.Time
}

func job(id string, tasks int, urgent bool, command string) structs.Job {
	return structs.Job{
		ID: id, Team: "shop", Name: id, Kind: structs.KindBatch, Priority: 50, Urgent: urgent, Tasks: tasks, MaxAttempts: 10,
		Resources: structs.Resources{MilliCores: 2000, MemoryMB: 4000}, Class: "durations", Command: command,
	}
}

func (r *run) submit(entry int, j structs.Job) error {
	return r.call(http.MethodPost, "http://"+r.entries[entry%len(r.entries)]+"/v1/jobs", j, nil)
}

func (r *run) urgentIdle() error {
	fmt.Fprintln(r.out, "urgent jobs of one task, time to the start on the worker")
	return r.urgentJobs("idle", 50*time.Millisecond, 350*time.Millisecond)
}

func (r *run) urgentFull() error {
	slots := r.perWorker * len(r.workers)
	// The urgent jobs arrive over a minute at most, in which a slot takes four tasks.
	const rounds = 20
	fill := "fill-" + r.label
	if err := r.submit(0, job(fill, rounds*slots, false, "run=15s")); err != nil {
		return err
	}
	// Learned sizes are larger than the declared ones, so that a worker may hold fewer tasks than it has slots.
	err := r.await("workers are full", func() (bool, error) {
		status, err := r.status(fill)
		return status.Counts[structs.TaskRunning] > slots/2 && status.Counts[structs.TaskPending] > 0, err
	})
	if err != nil {
		return err
	}
	if !r.pause(fillTime) {
		return r.ctx.Err()
	}
	if err := r.urgentJobs("full", 200*time.Millisecond, 800*time.Millisecond); err != nil {
		return err
	}
	status, err := r.status(fill)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "  at the end workers ran %d tasks of 15 s, with %d slots, and %d were pending\n",
		status.Counts[structs.TaskRunning], slots, status.Counts[structs.TaskPending])
	if status.Counts[structs.TaskPending] == 0 {
		return eris.Wrap(errNotMeasured, "no batch task was pending")
	}
	return r.cancel(fill)
}

// fillTime lets the owner fill all workers once more than half of their slots are taken.
const fillTime = 5 * time.Second

func (r *run) status(id string) (structs.JobStatus, error) {
	var status structs.JobStatus
	return status, r.call(http.MethodGet, "http://"+r.entries[0]+"/v1/jobs/"+id, nil, &status)
}

// cancel ends a job and waits until none of its tasks runs.
func (r *run) cancel(id string) error {
	if err := r.call(http.MethodDelete, "http://"+r.entries[0]+"/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return r.await("job "+id+" has ended", func() (bool, error) {
		status, err := r.status(id)
		return status.Done, err
	})
}

// urgentJobs submits urgent jobs through the entries in turns, after random pauses, and prints the times to their starts.
func (r *run) urgentJobs(label string, least, most time.Duration) error {
	var jobs []submitted
	for i := range r.urgent {
		if !r.pause(least + rand.N(most-least)) {
			return r.ctx.Err()
		}
		s := submitted{id: fmt.Sprintf("urgent-%s-%s-%d", r.label, label, i), sent: time.Now()}
		if err := r.submit(i, job(s.id, 1, true, "run=1s")); err != nil {
			return err
		}
		s.accepted = time.Now()
		jobs = append(jobs, s)
	}
	first := map[string]time.Time{}
	err := r.await("all urgent jobs have started", func() (bool, error) {
		starts, err := r.starts()
		if err != nil {
			return false, err
		}
		for _, s := range starts {
			if at, ok := first[s.task.JobID]; !ok || s.at.Before(at) {
				first[s.task.JobID] = s.at
			}
		}
		for _, s := range jobs {
			if first[s.id].IsZero() {
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
		fromAccepted = append(fromAccepted, first[s.id].Sub(s.accepted))
		fromSent = append(fromSent, first[s.id].Sub(s.sent))
	}
	printFigures(r.out, "  "+label+" fleet, from acceptance", fromAccepted)
	printFigures(r.out, "  "+label+" fleet, from sending", fromSent)
	return nil
}
