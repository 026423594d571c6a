package main

import (
	"strings"
	"sync"
	"time"
)

// workload is what all executors of a service share: the work that tasks do, the gangs that gather, and the starts and ends of runs
// seen so far.
type workload struct {
	rec    *record
	mu     sync.Mutex
	workOf func(executor, task string, run int) work
	needOf func(task string) int64
	gangs  map[string]map[string]*run
	starts []observedStart
	ends   []observedEnd
}

type observedStart struct {
	executor, task string
	run            int
	at             time.Time
}

type observedEnd struct {
	executor, task, how string
	run                 int
	at                  time.Time
	number              int64
	// acked is set once the ackCursor has reached the end.
	acked bool
}

func (w *workload) recordStart(executor, task string, run int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, observedStart{executor, task, run, time.Now()})
}

func (w *workload) recordEnd(l *life, r *run, how string) {
	w.rec.addf("end of %s run %d on %s: %s, number %d", r.task, r.run, l.x.name, how, l.number)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, observedEnd{executor: l.id, task: r.task, how: how, run: r.run, at: time.Now(), number: l.number})
}

func (w *workload) recordAck(l *life, number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.ends {
		if w.ends[i].executor == l.id && w.ends[i].number == number {
			w.ends[i].acked = true
		}
	}
}

// startsOf returns the starts of the tasks of a job.
func (w *workload) startsOf(job string) []observedStart {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ofJob(w.starts, job, func(start observedStart) string { return start.task })
}

// endsOf returns the ends of the runs of a job.
func (w *workload) endsOf(job string) []observedEnd {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ofJob(w.ends, job, func(end observedEnd) string { return end.task })
}

// ofJob returns the events that concern tasks of a job.
func ofJob[E any](events []E, job string, taskOf func(E) string) []E {
	var found []E
	for _, e := range events {
		if strings.HasPrefix(taskOf(e), job+".") {
			found = append(found, e)
		}
	}
	return found
}

// isRunning reports whether any executor runs a task of a job.
func (f *fleet) isRunning(job string) bool {
	for _, x := range f.executors {
		x.mu.Lock()
		found := false
		if x.life != nil {
			for task := range x.life.running {
				found = found || strings.HasPrefix(task, job+".")
			}
		}
		x.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
