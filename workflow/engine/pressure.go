package engine

import (
	"math"
	"time"
)

// The margin that serving tasks keep answers two loads. While best-effort work starts soon, they keep a wide one, so that few
// of them ever exceed their targets. When more of it arrives than can be served, waiting jobs lose their value, and a narrow
// margin loses less than it gains.

const (
	// admissionThreshold is the fraction of a serving task's latency target up to which best-effort tasks are placed
	// beside it, and pressedThreshold the same while best-effort work waits.
	admissionThreshold = 0.8
	pressedThreshold   = 0.88
	// servingUtilization is the fraction of its reserved CPU that a serving task is expected to use, and pressedUtilization
	// the same while best-effort work waits.
	servingUtilization = 0.6
	pressedUtilization = 0.45
	// minPressure is the backlog, relative to the best-effort work that runs, from which best-effort work counts as waiting.
	minPressure = 0.8
	// pressureTime is the time constant of the moving average of the backlog.
	pressureTime = 2 * time.Second
)

// pressure is the moving average of the backlog of best-effort work: the CPU request of ready tasks that found no executor,
// divided by that of those that run.
type pressure struct {
	average float64
	at      time.Time
}

// observe adds the backlog after a plan.
func (p *pressure) observe(waiting, running int64, now time.Time) {
	backlog := min(float64(waiting)/float64(max(running, 1)), 1)
	if !p.at.IsZero() {
		weight := 1 - math.Exp(-now.Sub(p.at).Seconds()/pressureTime.Seconds())
		p.average += weight * (backlog - p.average)
	}
	p.at = now
}

// threshold returns the fraction of a latency target up to which best-effort tasks are placed beside a serving task.
func (p *pressure) threshold() float64 {
	if p.average >= minPressure {
		return pressedThreshold
	}
	return admissionThreshold
}

// utilization returns the fraction of their reserved CPU that serving tasks are expected to use.
func (p *pressure) utilization() float64 {
	if p.average >= minPressure {
		return pressedUtilization
	}
	return servingUtilization
}

// observePressure measures the backlog that a plan leaves.
func (e *Engine) observePressure(jobs []candidate, now, wall time.Time) {
	waiting, running := int64(0), int64(0)
	for _, c := range jobs {
		waiting += e.waitingBestEffort(c.job, now, wall)
	}
	for _, n := range e.sortedNodes {
		running += n.bestEffortDemand
	}
	e.pressure.observe(waiting, running, now)
}

// waitingBestEffort returns the CPU request of a job's ready best-effort tasks, in millicores.
func (e *Engine) waitingBestEffort(j *job, now, wall time.Time) int64 {
	total := int64(0)
	for i := range j.groups {
		g := &j.groups[i]
		step := &j.Steps[g.step]
		if !step.BestEffort || !e.groupReady(j, g, wall) {
			continue
		}
		for _, t := range g.tasks {
			if t.canStart(now) {
				total += step.Need.MilliCores
			}
		}
	}
	return total
}
