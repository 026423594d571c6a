package guard

import (
	"math"
	"slices"
	"time"
)

// smoothingFactor is the weight of a new measurement in the moving averages. The tail latency of the few requests in one
// report is noisy: without smoothing, its trend over a lag of seconds reaches ThrottleAt without any change of load.
const smoothingFactor = 0.3

// Limits of the latency ratio up to which a step up is allowed: floorMargin is a factor of the floor, which is the ratio
// that remains at the lowest share, and resumeCeiling is a fraction of ThrottleAt.
const (
	floorMargin   = 1.15
	resumeCeiling = 0.95
)

// maxTrendFactor caps the extrapolation of a rising latency, as a factor of the measured one.
const maxTrendFactor = 1.5

// A trend is extrapolated only if it exceeds trendDeviations standard deviations of its noise. Three are needed because a
// decision is made every second: under a steady load, the trend of a tail latency measured from few requests reached the
// throttling threshold several times a minute. varianceWeight is the weight of a new trend in the variance.
const (
	trendDeviations = 3
	varianceWeight  = 0.05
)

// MaxServices limits the services in a State. Measurements of further services are used without a trend.
const MaxServices = 64

type measurement struct {
	allocation   string
	latencyRatio float64
	at           time.Time
	// smoothedRatio is the moving average of latencyRatio, and rate that of its change per second.
	smoothedRatio float64
	rate          float64
	// rateVariance is the mean square of rate, most of which is sampling noise.
	rateVariance float64
	// floorRatio is the smoothed ratio that remained at floorShare, the lowest share measured so far; 0 until it has been
	// measured.
	floorRatio, floorShare float64
}

// assessment combines the latest measurements of all services.
type assessment struct {
	// latencyRatio is the highest ratio of latency to objective, and expectedRatio the same with trends extrapolated to now.
	latencyRatio, expectedRatio float64
	// recent is set if the measurements are recent enough to act on, and stepUpAllowed if all services allow a step up.
	recent, stepUpAllowed bool
	// oldestAt is the time of the oldest measurement used.
	oldestAt time.Time
}

// assess updates the measurements in the state and returns their assessment.
func assess(rules Rules, state *State, services []ServiceLatency, now time.Time) assessment {
	result := assessment{recent: true, stepUpAllowed: true, oldestAt: now}
	var updated []measurement
	for _, s := range services {
		if s.ObjectiveMillis <= 0 {
			continue
		}
		if s.Age < 0 || s.Age > rules.MaxAge {
			result.recent, result.stepUpAllowed = false, false
			continue
		}
		if s.LatencyMillis <= 0 {
			// A recent report without a latency means that the service had no requests.
			continue
		}
		m := state.updateMeasurement(rules, s, now)
		result.latencyRatio = max(result.latencyRatio, m.latencyRatio)
		result.expectedRatio = max(result.expectedRatio, m.expectedRatio(now))
		result.stepUpAllowed = result.stepUpAllowed && (m.smoothedRatio < m.resumeThreshold(rules) || m.toleratesStepUp(rules, state.Level))
		if m.at.Before(result.oldestAt) {
			result.oldestAt = m.at
		}
		if len(updated) < MaxServices {
			updated = append(updated, m)
		}
	}
	state.measurements = updated
	result.recent = result.recent || result.expectedRatio >= rules.ThrottleAt
	return result
}

// updateMeasurement returns the measurement of a service updated by its latest report.
func (s *State) updateMeasurement(rules Rules, report ServiceLatency, now time.Time) measurement {
	ratio := report.LatencyMillis / report.ObjectiveMillis
	m := measurement{allocation: report.AllocationID, latencyRatio: ratio, smoothedRatio: ratio, at: now.Add(-report.Age)}
	index := slices.IndexFunc(s.measurements, func(p measurement) bool { return p.allocation == report.AllocationID })
	if index < 0 {
		return m
	}
	p := s.measurements[index]
	elapsed := m.at.Sub(p.at)
	if elapsed <= 0 {
		return p
	}
	m.smoothedRatio = p.smoothedRatio + smoothingFactor*(ratio-p.smoothedRatio)
	m.rate = p.rate + smoothingFactor*((ratio-p.latencyRatio)/elapsed.Seconds()-p.rate)
	m.rateVariance = p.rateVariance + varianceWeight*(m.rate*m.rate-p.rateVariance)
	m.floorRatio, m.floorShare = p.floorRatio, p.floorShare
	if share := shareSteps[s.Level]; m.at.Sub(s.LastLevelChange) >= rules.StepDownAfter && (p.floorRatio == 0 || share <= p.floorShare) {
		m.floorRatio, m.floorShare = m.smoothedRatio, share
		if p.floorRatio > 0 && share == p.floorShare {
			m.floorRatio = p.floorRatio + smoothingFactor*(m.smoothedRatio-p.floorRatio)
		}
	}
	return m
}

// expectedRatio returns the latency ratio extrapolated to now, if its trend exceeds the noise.
func (m measurement) expectedRatio(now time.Time) float64 {
	if m.rate <= trendDeviations*math.Sqrt(m.rateVariance) {
		return m.latencyRatio
	}
	return min(m.latencyRatio+m.rate*now.Sub(m.at).Seconds(), m.latencyRatio*maxTrendFactor)
}

// resumeThreshold returns the latency ratio below which the service allows a step up. It is raised for a service whose
// latency stays near its objective even with batch tasks at the lowest share. Such a service would otherwise never allow a
// step up, and batch tasks would starve without any benefit.
func (m measurement) resumeThreshold(rules Rules) float64 {
	if m.floorShare > shareSteps[lowestLevel] {
		return rules.ResumeAt
	}
	return max(rules.ResumeAt, min(m.floorRatio*floorMargin, rules.ThrottleAt*resumeCeiling))
}

// toleratesStepUp reports whether the service is expected to stay below ThrottleAt at the next higher share. The ratio is
// extrapolated linearly in the share: at most through the origin, as if batch tasks caused all of the latency, and through
// the floor if that is known.
func (m measurement) toleratesStepUp(rules Rules, level int) bool {
	if level == 0 {
		return false
	}
	share := shareSteps[level]
	slope := m.smoothedRatio / share
	if m.floorRatio > 0 && share > m.floorShare {
		slope = min(slope, max(0, (m.smoothedRatio-m.floorRatio)/(share-m.floorShare)))
	}
	return m.smoothedRatio+slope*(shareSteps[level-1]-share) < rules.ThrottleAt*resumeCeiling
}
