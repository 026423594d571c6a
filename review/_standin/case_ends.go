package main

import (
	"fmt"
	"sync"
	"time"
)

// endsLayout has four executors. One of them is of the kind that the tasks need.
var endsLayout = layout{fronts: 3, sides: 4, cpu: 16000, kinds: []string{"a", "a", "a", "b"}, routes: []map[string]any{route("r-build", "/build/", 2, 4)}}

func init() { register("ends", endsLayout, playEnds) }

const (
	// endsJobs jobs of endsTasks tasks are submitted at once.
	endsJobs  = 36
	endsTasks = 34
	// endsCPU lets an executor run more tasks than it lists ends in one response.
	endsCPU  = 10
	endsWork = 4 * time.Second
	// slowAnswerTime is the answer time of the slow store, 60 times the usual one. It is slow for slowTime, from slowLead before
	// the first tasks end.
	slowAnswerTime = 60 * storeAnswerTime
	slowTime       = 4500 * time.Millisecond
	slowLead       = time.Second
	endsLimit      = 50 * time.Second
	// companionLead is how long the serving task and the best-effort task run before the jobs are submitted.
	companionLead = 3 * time.Second
	// endsShown limits the violations that are listed one by one.
	endsShown = 5
)

// playEnds submits jobs with many small tasks, which end while the store is slow. No executor, process or connection fails. A
// serving task and a best-effort task run beside them, as on most executors.
func playEnds(f *fleet, trouble bool) (broken []string, err error) {
	f.workload.needOf = func(string) int64 { return endsCPU }
	companions := map[string]bool{}
	f.workload.workOf = func(_, task string, _ int) work {
		if companions[task[:16]] {
			return work{takes: endsLimit, how: "done"}
		}
		return work{takes: endsWork, how: "done"}
	}
	serving, filling := newID(), newID()
	companions[serving], companions[filling] = true, true
	f.submit("/build/"+serving, job(step(1, 100, endsLimit, map[string]any{"longRunning": true, "image": "pool", "targetMs": 50, "requirements": "b"})))
	f.submit("/build/"+filling, job(step(1, 100, endsLimit, map[string]any{"fills": true, "image": "draw", "requirements": "b"})))
	time.Sleep(companionLead)
	ids := make([]string, endsJobs)
	var submissions sync.WaitGroup
	var mu sync.Mutex
	for i := range ids {
		ids[i] = newID()
		submissions.Go(func() {
			s := step(endsTasks, endsCPU, endsWork, map[string]any{"requirements": "b"})
			s["memMb"] = 8
			if status := f.submit("/build/"+ids[i], job(s)); status != 200 {
				mu.Lock()
				defer mu.Unlock()
				err = fmt.Errorf("a job wasn't accepted: %d", status)
			}
		})
	}
	submissions.Wait()
	if err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(endsWork - slowLead)
		f.slowStore()
	}
	f.awaitEnd(ids, "/build/", endsLimit)
	// Ends that are acknowledged later count, too.
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		broken = append(broken, f.startsAfterDone(id)...)
	}
	if len(broken) > endsShown {
		broken = append(broken[:endsShown], fmt.Sprintf("TWICE: %d starts of this kind in all", len(broken)))
	}
	return broken, nil
}

// slowStore makes the store slow for slowTime.
func (f *fleet) slowStore() {
	f.rec.addf("the store answers in %v", slowAnswerTime)
	f.store.setDelay(slowAnswerTime)
	time.AfterFunc(slowTime, func() {
		f.rec.addf("the store answers in %v", storeAnswerTime)
		f.store.setDelay(storeAnswerTime)
	})
}

// awaitEnd waits until all jobs have ended.
func (f *fleet) awaitEnd(ids []string, prefix string, limit time.Duration) {
	states := map[string]string{}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		ended := 0
		for _, id := range ids {
			state := f.state(0, prefix+id)
			if state != states[id] {
				f.rec.addf("GET %s%s: %s", prefix, id, state)
				states[id] = state
			}
			if state == "completed" || state == "failed" || state == "cancelled" {
				ended++
			}
		}
		if ended == len(ids) {
			return
		}
	}
}

// startsAfterDone returns the starts of tasks of a job after a run of them has ended done, if the ackCursor has reached that end.
// Ends of executors whose lease has expired don't count.
func (f *fleet) startsAfterDone(id string) (broken []string) {
	done, lapsed := map[string]observedEnd{}, map[string]bool{}
	for _, e := range f.workload.endsOf(id) {
		if e.how == "lapsed" {
			lapsed[e.executor] = true
		}
	}
	for _, e := range f.workload.endsOf(id) {
		if _, seen := done[e.task]; e.how == "done" && e.acked && !lapsed[e.executor] && !seen {
			done[e.task] = e
		}
	}
	starts := f.workload.startsOf(id)
	perExecutor := map[string]int{}
	for _, s := range starts {
		perExecutor[s.executor]++
		if e, seen := done[s.task]; seen && s.at.After(e.at) {
			broken = append(broken, fmt.Sprintf("TWICE: run %d of %s starts on %s %v after its run %d has ended `done` on %s as number %d, which the ackCursor has reached",
				s.run, s.task, s.executor, s.at.Sub(e.at).Round(time.Millisecond), e.run, e.executor, e.number))
		}
	}
	f.rec.addf("job %s: %d starts %v, %d tasks with an end `done` that was taken note of, %d starts after such an end", id, len(starts), perExecutor, len(done), len(broken))
	return broken
}
