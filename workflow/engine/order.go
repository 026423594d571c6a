package engine

import (
	"cmp"
	"math"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// The order in which jobs get what is free answers the load of a burst or of a lost failure domain: jobs arrive faster
// than they can be served, so that whatever waits at the end has waited in vain. It prefers the job that is expected to
// gain most for each core second that it still needs. So a job that is half done is finished before others begin, a
// large job isn't starved by small ones, and work without value left goes last.

const (
	// lateFactor is the multiple of the latency objective after which a job has no value left for its client.
	lateFactor = 3
	// lateValue is the value of a job that ends after its objective, as a fraction of that of a job on time.
	lateValue = 0.15
	// overdueValue is the expected value below which a job only has to finish.
	overdueValue = 0.01
	// fixedValueShare is the share of a job's value that does not depend on its size.
	fixedValueShare = 0.3
	// minRemainingWork is the least work, in core seconds, by which a value is divided.
	minRemainingWork = 0.05
	// workSampleWeight is the weight of one job in the mean work of its queue, and maxWorkSample the most that it counts for,
	// in multiples of that mean: a job with an absurd request must not change the order of all others.
	workSampleWeight = 0.05
	maxWorkSample    = 100
	// observedDeviation is the standard deviation of the logarithm of a task's duration once other tasks of its group have
	// shown their typical duration.
	observedDeviation = 0.3
)

// candidate is a job with tasks to start.
type candidate struct {
	job   *job
	queue *workflow.Queue
	// overdue jobs have to finish, but have no value left for their clients.
	overdue bool
	// density is the expected value of the job for each core second that it still needs.
	density float64
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBools(a.overdue, b.overdue),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		cmp.Compare(b.density, a.density),
		// Among long-running jobs, those with the most constraints and the largest tasks go first: they fit the fewest
		// executors.
		cmp.Compare(b.minExecutors(), a.minExecutors()),
		cmp.Compare(b.job.Steps[0].Need.MilliCores, a.job.Steps[0].Need.MilliCores),
		cmp.Compare(a.job.ID, b.job.ID),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// minExecutors returns how many executors the first step of a job needs for its per-executor limit; 0 if it isn't a
// long-running step or has no such limit.
func (c candidate) minExecutors() int {
	s := &c.job.Steps[0]
	if !s.LongRunning || s.PerExecutor == 0 {
		return 0
	}
	return s.Count / s.PerExecutor
}

// rank computes the order of a job among others. Long-running jobs and those with due times come first in their queue's
// priority.
func (e *Engine) rank(j *job, now time.Time) candidate {
	c := candidate{job: j, queue: e.queueOf(j)}
	if j.isLongRunning() || j.Occurrences > 0 {
		c.density = math.Inf(1)
		return c
	}
	o := e.outlook(j, c.queue)
	value := o.expectedValue(now.Sub(j.acceptedAt))
	if value < overdueValue {
		c.overdue, value = true, overdueValue
	}
	size := 1.0
	if mean := e.meanWork[c.queue.Name]; mean > 0 {
		size = fixedValueShare + (1-fixedValueShare)*o.work/mean
	}
	c.density = value * size / max(o.remainingWork, minRemainingWork)
	return c
}

// outlook is what is known of the durations of a job.
type outlook struct {
	// path is the predicted longest sum of durations along dependent steps, and remainingPath the part of it that is left.
	path, remainingPath time.Duration
	// work and remainingWork are the CPU time of the whole job and of what is left, in core seconds.
	work, remainingWork float64
	// deviation is the standard deviation of the logarithm of an actual duration divided by the predicted one.
	deviation float64
	// stretch and allowance define the objective: stretch times the path, and allowance more.
	stretch   float64
	allowance time.Duration
}

// outlook predicts the durations of a job from those of its finished tasks and of other jobs in its queue.
func (e *Engine) outlook(j *job, q *workflow.Queue) outlook {
	model := e.durationsOf(q.Name)
	o := outlook{
		stretch: q.Stretch, allowance: time.Duration(q.ObjectiveMillis) * time.Millisecond, deviation: observedDeviation,
	}
	if !j.durationsObserved() {
		o.deviation = model.deviation()
	}
	o.path = j.longestPath(func(g *group) time.Duration { return g.predictedDuration(model) })
	o.remainingPath = j.longestPath(func(g *group) time.Duration {
		remaining, _ := g.remaining()
		return time.Duration(remaining * float64(g.predictedDuration(model)))
	})
	for i := range j.groups {
		g := &j.groups[i]
		taskWork := g.predictedDuration(model).Seconds() * float64(g.tasks[0].step.Need.MilliCores) / 1000
		_, left := g.remaining()
		o.work += taskWork * float64(len(g.tasks))
		o.remainingWork += taskWork * left
	}
	return o
}

// durationsObserved reports whether some group of the job that has not finished has shown the durations of its tasks.
func (j *job) durationsObserved() bool {
	for i := range j.groups {
		if g := &j.groups[i]; g.done > 0 && g.done < len(g.tasks) {
			return true
		}
	}
	return false
}

// predictedDuration returns the typical duration of the group's tasks: the observed one if tasks have finished.
func (g *group) predictedDuration(model *durationModel) time.Duration {
	if g.done > 0 {
		if typical := g.medianDuration(); typical > 0 {
			return typical
		}
	}
	return model.predict(g.tasks[0].estimate())
}

// remaining returns the largest part of a task that is left, between 0 and 1, and the sum of what is left of all tasks.
func (g *group) remaining() (largest, sum float64) {
	if g.done == len(g.tasks) {
		return 0, 0
	}
	for _, t := range g.tasks {
		left := 1.0
		switch t.phase {
		case workflow.TaskDone:
			left = 0
		case workflow.TaskAssigned:
			left = 1 - min(max(t.percent, 0), 100)/100
		}
		largest = max(largest, left)
		sum += left
	}
	return largest, sum
}

// expectedValue returns the expected value of a job that gets all it needs from now on, as a fraction of its value on
// time. age is the time since the job was accepted.
func (o *outlook) expectedValue(age time.Duration) float64 {
	onTime := o.probabilityWithin(1, age)
	late := max(o.probabilityWithin(lateFactor, age)-onTime, 0)
	return onTime + lateValue*late
}

// probabilityWithin returns the probability that the job ends within a multiple of its objective. The actual durations
// are the predicted ones times a factor X, whose logarithm is normally distributed. They determine both the objective
// and the time that is left: the job ends in time if age + X*remainingPath <= factor*(X*stretch*path + allowance).
func (o *outlook) probabilityWithin(factor float64, age time.Duration) float64 {
	overrun := age.Seconds() - factor*o.allowance.Seconds()
	gain := factor*o.stretch*o.path.Seconds() - o.remainingPath.Seconds()
	switch {
	case overrun <= 0 && gain >= 0:
		return 1
	case overrun >= 0 && gain <= 0:
		return 0
	case gain > 0:
		return normalTail(math.Log(overrun/gain) / o.deviation)
	}
	return 1 - normalTail(math.Log(overrun/gain)/o.deviation)
}

// normalTail returns the probability that a standard normal variable exceeds x.
func normalTail(x float64) float64 { return math.Erfc(x/math.Sqrt2) / 2 }

// observeWork adds a new job to the mean work of its queue.
func (e *Engine) observeWork(j *job) {
	if j.isLongRunning() || j.Occurrences > 0 {
		return
	}
	q := e.queueOf(j)
	work := e.outlook(j, q).work
	mean, known := e.meanWork[q.Name]
	if !known {
		mean = work
	}
	work = min(work, maxWorkSample*mean)
	e.meanWork[q.Name] = mean + workSampleWeight*(work-mean)
}

// latencyObjective returns the time from acceptance within which a job has its full value, by its estimates.
func latencyObjective(j *job, q *workflow.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(j.criticalPath())) + time.Duration(q.ObjectiveMillis)*time.Millisecond
}

func (j *job) isLongRunning() bool { return j.Steps[len(j.Steps)-1].LongRunning }
