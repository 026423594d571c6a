package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// oracle checks from what the executors see that no task runs twice, and that each starts only where it may run.
type oracle struct {
	mu     sync.Mutex
	record *journal
	tasks  map[string]*taskSeen
	// unacked holds the ends of each life that are not acknowledged, by number.
	unacked map[*life]map[int64]*runSeen
	found   []finding
	// rules holds where the tasks of each step may run, and named the services to which a configuration has ever sent a queue.
	rules  map[stepName]stepRule
	named  map[string]map[string]bool
	starts int
	ends   map[string]int
	lapses int
	// staleRenewals counts the calls that another life had received, or none, and that extended a lease.
	staleRenewals int
	// atLimit counts the starts that brought a step to its limit on an executor, and labelled those of steps with a label.
	atLimit, labelled int
	// denied holds the jobs whose cancellation was answered with "no such job", by ID.
	denied map[string]time.Time
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

// ruleName names a rule of the platform that the oracle checks.
type ruleName string

const (
	ruleTwice ruleName = "TWICE"
	ruleRoute ruleName = "ROUTE"
	ruleLimit ruleName = "LIMIT"
	// ruleUnasked is broken by a start of a job that was said not to exist, and ruleLost by a job that lasts and is shown as ended.
	ruleUnasked ruleName = "UNASKED"
	ruleLost    ruleName = "LOST"
)

// finding is a start that breaks a rule, with the runs beside which it does so.
type finding struct {
	rule   ruleName
	what   string
	start  *runSeen
	beside []*runSeen
}

func newOracle(record *journal) *oracle {
	return &oracle{
		record: record, tasks: map[string]*taskSeen{}, unacked: map[*life]map[int64]*runSeen{}, rules: map[stepName]stepRule{},
		named: map[string]map[string]bool{}, ends: map[string]int{}, denied: map[string]time.Time{},
	}
}

// started notes a start on an executor, whose lock is held.
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
			o.findTwice("runs of one task at once", former, seen)
		case o.finishes(former) && !former.ackedAt.IsZero() && former.lapsedAt.IsZero():
			o.findTwice("a start after an acknowledged end", former, seen)
		}
	}
	task.runs = append(task.runs, seen)
	o.checkPlacement(l, r, seen)
	if at, denied := o.denied[stepOf(r.task).job]; denied {
		o.find(ruleUnasked, fmt.Sprintf("a start after its job was said not to exist at %s", at.UTC().Format(journalTime)), seen)
	}
}

// deny notes that the cancellation of a job was answered with "no such job".
func (o *oracle) deny(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.denied[job] = time.Now()
}

// showEnded notes that a job that nobody has cancelled is shown as ended. One whose tasks last never ends.
func (o *oracle) showEnded(job, state string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.rules[stepName{job, "0"}].lasts {
		return
	}
	start := &runSeen{task: job, life: &life{id: job}}
	for name, task := range o.tasks {
		if stepOf(name).job == job && len(task.runs) > 0 {
			start = task.runs[len(task.runs)-1]
		}
	}
	o.find(ruleLost, fmt.Sprintf("its job lasts and is shown as %s", state), start)
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
	if !o.finishes(end) || !end.lapsedAt.IsZero() {
		return
	}
	for _, later := range o.tasks[end.task].runs {
		if later != end && later.started.After(end.endedAt) {
			o.findTwice("a start after an end that is acknowledged later", end, later)
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

// staleRenewal notes that a call that l has not received itself extended its lease.
func (o *oracle) staleRenewal(l *life, left time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.staleRenewals++
	o.record.addf("executor %s: lease extended to %v by a call from before its start", l.name(), left)
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

// finishes reports whether a run has finished its task for good. Tasks that last run again however they end.
func (o *oracle) finishes(r *runSeen) bool {
	return r.how == "done" && !o.rules[stepOf(r.task)].lasts
}

// findTwice notes that second must not have started, unless copies of its task may run.
func (o *oracle) findTwice(what string, first, second *runSeen) {
	if !o.rules[stepOf(first.task)].copied {
		o.find(ruleTwice, fmt.Sprintf("%s: first %v, second %v", what, first, second), second, first)
	}
}

func (o *oracle) find(broken ruleName, what string, start *runSeen, beside ...*runSeen) {
	f := finding{rule: broken, what: fmt.Sprintf("%s: %s: %s", broken, start.task, what), start: start, beside: beside}
	o.found = append(o.found, f)
	o.record.addf("%s", f.what)
}

// counts returns how many starts there were, and the least of those that a constraint of placement concerned.
func (o *oracle) counts() (starts, constrained int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts, min(o.atLimit, o.labelled)
}

func (o *oracle) findings() []finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.found
}

func (o *oracle) summary() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	broken := map[ruleName]int{}
	for _, f := range o.found {
		broken[f.rule]++
	}
	return fmt.Sprintf("%d starts, ends %v, %d lapsed leases, %d extended by calls from before a restart, %d starts at limits, %d with labels, %d findings %v", o.starts, o.ends, o.lapses, o.staleRenewals, o.atLimit, o.labelled, len(o.found), broken)
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
