// Package guard protects the tail latency of services on a worker. From lagged measurements it decides when the worker
// throttles its batch tasks, and when it checkpoints and evicts them. Decide is a pure function of its state and input.
package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// shareSteps lists, by throttling level, the fraction of its processor time that each batch task keeps.
var shareSteps = []float64{1, 0.85, 0.7, 0.55, 0.4, 0.25, 0.1}

// Rules holds the guard's thresholds. A zero field selects its default.
type Rules struct {
	// ThrottleAt, EvictAt and ResumeAt are fractions of a service's latency objective. Batch tasks are throttled from
	// ThrottleAt, before the objective is missed. The throttling is reduced below ResumeAt, and also above it if the service
	// is expected to stay well below ThrottleAt afterwards.
	ThrottleAt float64
	EvictAt    float64
	ResumeAt   float64
	// MemoryEvictAt is the used fraction of the worker's memory at which batch tasks are evicted. Throttling frees no memory.
	MemoryEvictAt float64
	// StepDownAfter is how long after a change of the level a measurement must have been taken to justify a further step down.
	StepDownAfter time.Duration
	// StepUpAfter is how long all services must have allowed a step up before it is taken.
	StepUpAfter time.Duration
	// EvictAfter is how long after the step to the lowest share a measurement must have been taken to justify an eviction.
	EvictAfter time.Duration
	// EvictInterval is the minimum time between two evictions for latency, so that the effect of the first can be measured.
	EvictInterval time.Duration
	// MaxAge is the age above which a measurement is too old to be used.
	MaxAge time.Duration
}

// Defaults of Rules.
const (
	DefaultThrottleAt    = 0.75
	DefaultEvictAt       = 0.9
	DefaultResumeAt      = 0.55
	DefaultMemoryEvictAt = 0.94
	DefaultStepDownAfter = 2 * time.Second
	DefaultStepUpAfter   = 10 * time.Second
	DefaultEvictAfter    = 3 * time.Second
	DefaultEvictInterval = 4 * time.Second
	DefaultMaxAge        = 15 * time.Second
)

// largeStepLevels is the number of levels of a step down when a service is at or above EvictAt.
const largeStepLevels = 3

// lowestShareAt is the fraction of the objective from which the guard goes directly to the lowest share. The objective is
// already missed, and each smaller step would have to wait for the measurement lag.
const lowestShareAt = 1.0

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

// maxFailedStepUps limits the doublings of StepUpAfter, so that it grows to at most 16 times its value.
const maxFailedStepUps = 4

// MaxServices limits the services in a State. Measurements of further services are used without a trend.
const MaxServices = 64

func (r Rules) withDefaults() Rules {
	r.ThrottleAt = cmp.Or(r.ThrottleAt, DefaultThrottleAt)
	r.EvictAt = cmp.Or(r.EvictAt, DefaultEvictAt)
	r.ResumeAt = cmp.Or(r.ResumeAt, DefaultResumeAt)
	r.MemoryEvictAt = cmp.Or(r.MemoryEvictAt, DefaultMemoryEvictAt)
	r.StepDownAfter = cmp.Or(r.StepDownAfter, DefaultStepDownAfter)
	r.StepUpAfter = cmp.Or(r.StepUpAfter, DefaultStepUpAfter)
	r.EvictAfter = cmp.Or(r.EvictAfter, DefaultEvictAfter)
	r.EvictInterval = cmp.Or(r.EvictInterval, DefaultEvictInterval)
	r.MaxAge = cmp.Or(r.MaxAge, DefaultMaxAge)
	return r
}

// Input holds the measurements of a worker.
type Input struct {
	Services []ServiceLatency
	Batch    []BatchTask
	Capacity structs.Resources
	// Used is the total usage of all tasks on the worker; zero means unknown.
	Used structs.Resources
}

// ServiceLatency is the latest latency measurement of one service replica.
type ServiceLatency struct {
	AllocationID string
	// LatencyMillis is the tail latency, 0 if the service had no requests. ObjectiveMillis is its objective; services
	// without one are ignored.
	LatencyMillis   float64
	ObjectiveMillis float64
	Age             time.Duration
}

// BatchTask is a batch task that runs on the worker.
type BatchTask struct {
	AllocationID string
	Priority     int
	Urgent       bool
	WorkDone     time.Duration
	Reserved     structs.Resources
	Used         structs.Resources
	// Evicting is set once the task has been told to checkpoint and stop.
	Evicting bool
}

// State is the guard's state between decisions. The zero value throttles nothing.
type State struct {
	// Level is the throttling level in force, from 0 for none.
	Level int
	// LastLevelChange is when Level last changed, and LastEviction when a task was last evicted.
	LastLevelChange time.Time
	LastEviction    time.Time
	// StepUpAllowedSince is the time since which all services have allowed a step up; zero if they don't.
	StepUpAllowedSince time.Time
	// FailedStepUps counts consecutive steps up that soon led to a step down. Each one doubles StepUpAfter, so that batch
	// tasks that can't run at a higher share beside a service don't oscillate between two levels.
	FailedStepUps int
	// LastStepUp is when the last step up was taken; zero after a step down.
	LastStepUp time.Time
	// measurements holds the latest measurement of each service.
	measurements []measurement
}

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

// Action is a decision that the runner applies to the batch tasks.
type Action struct {
	// Share is the fraction of its processor time that each batch task keeps, from 0 to 1.
	Share float64
	// Evict lists the allocations to checkpoint and stop.
	Evict []string
	// Reason is why the action is taken. It is logged when the action changes.
	Reason string
}

// Values of Action.Reason.
const (
	ReasonBelowObjectives = "services are well below their objectives"
	ReasonStillThrottled  = "services are near their objectives, or recover"
	ReasonLatency         = "a service nears its latency objective"
	ReasonObjectiveMissed = "a service misses its latency objective"
	ReasonMemory          = "memory is nearly used up"
	ReasonUnknown         = "no recent measurement of a service"
)

// Decide returns the next state and the action to apply now.
func Decide(rules Rules, state State, in Input, now time.Time) (State, Action) {
	rules = rules.withDefaults()
	current := assess(rules, &state, in.Services, now)
	if victim := memoryVictim(rules, in); victim != "" {
		state.LastEviction = now
		return state, Action{Share: shareSteps[state.Level], Evict: []string{victim}, Reason: ReasonMemory}
	}
	if !current.recent {
		// Old measurements justify neither a step down nor a step up.
		state.StepUpAllowedSince = time.Time{}
		return state, Action{Share: shareSteps[state.Level], Reason: ReasonUnknown}
	}
	if !current.stepUpAllowed {
		state.StepUpAllowedSince = time.Time{}
	} else if state.StepUpAllowedSince.IsZero() {
		state.StepUpAllowedSince = now
	}
	action := Action{Reason: ReasonBelowObjectives}
	switch {
	case current.expectedRatio >= rules.ThrottleAt:
		action = stepDown(rules, &state, in, current, now)
	case state.Level > 0:
		action.Reason = ReasonStillThrottled
		stepUp(rules, &state, now)
	}
	action.Share = shareSteps[state.Level]
	return state, action
}

// stepDown lowers the share, or evicts a task if the lowest share didn't help. Each further step waits for measurements
// that were taken after the previous one, however much they lag.
func stepDown(rules Rules, state *State, in Input, current assessment, now time.Time) Action {
	action := Action{Reason: ReasonLatency}
	lowest := len(shareSteps) - 1
	missed := current.latencyRatio >= lowestShareAt
	if missed {
		action.Reason = ReasonObjectiveMissed
	}
	sinceChange := current.oldestAt.Sub(state.LastLevelChange)
	switch {
	case len(in.Batch) == 0:
	case state.Level < lowest:
		if state.Level > 0 && sinceChange < rules.StepDownAfter {
			break
		}
		countFailedStepUp(rules, state, now)
		switch {
		case missed:
			state.Level = lowest
		case current.expectedRatio >= rules.EvictAt:
			state.Level = min(state.Level+largeStepLevels, lowest)
		default:
			state.Level++
		}
		state.LastLevelChange = now
	case current.expectedRatio >= rules.EvictAt && sinceChange >= rules.EvictAfter && now.Sub(state.LastEviction) >= rules.EvictInterval:
		if victim := latencyVictim(in.Batch); victim != "" {
			state.LastEviction = now
			action.Evict = []string{victim}
		}
	}
	return action
}

// stepUp raises the share by one step once all services have allowed it for long enough since the last change.
func stepUp(rules Rules, state *State, now time.Time) {
	wait := rules.StepUpAfter << state.FailedStepUps
	if state.StepUpAllowedSince.IsZero() || now.Sub(state.StepUpAllowedSince) < wait || now.Sub(state.LastLevelChange) < wait {
		return
	}
	state.Level, state.LastLevelChange, state.LastStepUp = state.Level-1, now, now
}

// countFailedStepUp is called before a step down. It counts the preceding step up as failed if that was recent, and resets
// the count otherwise.
func countFailedStepUp(rules Rules, state *State, now time.Time) {
	switch {
	case state.LastStepUp.IsZero():
	case now.Sub(state.LastStepUp) < rules.StepUpAfter<<state.FailedStepUps:
		state.FailedStepUps = min(state.FailedStepUps+1, maxFailedStepUps)
	default:
		state.FailedStepUps = 0
	}
	state.LastStepUp = time.Time{}
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
	if m.floorShare > shareSteps[len(shareSteps)-1] {
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

// memoryVictim returns the batch task to evict if memory is nearly used up and no eviction is in progress: the one that
// exceeds its memory reservation most, or if none does, the one that isn't urgent and uses the most memory.
func memoryVictim(rules Rules, in Input) string {
	if in.Capacity.MemoryMB <= 0 || float64(in.Used.MemoryMB) < rules.MemoryEvictAt*float64(in.Capacity.MemoryMB) {
		return ""
	}
	return selectVictim(in.Batch, func(a, b BatchTask) int {
		aOver, bOver := max(a.Used.MemoryMB-a.Reserved.MemoryMB, 0), max(b.Used.MemoryMB-b.Reserved.MemoryMB, 0)
		return cmp.Or(cmp.Compare(bOver, aOver), compareUrgent(a, b), cmp.Compare(b.Used.MemoryMB, a.Used.MemoryMB))
	})
}

// latencyVictim returns the batch task whose eviction costs least: not urgent, low priority, little work done.
func latencyVictim(batch []BatchTask) string {
	return selectVictim(batch, func(a, b BatchTask) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.WorkDone, b.WorkDone))
	})
}

// selectVictim returns the first task in the given order, or none while an eviction is in progress.
func selectVictim(batch []BatchTask, order func(a, b BatchTask) int) string {
	if len(batch) == 0 || slices.ContainsFunc(batch, func(b BatchTask) bool { return b.Evicting }) {
		return ""
	}
	return slices.MinFunc(batch, func(a, b BatchTask) int {
		return cmp.Or(order(a, b), cmp.Compare(a.AllocationID, b.AllocationID))
	}).AllocationID
}

func compareUrgent(a, b BatchTask) int {
	switch {
	case a.Urgent == b.Urgent:
		return 0
	case b.Urgent:
		return -1
	default:
		return 1
	}
}
