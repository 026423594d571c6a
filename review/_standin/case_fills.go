package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// fillsLayout has 16 executors, so that one is within a share of 0.065. Jobs that last come before batch jobs.
var fillsLayout = layout{fronts: 3, sides: 16, cpu: 16000, kinds: []string{"a"}, routes: []map[string]any{
	route("r-pool", "/pool/", 0, 2), route("r-build", "/build/", 2, 4),
}}

func init() { register("fills", fillsLayout, playFills) }

const (
	// fillsTasks tasks last and fill.
	fillsTasks = 3
	fillsCPU   = 12000
	// Batch jobs of batchTasks tasks come each batchInterval, more than the executors can run. Their tasks take from batchWork to
	// twice as long.
	batchTasks    = 10
	batchCPU      = 1600
	batchInterval = 180 * time.Millisecond
	batchWork     = 3 * time.Second
	// batchLead is how long batch jobs come before an executor is taken away, and batchWatch how long they come afterwards.
	batchLead  = 12 * time.Second
	batchWatch = 24 * time.Second
	// lastsBound is how long after its last run a task that lasts may be without one: 3 s that begin 6 s after it.
	lastsBound = 9 * time.Second
)

// playFills runs a few tasks that last and fill beside many batch tasks, and takes away an executor that runs one of the former.
func playFills(f *fleet, trouble bool) (broken []string, err error) {
	id := newID()
	f.shop.needOf = func(task string) int64 {
		if strings.HasPrefix(task, id) {
			return 0
		}
		return batchCPU
	}
	f.shop.workOf = func(_, task string, _ int) work {
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
	if starts := f.shop.startsOf(id); trouble && len(starts) > 0 {
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

// sendBatch hands in batch jobs until stop is closed.
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
	starts := f.shop.startsOf(id)
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
	f.shop.mu.Lock()
	defer f.shop.mu.Unlock()
	for _, s := range f.shop.starts {
		if s.at.After(from) && s.at.Before(to) {
			count++
		}
	}
	return count
}
