package main

import (
	"fmt"
	"time"
)

// gangLayout has twelve executors, so that one is within a share of 0.085. Two of them are of the kind that the gang needs.
var gangLayout = layout{fronts: 3, sides: 12, cpu: 16000, kinds: []string{"a", "a", "a", "a", "a", "b"}, routes: []map[string]any{route("r-build", "/build/", 0, 4)}}

func init() { register("gang", gangLayout, playGang) }

const (
	gangSize = 2
	gangCPU  = 2000
	// gangWork is how long the gang works, and failingTime for how long one executor fails every run that it starts.
	gangWork    = 1500 * time.Millisecond
	failingTime = 3 * time.Second
	// failAfter is how long after its start a run fails on that executor.
	failAfter = 300 * time.Millisecond
	// finishTime is the bound finish_s. After it, a job that has nothing running for standstill breaks the rule.
	finishTime = 14 * time.Second
	standstill = 3 * time.Second
	gangLimit  = 30 * time.Second
)

// playGang submits a job with one gang, each member of which runs on an executor of its own. One executor fails every run that it
// starts for a short time, so that the gang has to start again.
func playGang(f *fleet, trouble bool) (broken []string, err error) {
	failing, failingUntil := "", time.Time{}
	if trouble {
		// The last executor of the kind fails every run that it starts, until some seconds after the submission of the job.
		failing = f.executors[len(f.executors)-1].name
		failingUntil = time.Now().Add(failingTime)
		f.rec.addf("executor %s fails all that it starts for %v", failing, failingTime)
	}
	f.workload.needOf = func(string) int64 { return gangCPU }
	f.workload.workOf = func(executor, _ string, _ int) work {
		if executor == failing && time.Now().Before(failingUntil) {
			return work{takes: failAfter, how: "failed", gang: gangSize}
		}
		return work{takes: gangWork, how: "done", gang: gangSize}
	}
	id := newID()
	path := "/build/" + id
	body := job(step(gangSize, gangCPU, gangWork, map[string]any{"gang": true, "antiAffinity": 1, "requirements": "b"}))
	if status := f.submit(path, body); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted: %d", status)
	}
	submittedAt := time.Now()
	last, idleSince, longest := "", time.Now(), time.Duration(0)
	for time.Since(submittedAt) < gangLimit {
		if f.isRunning(id) {
			idleSince = time.Now()
		}
		if time.Since(submittedAt) > finishTime {
			longest = max(longest, min(time.Since(idleSince), time.Since(submittedAt)-finishTime))
		}
		state := f.state(0, path)
		if state != last {
			f.rec.addf("GET %s: %s", path, state)
			last = state
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	failures := 0
	for _, e := range f.workload.endsOf(id) {
		if e.how == "failed" {
			failures++
		}
	}
	f.rec.addf("the job is shown as %q; %d starts, %d ends `failed`, maxAttempts 4; nothing of it ran for %v at a stretch from %v after it was handed in, with all executors up, sound and empty",
		last, len(f.workload.startsOf(id)), failures, longest.Round(time.Millisecond), finishTime)
	if (last == "pending" || last == "running") && longest >= standstill {
		broken = append(broken, fmt.Sprintf("LOST: for %v job %s had nothing running while its turn had come and its executors were empty", longest.Round(time.Millisecond), id))
	}
	if last == "failed" && failures < 4 {
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as `failed` after %d ends `failed`", id, failures))
	}
	return broken, nil
}
