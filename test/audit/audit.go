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

// allocationAnnotation is the annotation of a task in which the agent stores its allocation.
const allocationAnnotation = "allocation"

// WorkerHistory holds the runs of tasks on one worker.
type WorkerHistory struct {
	Worker structs.Worker
	Runs   []workertest.RunInterval
}

// Outage is a period in which a failure domain was out of service, in Unix nanoseconds. To is 0 while it lasts.
type Outage struct {
	Domain   string
	From, To int64
}

// taskRun is a run with its allocation and worker.
type taskRun struct {
	workertest.RunInterval
	allocation structs.Allocation
	worker     string
}

func (s taskRun) endUnixNano() int64 {
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
func Check(records []WorkerHistory, outages []Outage, grace time.Duration) (Summary, []string) {
	var all []taskRun
	var violations []string
	for _, r := range records {
		spans, bad := parseRuns(r)
		violations = append(violations, bad...)
		violations = append(violations, checkCapacity(r.Worker, spans)...)
		violations = append(violations, checkLateStarts(r.Worker, spans, outages, grace)...)
		all = append(all, spans...)
	}
	byTask := map[structs.TaskID][]taskRun{}
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

func parseRuns(r WorkerHistory) ([]taskRun, []string) {
	var spans []taskRun
	var bad []string
	for _, run := range r.Runs {
		s := taskRun{RunInterval: run, worker: r.Worker.Name}
		if err := json.Unmarshal([]byte(run.Annotations[allocationAnnotation]), &s.allocation); err != nil {
			bad = append(bad, fmt.Sprintf("%s: run %s has no allocation: %v", r.Worker.Name, run.AllocationID, err))
			continue
		}
		spans = append(spans, s)
	}
	slices.SortFunc(spans, func(a, b taskRun) int { return cmp.Compare(a.FromUnixNano, b.FromUnixNano) })
	return spans, bad
}

// checkTask checks the runs of one task on all workers.
func checkTask(task structs.TaskID, spans []taskRun, summary *Summary) []string {
	var bad []string
	slices.SortFunc(spans, func(a, b taskRun) int { return cmp.Compare(a.FromUnixNano, b.FromUnixNano) })
	finished := 0
	resumed := map[string]bool{}
	for i, s := range spans {
		if s.Phase == worker.PhaseFinished {
			finished++
		}
		if i > 0 && spans[i-1].endUnixNano() > s.FromUnixNano {
			bad = append(bad, fmt.Sprintf("task %v ran on %s and %s at the same time for %v", task, spans[i-1].worker, s.worker,
				time.Duration(min(spans[i-1].endUnixNano(), s.endUnixNano())-s.FromUnixNano)))
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
		bad = append(bad, fmt.Sprintf("task %v finished %d times: %s", task, finished, describeRuns(spans)))
	}
	return bad
}

// describeRuns lists the runs of a task, with times since the first one began.
func describeRuns(spans []taskRun) string {
	var runs []string
	for _, s := range spans {
		runs = append(runs, fmt.Sprintf("%s on %s from %v to %v %s from checkpoint %q", s.AllocationID, s.worker,
			time.Duration(s.FromUnixNano-spans[0].FromUnixNano), time.Duration(s.endUnixNano()-spans[0].FromUnixNano), s.Phase, s.CheckpointID))
	}
	return strings.Join(runs, "; ")
}

func checkCapacity(w structs.Worker, spans []taskRun) []string {
	type change struct {
		at    int64
		delta structs.Resources
	}
	var changes []change
	for _, s := range spans {
		changes = append(changes, change{s.FromUnixNano, s.Resources})
		changes = append(changes, change{s.endUnixNano(), structs.Resources{}.Sub(s.Resources)})
	}
	// At the same instant, ends are counted before starts.
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta.MilliCores, b.delta.MilliCores))
	})
	var sum structs.Resources
	for _, c := range changes {
		sum = sum.Add(c.delta)
		if !sum.Fits(w.Capacity) {
			return []string{fmt.Sprintf("%s ran tasks of %+v at once and holds %+v", w.Name, sum, w.Capacity)}
		}
	}
	return nil
}

func checkLateStarts(w structs.Worker, spans []taskRun, outages []Outage, grace time.Duration) []string {
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
