package main

import (
	"strings"
	"sync"
	"time"
)

// shop is what all executors of a service share: the work that tasks do, and the gangs that gather.
type shop struct {
	rec    *record
	mu     sync.Mutex
	workOf func(executor, task string, run int) work
	needOf func(task string) int64
	gangs  map[string]map[string]*run
	starts []startSeen
	ends   []endSeen
}

type startSeen struct {
	executor, task string
	run            int
	at             time.Time
}

type endSeen struct {
	executor, task, how string
	run                 int
	at                  time.Time
	// listed is set if a response of the executor has contained the end, and acked once the ackCursor has reached it.
	number        int64
	listed, acked bool
}

func (s *shop) seeStart(executor, task string, run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, startSeen{executor, task, run, time.Now()})
}

func (s *shop) seeEnd(l *life, r *run, how string) {
	s.rec.addf("end of %s run %d on %s: %s, number %d", r.task, r.run, l.x.name, how, l.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, endSeen{executor: l.id, task: r.task, how: how, run: r.run, at: time.Now(), number: l.number})
}

func (s *shop) seeAck(l *life, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ends {
		if s.ends[i].executor == l.id && s.ends[i].number == number {
			s.ends[i].acked = true
		}
	}
}

// startsOf returns the starts of the tasks of a job.
func (s *shop) startsOf(job string) []startSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []startSeen
	for _, seen := range s.starts {
		if strings.HasPrefix(seen.task, job+".") {
			found = append(found, seen)
		}
	}
	return found
}

// endsOf returns the ends of the runs of a job.
func (s *shop) endsOf(job string) []endSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []endSeen
	for _, seen := range s.ends {
		if strings.HasPrefix(seen.task, job+".") {
			found = append(found, seen)
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
