package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// oracle checks that no task runs twice, from what the executors see.
type oracle struct {
	mu     sync.Mutex
	record *journal
	tasks  map[string]*taskSeen
	// unacked holds the ends of each life that are not acknowledged, by number.
	unacked map[*life]map[int64]*runSeen
	found   []finding
	// copied holds the steps of which copies may run, as the beginning of the names of their tasks.
	copied map[string]bool
	starts int
	ends   map[string]int
	lapses int
}

type taskSeen struct{ runs []*runSeen }

// runSeen is a run as its executor has seen it.
type runSeen struct {
	task                      string
	number                    int
	life                      *life
	fence                     int64
	started, stopped, endedAt time.Time
	how                       string
	ackedAt, lapsedAt, lostAt time.Time
}

// finding is a violation: second must not have started.
type finding struct {
	what          string
	first, second *runSeen
}

func newOracle(record *journal) *oracle {
	return &oracle{record: record, tasks: map[string]*taskSeen{}, unacked: map[*life]map[int64]*runSeen{}, copied: map[string]bool{}, ends: map[string]int{}}
}

func (o *oracle) started(l *life, r *run, fence int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts++
	task := o.tasks[r.task]
	if task == nil {
		task = &taskSeen{}
		o.tasks[r.task] = task
	}
	seen := &runSeen{task: r.task, number: r.number, life: l, fence: fence, started: time.Now()}
	o.record.addf("start of %s run %d on %s, fence %d", r.task, r.number, l.name(), fence)
	for _, former := range task.runs {
		switch {
		case former.endedAt.IsZero() && former.lostAt.IsZero():
			o.find("runs of one task at once", former, seen)
		case former.how == "done" && !former.ackedAt.IsZero() && former.lapsedAt.IsZero():
			o.find("a start after an acknowledged end", former, seen)
		}
	}
	task.runs = append(task.runs, seen)
}

// acknowledged notes that ackCursor has reached an end. Starts since the end then break the rule, unless the lease has lapsed.
func (o *oracle) acknowledged(l *life, number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	end := o.unacked[l][number]
	if end == nil {
		return
	}
	delete(o.unacked[l], number)
	end.ackedAt = time.Now()
	if end.how != "done" || !end.lapsedAt.IsZero() {
		return
	}
	for _, later := range o.tasks[end.task].runs {
		if later != end && later.started.After(end.endedAt) {
			o.find("a start after an end that is acknowledged later", end, later)
		}
	}
}

func (o *oracle) ended(l *life, r *run, number int64, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.runOf(l, r)
	seen.endedAt, seen.how = time.Now(), how
	o.ends[how]++
	o.record.addf("end of %s run %d on %s: %s, number %d", r.task, r.number, l.name(), how, number)
	if o.unacked[l] == nil {
		o.unacked[l] = map[int64]*runSeen{}
	}
	o.unacked[l][number] = seen
}

func (o *oracle) stopped(l *life, r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runOf(l, r).stopped = time.Now()
	o.record.addf("stop of %s run %d on %s", r.task, r.number, l.name())
}

// lapsed notes that the lease of an executor has lapsed.
func (o *oracle) lapsed(l *life) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lapses++
	for _, end := range o.unacked[l] {
		end.lapsedAt = time.Now()
	}
}

// lifeEnded notes that everything that ran on an executor is gone.
func (o *oracle) lifeEnded(l *life, cause string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range l.running {
		seen := o.runOf(l, r)
		seen.lostAt, seen.how = time.Now(), cause
		o.ends["lost"]++
	}
	delete(o.unacked, l)
}

func (o *oracle) runOf(l *life, r *run) *runSeen {
	for _, seen := range o.tasks[r.task].runs {
		if seen.life == l && seen.number == r.number {
			return seen
		}
	}
	panic("run without a start")
}

// allowCopies notes that copies of the tasks of a step may run.
func (o *oracle) allowCopies(step string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.copied[step] = true
}

func (o *oracle) find(what string, first, second *runSeen) {
	if o.copied[first.task[:strings.LastIndexByte(first.task, '.')]] {
		return
	}
	f := finding{what: fmt.Sprintf("TWICE: %s: %s, first %v, second %v", what, first.task, first, second), first: first, second: second}
	o.found = append(o.found, f)
	o.record.addf("%s", f.what)
}

func (o *oracle) startCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts
}

func (o *oracle) findings() []finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.found
}

func (o *oracle) summary() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("%d starts, ends %v, %d lapsed leases, %d findings", o.starts, o.ends, o.lapses, len(o.found))
}

// String describes a run.
func (r *runSeen) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "run %d on %s with fence %d, started %s", r.number, r.life.name(), r.fence, r.started.UTC().Format(journalTime))
	for _, moment := range []struct {
		what string
		at   time.Time
	}{
		{"stop ordered", r.stopped},
		{"ended " + r.how, r.endedAt},
		{"acknowledged", r.ackedAt},
		{"lapsed", r.lapsedAt},
		{"lost, executor " + r.how, r.lostAt},
	} {
		if !moment.at.IsZero() {
			fmt.Fprintf(&b, ", %s %s", moment.what, moment.at.UTC().Format(journalTime))
		}
	}
	return b.String()
}
