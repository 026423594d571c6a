package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// lateFactor is the multiple of a job's objective after which its end has no value.
const lateFactor = 3

// targetWorth is the mean worth of a day with trouble that the developers aim at.
const targetWorth = 0.75

// earned returns the worth of the jobs that were submitted since a moment, as a share of what they would be worth if all had
// ended on time. A job is worth 0.3, and 0.7 times its number of tasks divided by the mean; if it ends late, 0.15 of that.
func (s *simulation) earned(since time.Time) float64 {
	tasks, count := 0, 0
	for id, submitted := range s.submitted {
		if submitted.After(since) {
			tasks += s.jobTasks[id]
			count++
		}
	}
	mean := float64(tasks) / float64(count)
	var all, earned float64
	for id, submitted := range s.submitted {
		if !submitted.After(since) {
			continue
		}
		worth := 0.3 + 0.7*float64(s.jobTasks[id])/mean
		all += worth
		took, ended := s.ended[id]
		objective := s.actualObjective(id)
		switch {
		case !ended || took > lateFactor*objective:
		case took > objective:
			earned += 0.15 * worth
		default:
			earned += worth
		}
	}
	return earned / all
}

// actualObjective returns the objective of a job by the durations that its tasks really had.
func (s *simulation) actualObjective(id string) time.Duration {
	var path time.Duration
	for step := range s.jobSteps[id] {
		path += max(s.longest[stepKey{id, step}], s.meanDuration())
	}
	return time.Duration(queue.Stretch*float64(path)) + time.Duration(queue.ObjectiveMillis)*time.Millisecond
}

// Guards against an order of jobs that earns little while they arrive at up to twice the rate that can be served, with
// estimates that say nothing of how long tasks run: one by estimated work and slack begins many jobs and drops them half done
// once they seem late. The bound is the developers' target for the worth of a day.
func TestBurstsEarnTheTarget(t *testing.T) {
	const seeds = 6
	loads := []float64{6, 9, 12}
	sum := 0.0
	for _, load := range loads {
		for seed := uint64(1); seed <= seeds; seed++ {
			s := newSimulation(11, seed)
			s.load(10*time.Second, 1)
			since := s.now
			s.load(20*time.Second, load)
			s.load(20*time.Second, 1)
			sum += s.earned(since)
		}
	}
	mean := sum / float64(len(loads)*seeds)
	t.Logf("share of the worth earned: %.4f", mean)
	qt.Assert(t, mean >= targetWorth, qt.IsTrue, qt.Commentf("%.4f", mean))
}

// stepKey names a step of a job.
type stepKey struct {
	job  string
	step int
}

// meanDuration returns the mean duration of simulated runs.
func (s *simulation) meanDuration() time.Duration { return (minRunDuration + maxRunDuration) / 2 }

func (s *simulation) recordRun(r *simulatedRun) {
	id, _ := workflow.ParseTaskID(r.state.Task)
	key := stepKey{id.Job, id.Step}
	s.longest[key] = max(s.longest[key], r.duration)
}
