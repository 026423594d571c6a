// Package sharing controls the pace of best-effort tasks that share an executor with serving tasks, so that the tail latency of
// the serving tasks stays below its target.
package sharing

import (
	"math"
	"time"
)

// The ratios are fractions of the tail latency target of a serving task.
const (
	// slowRatio is the ratio from which best-effort tasks are slowed down. It is below 1 to react before the target is reached,
	// because measured latencies are imprecise and half a second old.
	slowRatio = 0.9
	// targetRatio is the ratio that a large step aims at. The step assumes that the pace is proportional to the latency raised
	// to paceExponent.
	targetRatio  = 0.8
	paceExponent = 1.4
	// largeStepRatio is the ratio from which one step reduces the pace as far as targetRatio requires.
	largeStepRatio = 1.0
	// releaseRatio is the ratio below which the pace of best-effort tasks is increased.
	releaseRatio = 0.84
	// NearTargetRatio is the ratio from which a serving task limits the pace of images that slow it down.
	NearTargetRatio = releaseRatio
	// FullPace is the pace of a task that is not slowed down, in percent.
	FullPace = 100
	// releaseStep is how much the pace is increased at once, in percentage points.
	releaseStep = 30
	// minPace is the lowest pace in percent; a reduction below it halts the tasks.
	minPace = 8
	// exemptionLimit is how long a serving task may be over its target before images that are known to disturb little are
	// paced too: what is known of them may no longer hold. haltLimit is the time after which all best-effort tasks are
	// halted. Both leave time for the measured latency, which is up to a second old.
	exemptionLimit = time.Second
	haltLimit      = 2 * time.Second
	// settleTime is how long a change of pace takes to show in the measured latencies.
	settleTime = 450 * time.Millisecond
)

// Controller computes the pace of the best-effort tasks of one executor.
type Controller struct {
	pace      int
	changedAt time.Time
	// overSince is when a serving task was first seen over its target; zero if none is.
	overSince time.Time
}

// NewController returns a controller at full pace.
func NewController() *Controller { return &Controller{pace: FullPace} }

// Pace returns the current pace in percent.
func (c *Controller) Pace() int { return c.pace }

// Observe updates the pace from the largest ratio of a serving task's tail latency to its target, and returns the pace. The
// ratio is 0 if there are no serving tasks. The pace is 0 once the ratio has been 1 or more for haltLimit.
func (c *Controller) Observe(ratio float64, now time.Time) int {
	switch {
	case ratio < 1:
		c.overSince = time.Time{}
	case c.overSince.IsZero():
		c.overSince = now
	}
	if ratio <= 0 {
		c.pace = FullPace
		return c.pace
	}
	if c.overFor(now) >= haltLimit && c.pace > 0 {
		c.pace, c.changedAt = 0, now
		return c.pace
	}
	if now.Sub(c.changedAt) < settleTime {
		return c.pace
	}
	next := c.pace
	switch {
	case ratio >= largeStepRatio:
		next = int(float64(c.pace) * math.Pow(targetRatio/ratio, paceExponent))
	case ratio >= slowRatio:
		next = c.pace * 7 / 10
	case ratio < releaseRatio:
		next = min(c.pace+releaseStep, FullPace)
	}
	if next < c.pace && next < minPace {
		next = 0
	}
	if next != c.pace {
		c.pace, c.changedAt = next, now
	}
	return c.pace
}

// overFor returns how long a serving task has been over its target.
func (c *Controller) overFor(now time.Time) time.Duration {
	if c.overSince.IsZero() {
		return 0
	}
	return now.Sub(c.overSince)
}

// Paces returns a pace in percent for each task at the controller's current pace.
func (c *Controller) Paces(tasks []Disturbance, now time.Time) []int {
	if c.overFor(now) < exemptionLimit {
		return spread(c.pace, tasks)
	}
	return uniform(c.pace, len(tasks))
}
