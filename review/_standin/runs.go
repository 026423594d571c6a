package main

import (
	"fmt"
	"strconv"
	"time"
)

// work says what a run does: it ends in the given way after the time.
type work struct {
	takes time.Duration
	how   string
	// gang is the number of tasks that have to be present; 0 if the task isn't part of a gang.
	gang int
	// saves is set if the run has a checkpoint with each savePeriod.
	saves bool
}

type run struct {
	life    *life
	task    string
	run     int
	work    work
	present time.Time
	begun   time.Time
	// start is the checkpoint that the start carried, saved the newest one before the run has made another.
	start     string
	saved     string
	stopping  bool
	gangTimer *time.Timer
}

type endRow struct {
	number    int64
	task      string
	run       int
	how, save string
}

// begin starts the work of a run. The caller holds the lock of the executor.
func (r *run) begin() {
	r.begun = time.Now()
	time.AfterFunc(r.work.takes-r.resumed(), func() {
		if r.work.gang > 0 {
			r.life.x.workload.endGang(r)
			return
		}
		r.life.x.mu.Lock()
		defer r.life.x.mu.Unlock()
		r.life.end(r, r.work.how)
	})
}

// end ends a run that is still there. The caller holds the lock of the executor.
func (l *life) end(r *run, how string) {
	if !l.alive() || l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.last[r.task] = max(l.last[r.task], r.run)
	l.number++
	l.ends = append(l.ends, endRow{l.number, r.task, r.run, how, r.checkpoint()})
	l.x.workload.recordEnd(l, r, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// resumed returns the work that the checkpoint of the start stands for.
func (r *run) resumed() time.Duration {
	if !r.work.saves {
		return 0
	}
	periods, err := strconv.ParseInt(r.start, 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(periods) * savePeriod
}

// checkpoint returns the newest checkpoint of a run.
func (r *run) checkpoint() string {
	if !r.work.saves || r.begun.IsZero() || time.Since(r.begun) < savePeriod {
		return r.saved
	}
	return fmt.Sprintf("%08x", int64((r.resumed()+time.Since(r.begun))/savePeriod))
}
