// Package sharing decides how much of their work the tasks that fill an executor may do beside tasks that serve users.
package sharing

import (
	"math"
	"time"
)

// Fractions of a serving task's bound of tail latency, and steps of the pace in percent.
const (
	// slowRatio is the latency from which filling tasks are slowed down. It leaves time before the bound is reached, since
	// latencies are rough and half a second old.
	slowRatio = 0.9
	// targetRatio is the latency that a large step aims at, taking the latency to grow with a power of the pace.
	targetRatio      = 0.8
	paceExponent = 1.4
	// largeStepRatio is the latency from which filling tasks are slowed down at the largest step.
	largeStepRatio = 1.0
	// releaseRatio is the latency below which filling tasks get more.
	releaseRatio = 0.84
	// NearTargetRatio is the latency from which a serving task limits the images that slow it down.
	NearTargetRatio = releaseRatio
	// NegligibleLoss is the headroom that a full executor of an image takes below which it is not paced.
	NegligibleLoss = 1.0
	// FullPace is the pace of a task that nothing slows down, in percent.
	FullPace = 100
	// releaseStep is how much a release gives, in percent.
	releaseStep = 30
	// minPace is the smallest pace above a halt, in percent.
	minPace = 8
	// settleTime is the time in which a change of pace shows in the latencies.
	settleTime = 450 * time.Millisecond
)

// Controller decides the pace of the filling tasks of one executor.
type Controller struct {
	pace    int
	changedAt time.Time
}

// NewController returns a controller at full pace.
func NewController() *Controller { return &Controller{pace: FullPace} }

// Pace returns the pace in percent.
func (c *Controller) Pace() int { return c.pace }

// Observe takes the largest ratio of a serving task's tail latency to its bound, and returns the pace from now on. With
// nothing that serves, the ratio is 0.
func (c *Controller) Observe(ratio float64, now time.Time) int {
	if ratio <= 0 {
		c.pace = FullPace
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
