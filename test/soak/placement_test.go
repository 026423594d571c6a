package soak

import (
	"fmt"
	"slices"
	"strings"
)

// stepName names a step of a job.
type stepName struct{ job, step string }

// stepRule is what the submission of a step says of its tasks.
type stepRule struct {
	// label is a label that executors must have; empty if none.
	label string
	// limit is how many tasks of one occurrence of the step may run on one executor; 0 if there is no limit.
	limit int
	// copied is set if copies of the tasks may run.
	copied bool
	// lasts is set if the tasks run until their job is cancelled, however their runs end.
	lasts bool
}

// stepOf returns the step of a task.
func stepOf(task string) stepName {
	parts := strings.Split(task, ".")
	return stepName{job: parts[0], step: parts[2]}
}

// occurrenceOf returns what the names of all tasks of the same occurrence of a step begin with.
func occurrenceOf(task string) string { return task[:strings.LastIndexByte(task, '.')+1] }

// setRule notes where the tasks of a step may run, before the job is submitted.
func (o *oracle) setRule(step stepName, rule stepRule) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rules[step] = rule
}

// nameService notes that a configuration sends a queue to a service, before the configuration is written.
func (o *oracle) nameService(queue, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.named[queue] == nil {
		o.named[queue] = map[string]bool{}
	}
	o.named[queue][service] = true
}

// checkPlacement finds a start on an executor where the task may not run. Runs count until they have ended there.
func (o *oracle) checkPlacement(l *life, r *run, seen *runSeen) {
	needs := o.rules[stepOf(r.task)]
	if needs.label != "" && !slices.Contains(l.labels, needs.label) {
		o.find(ruleRoute, fmt.Sprintf("executor without label %s, it has %v: %v", needs.label, l.labels, seen), seen)
	}
	if queue := kindOf(r.task).prefix; !o.named[queue][l.x.service.name] {
		o.find(ruleRoute, fmt.Sprintf("service %s was never named for %s: %v", l.x.service.name, queue, seen), seen)
	}
	sameStep, all := o.runsBeside(l, r)
	if needs.label != "" {
		o.labelled++
	}
	if needs.limit > 0 && len(sameStep) == needs.limit-1 {
		o.atLimit++
	}
	if needs.limit > 0 && len(sameStep) >= needs.limit {
		o.find(ruleRoute, fmt.Sprintf("%d runs of the step on one executor, limit %d: %v beside %s", len(sameStep)+1, needs.limit, seen, namesOf(sameStep)), seen, sameStep...)
	}
	if used := l.used(); used > l.x.service.cpu {
		o.find(ruleLimit, fmt.Sprintf("%d of %d CPU in use: %v beside %s", used, l.x.service.cpu, seen, namesOf(all)), seen, all...)
	}
}

// runsBeside returns the other runs of the same occurrence of a step and all other runs on an executor that haven't ended.
func (o *oracle) runsBeside(l *life, r *run) (sameStep, all []*runSeen) {
	for _, other := range l.running {
		if other == r {
			continue
		}
		seen := o.runOf(l, other)
		all = append(all, seen)
		if strings.HasPrefix(other.task, occurrenceOf(r.task)) {
			sameStep = append(sameStep, seen)
		}
	}
	return sameStep, all
}

func namesOf(runs []*runSeen) string {
	var names []string
	for _, r := range runs {
		names = append(names, fmt.Sprintf("%s run %d", r.task, r.number))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
