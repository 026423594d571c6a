package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the play of ownerStopsAfterFreeze.
const (
	// stopPlayTime is how long owners are stopped one after the other, unless a task runs twice before.
	stopPlayTime = 92 * time.Second
	// calmTime is the time between two stops, in which jobs arrive.
	calmTime = 2400 * time.Millisecond
	// freezeTime is how long the owner's machine stands still. The stop falls into that time.
	freezeTime = 800 * time.Millisecond
	// takeoverTime is how long another process may take to own the jobs.
	takeoverTime = 2 * time.Second
	// stopTasks is the number of tasks of each job.
	stopTasks = 300
)

// ownerStopsAfterFreeze plays planned stops of the process that owns the jobs. With trouble, its machine stands still for a moment, in
// which the stop arrives.
func ownerStopsAfterFreeze(d *deployment, trouble bool) (verdict, error) {
	const prefix = "/pufi791/"
	d.behaviour = func(string, int) (time.Duration, string) {
		return time.Duration(300+rand.IntN(2500)) * time.Millisecond, "done"
	}
	if err := d.start(append(threeHosts(), threeHosts()...)); err != nil {
		return verdict{}, err
	}
	c := newClient(d)
	var ids []string
	submit := func(jobs int) {
		for range jobs {
			id := fmt.Sprintf("%016x", 0xe000000+len(ids))
			ids = append(ids, id)
			go c.submit(prefix, id, "drawing", step{"count": stopTasks, "cpu": 120, "memMb": 10, "estimatedMs": 1000})
		}
	}
	stops := 0
	for until := time.Now().Add(stopPlayTime); time.Now().Before(until); stops++ {
		submit(4)
		time.Sleep(calmTime * 2 / 3)
		submit(5)
		time.Sleep(calmTime / 10)
		owner, err := d.owner()
		if err != nil {
			return verdict{}, err
		}
		if trouble {
			d.signal(owner, syscall.SIGSTOP)
			time.Sleep(freezeTime)
		}
		d.signal(owner, syscall.SIGTERM)
		if trouble {
			d.signal(owner, syscall.SIGCONT)
		}
		time.Sleep(takeoverTime)
		if first, count := d.twice(ids); count > 0 {
			return verdict{true, fmt.Sprintf("TWICE: %d tasks after %d stops, the first: %s", count, stops+1, first)}, nil
		}
	}
	return verdict{text: fmt.Sprintf("no task of %d jobs has run twice in %d stops", len(ids), stops)}, nil
}

// owner returns the name of the host whose process owns the jobs: the one that last wrote to the store under a condition.
func (d *deployment) owner() (string, error) {
	var holder struct {
		Node string `json:"node"`
	}
	if !await(10*time.Second, func() bool {
		value, found := d.store.Value("qz/owner/holder")
		return found && json.Unmarshal(value, &holder) == nil
	}) {
		return "", fmt.Errorf("no process owns the jobs")
	}
	return holder.Node, nil
}

// twice returns a description of the first task that ran twice, and how many did.
func (d *deployment) twice(ids []string) (first string, count int) {
	for _, id := range ids {
		for i := range stopTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			what := d.overlap(task)
			if what == "" {
				what = d.againAfterDone(task)
			}
			if what == "" {
				continue
			}
			if count++; first == "" {
				first = task + ": " + what
			}
		}
	}
	return first, count
}

// againAfterDone describes a start of a task after a run of it has ended done, if that end was acknowledged; empty if there is none.
func (d *deployment) againAfterDone(task string) string {
	spans := d.spansOf(task)
	for _, a := range spans {
		if a.how != "done" || a.acked.IsZero() || a.lapsed {
			continue
		}
		for _, b := range spans {
			if b.start.After(a.end) {
				return fmt.Sprintf("run %d on %s has ended done and was acknowledged %.2f s later, run %d starts on %s %.2f s after the end",
					a.run, a.executor, a.acked.Sub(a.end).Seconds(), b.run, b.executor, b.start.Sub(a.end).Seconds())
			}
		}
	}
	return ""
}
