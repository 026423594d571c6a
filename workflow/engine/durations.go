package engine

import (
	"math"
	"time"
)

const (
	// durationPriorWeight is the number of finished steps that the assumption of accurate estimates counts for.
	durationPriorWeight = 4.0
	// durationPriorVariance is the assumed variance of the logarithm of an estimate within a queue.
	durationPriorVariance = 1.0
	// defaultDurationDeviation is the assumed standard deviation of the logarithm of the ratio between actual and
	// predicted durations.
	defaultDurationDeviation = 0.6
	// durationSampleDecay is the factor by which the weight of earlier samples falls with each new one.
	durationSampleDecay = 0.99
	// maxLearnedQueues limits the queues with learned durations and mean work. Beyond it, all are learned anew.
	maxLearnedQueues = 1024
	// minDuration is the shortest duration that is used in logarithms.
	minDuration = 10 * time.Millisecond
)

// durationModel predicts how long the tasks of a step run from the estimate in the job. It is a linear regression of
// the logarithm of the ratio between actual duration and estimate on the logarithm of the estimate, with a prior that
// estimates are accurate: where they say little, predictions approach the mean of what was observed.
type durationModel struct {
	weight float64
	// Weighted sums over the samples, where x is the logarithm of the estimate and y that of the ratio.
	x, y, xx, xy, yy float64
}

// observe adds the typical duration of a step's tasks.
func (m *durationModel) observe(estimate, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	x := logSeconds(estimate)
	y := logSeconds(actual) - x
	m.weight = m.weight*durationSampleDecay + 1
	m.x = m.x*durationSampleDecay + x
	m.y = m.y*durationSampleDecay + y
	m.xx = m.xx*durationSampleDecay + x*x
	m.xy = m.xy*durationSampleDecay + x*y
	m.yy = m.yy*durationSampleDecay + y*y
}

// fit returns the mean of the estimates, the mean ratio and the slope of the regression, all for logarithms.
func (m *durationModel) fit() (meanX, meanY, slope float64) {
	if m.weight == 0 {
		return 0, 0, 0
	}
	meanX = m.x / m.weight
	meanY = m.y / (m.weight + durationPriorWeight)
	slope = (m.xy - meanX*m.y) / (m.xx - meanX*m.x + durationPriorWeight*durationPriorVariance)
	return meanX, meanY, slope
}

// predict returns the typical duration of a task with the given estimate.
func (m *durationModel) predict(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return 0
	}
	meanX, meanY, slope := m.fit()
	x := logSeconds(estimate)
	return time.Duration(math.Exp(x+meanY+slope*(x-meanX)) * float64(time.Second))
}

// deviation returns the standard deviation of the logarithm of the ratio between actual and predicted durations.
func (m *durationModel) deviation() float64 {
	meanX, meanY, slope := m.fit()
	residual := m.yy - 2*meanY*m.y + m.weight*meanY*meanY - slope*(m.xy-meanX*m.y)
	prior := durationPriorWeight * defaultDurationDeviation * defaultDurationDeviation
	return math.Sqrt(max(residual, 0)/(m.weight+durationPriorWeight) + prior/(m.weight+durationPriorWeight))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }

// durationsOf returns the model of a queue.
func (e *Engine) durationsOf(queue string) *durationModel {
	m := e.durations[queue]
	if m == nil {
		if len(e.durations) >= maxLearnedQueues {
			clear(e.durations)
			clear(e.meanWork)
		}
		m = &durationModel{}
		e.durations[queue] = m
	}
	return m
}

// observeDuration passes the typical duration of a finished group to the model of its queue.
func (e *Engine) observeDuration(g *group) {
	t := g.tasks[0]
	if t.step.LongRunning || t.step.Gang {
		return
	}
	if typical := g.medianDuration(); typical > 0 {
		e.durationsOf(t.job.Queue.Name).observe(t.estimate(), typical)
	}
}
