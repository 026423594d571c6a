package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// fillsLayout has 16 executors, so that one is within a share of 0.065. Long-running jobs have a higher priority than batch jobs.
var fillsLayout = layout{fronts: 3, sides: 16, cpu: 16000, kinds: []string{"a"}, routes: []map[string]any{
	route("r-pool", "/pool/", 0, 2), route("r-build", "/build/", 2, 4),
}}

func init() { register("fills", fillsLayout, playFills) }

const (
	// fillsTasks is the number of long-running best-effort tasks.
	fillsTasks = 3
	fillsCPU   = 12000
	// A batch job of batchTasks tasks is submitted every batchInterval, which is more than the executors can run. Its tasks take
	// from batchWork to twice as long.
	batchTasks    = 10
	batchCPU      = 1600
	batchInterval = 180 * time.Millisecond
	batchWork     = 3 * time.Second
	// batchLead is how long batch jobs are submitted before an executor is removed, and batchWatch for how long after that.
	batchLead  = 12 * time.Second
	batchWatch = 24 * time.Second
	// lastsBound is how long a long-running task may be without a run: 3 s, counted from 6 s after its last run.
	lastsBound = 9 * time.Second
)

// playFills runs a few long-running best-effort tasks beside many batch tasks, and removes an executor that runs one of the former.
func playFills(f *fleet, trouble bool) (broken []string, err error) {
	id := newID()
	f.workload.needOf = func(task string) int64 {
		if strings.HasPrefix(task, id) {
			return 0
		}
		return batchCPU
	}
	f.workload.workOf = func(_, task string, _ int) work {
		if strings.HasPrefix(task, id) {
			return work{takes: time.Hour, how: "done"}
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return work{takes: batchWork + time.Duration(h.Sum32()%1000)*batchWork/1000, how: "done"}
	}
	body := job(step(fillsTasks, fillsCPU, batchWork, map[string]any{"longRunning": true, "fills": true, "image": "watch"}))
	if status := f.submit("/pool/"+id, body); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted: %d", status)
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var batch sync.WaitGroup
	batch.Go(func() { f.sendBatch(stop) })
	time.Sleep(batchLead)
	lostAt, lost := time.Now(), ""
	if starts := f.workload.startsOf(id); trouble && len(starts) > 0 {
		lost = starts[0].executor
		for _, x := range f.executors {
			if x.name == lost {
				x.leave()
			}
		}
		lostAt = time.Now()
	}
	time.Sleep(batchWatch)
	close(stop)
	batch.Wait()
	return f.waitsToLast(id, lost, lostAt), nil
}

// sendBatch submits batch jobs until stop is closed.
func (f *fleet) sendBatch(stop <-chan struct{}) {
	counts := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			f.rec.addf("batch jobs by status: %v", counts)
			return
		case <-time.After(batchInterval):
		}
		status, _ := f.call(i%f.layout.fronts, http.MethodPost, "/build/"+newID(), job(step(batchTasks, batchCPU, batchWork+batchWork/2, nil)))
		counts[status]++
	}
}

// waitsToLast returns the tasks of a job that had no run for longer than lastsBound after their executor had left.
func (f *fleet) waitsToLast(id, lost string, lostAt time.Time) (broken []string) {
	gone, again := map[string]bool{}, map[string]time.Time{}
	starts := f.workload.startsOf(id)
	for _, s := range starts {
		switch {
		case s.at.Before(lostAt) && s.executor == lost:
			gone[s.task] = true
		case s.at.After(lostAt) && gone[s.task] && again[s.task].IsZero():
			again[s.task] = s.at
		}
	}
	if len(starts) < fillsTasks {
		broken = append(broken, fmt.Sprintf("LOST: only %d of %d tasks that last have started", len(starts), fillsTasks))
	}
	for task := range gone {
		gap, until := time.Since(lostAt), "to the end of the play"
		if !again[task].IsZero() {
			gap, until = again[task].Sub(lostAt), "until it ran again"
		}
		batch := f.startsBetween(lostAt, lostAt.Add(gap))
		f.rec.addf("%s had no run for %v %s; %d batch tasks were started meanwhile", task, gap.Round(time.Millisecond), until, batch)
		if gap > lastsBound {
			broken = append(broken, fmt.Sprintf("LOST: %s is to last and had no run for %v %s, though its cpu isn't counted; %d batch tasks were started meanwhile",
				task, gap.Round(time.Millisecond), until, batch))
		}
	}
	return broken
}

// startsBetween counts the starts of all jobs between two times.
func (f *fleet) startsBetween(from, to time.Time) (count int) {
	f.workload.mu.Lock()
	defer f.workload.mu.Unlock()
	for _, s := range f.workload.starts {
		if s.at.After(from) && s.at.Before(to) {
			count++
		}
	}
	return count
}
