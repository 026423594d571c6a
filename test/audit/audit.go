// Package audit checks the task histories of workers against the guarantees that must hold across the fleet.
package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// annotation is the annotation of a task in which the agent stores its allocation.
const annotation = "allocation"

// Record holds the runs of tasks on one worker.
type Record struct {
	Worker structs.Worker
	Runs   []workertest.RunInterval
}

// Outage is a period in which a failure domain was out of service, in Unix nanoseconds. To is 0 while it lasts.
type Outage struct {
	Domain   string
	From, To int64
}

// span is a run with its allocation and worker.
type span struct {
	workertest.RunInterval
	allocation structs.Allocation
	worker     string
}

func (s span) end() int64 {
	if s.ToUnixNano == 0 {
		return int64(^uint64(0) >> 1)
	}
	return s.ToUnixNano
}

// Summary counts the checked runs and tasks.
type Summary struct {
	Runs, Tasks, Finished, Resumed int
}

// Check returns the violations found in the histories: a worker above its capacity (P1), a task that ran in two places at
// once (P2), a checkpoint that was resumed twice or a task that finished twice (P3), and a start in a failure domain that
// had been out of service for longer than grace (P4).
func Check(records []Record, outages []Outage, grace time.Duration) (Summary, []string) {
	var all []span
	var violations []string
	for _, r := range records {
		spans, bad := spansOf(r)
		violations = append(violations, bad...)
		violations = append(violations, overCapacity(r.Worker, spans)...)
		violations = append(violations, lateStarts(r.Worker, spans, outages, grace)...)
		all = append(all, spans...)
	}
	byTask := map[structs.TaskID][]span{}
	for _, s := range all {
		byTask[s.allocation.Task] = append(byTask[s.allocation.Task], s)
	}
	summary := Summary{Runs: len(all), Tasks: len(byTask)}
	for task, spans := range byTask {
		violations = append(violations, checkTask(task, spans, &summary)...)
	}
	slices.Sort(violations)
	return summary, violations
}

func spansOf(r Record) ([]span, []string) {
	var spans []span
	var bad []string
	for _, run := range r.Runs {
		s := span{RunInterval: run, worker: r.Worker.Name}
		if err := json.Unmarshal([]byte(run.Annotations[annotation]), &s.allocation); err != nil {
			bad = append(bad, fmt.Sprintf("%s: run %s has no allocation: %v", r.Worker.Name, run.AllocationID, err))
			continue
		}
		spans = append(spans, s)
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.FromUnixNano, b.FromUnixNano) })
	return spans, bad
}

// checkTask checks the runs of one task on all workers.
func checkTask(task structs.TaskID, spans []span, summary *Summary) []string {
	var bad []string
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.FromUnixNano, b.FromUnixNano) })
	finished := 0
	resumed := map[string]bool{}
	for i, s := range spans {
		if s.Phase == worker.PhaseFinished {
			finished++
		}
		if i > 0 && spans[i-1].end() > s.FromUnixNano {
			bad = append(bad, fmt.Sprintf("task %v ran on %s and %s at the same time for %v", task, spans[i-1].worker, s.worker,
				time.Duration(min(spans[i-1].end(), s.end())-s.FromUnixNano)))
		}
		if s.Resumed || s.CheckpointID == "" {
			continue
		}
		summary.Resumed++
		key := s.CheckpointID + "/" + s.AllocationID
		if resumed[key] {
			bad = append(bad, fmt.Sprintf("task %v: allocation %s started twice from checkpoint %s", task, s.AllocationID, s.CheckpointID))
		}
		resumed[key] = true
	}
	summary.Finished += min(finished, 1)
	if finished > 1 {
		bad = append(bad, fmt.Sprintf("task %v finished %d times: %s", task, finished, describe(spans)))
	}
	return bad
}

// describe lists the runs of a task, with times since the first one began.
func describe(spans []span) string {
	var runs []string
	for _, s := range spans {
		runs = append(runs, fmt.Sprintf("%s on %s from %v to %v %s from checkpoint %q", s.AllocationID, s.worker,
			time.Duration(s.FromUnixNano-spans[0].FromUnixNano), time.Duration(s.end()-spans[0].FromUnixNano), s.Phase, s.CheckpointID))
	}
	return strings.Join(runs, "; ")
}

func overCapacity(w structs.Worker, spans []span) []string {
	type change struct {
		at  int64
		add structs.Resources
	}
	var changes []change
	for _, s := range spans {
		changes = append(changes, change{s.FromUnixNano, s.Resources})
		changes = append(changes, change{s.end(), structs.Resources{}.Sub(s.Resources)})
	}
	// At the same instant, ends are counted before starts.
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.add.MilliCores, b.add.MilliCores))
	})
	var sum structs.Resources
	for _, c := range changes {
		sum = sum.Add(c.add)
		if !sum.Fits(w.Capacity) {
			return []string{fmt.Sprintf("%s ran tasks of %+v at once and holds %+v", w.Name, sum, w.Capacity)}
		}
	}
	return nil
}

func lateStarts(w structs.Worker, spans []span, outages []Outage, grace time.Duration) []string {
	var bad []string
	for _, s := range spans {
		if s.Resumed {
			continue
		}
		for _, o := range outages {
			late := o.Domain == w.FailureDomain && s.FromUnixNano > o.From+grace.Nanoseconds()
			if late && (o.To == 0 || s.FromUnixNano < o.To) {
				bad = append(bad, fmt.Sprintf("task %v started on %s %v after %s was taken out", s.allocation.Task, w.Name,
					time.Duration(s.FromUnixNano-o.From), o.Domain))
			}
		}
	}
	return bad
}
