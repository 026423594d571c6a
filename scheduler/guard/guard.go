// Package guard decides from lagging measurements when a worker throttles its batch tasks, and when it checkpoints and
// evicts them, so that a service's tail latency doesn't degrade. Decide is a pure function of its state and input.
package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Shares are the steps of throttling: the part of its processor time that each batch task keeps.
var shareSteps = []float64{1, 0.85, 0.7, 0.55, 0.4, 0.25, 0.1}

// Rules are the guard's thresholds. A zero field means its default.
type Rules struct {
	// ThrottleAt, EvictAt and ReleaseAt are parts of a service's latency objective. Batch is throttled before the
	// objective is missed. It is released below ReleaseAt, and above if the service is expected to stay well below
	// ThrottleAt afterwards.
	ThrottleAt float64
	EvictAt    float64
	ResumeAt   float64
	// MemoryEvictAt is the part of the worker's memory in use at which batch is evicted. Throttling frees no memory.
	MemoryEvictAt float64
	// StepDownAfter is how long after a step down a measurement must have been taken to justify the next step.
	StepDownAfter time.Duration
	// StepUpAfter is how long all services must allow a release before a step up.
	StepUpAfter time.Duration
	// EvictAfter is how long after the step to the lowest share a measurement must have been taken to justify an eviction.
	EvictAfter time.Duration
	// EvictInterval is the least time between two evictions for latency, so that the first one shows before the next.
	EvictInterval time.Duration
	// MaxAge is the age from which a measurement says nothing about the present.
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

// largeStepLevels is the number of levels of one step once a service is nearer to its objective than EvictAt.
const largeStepLevels = 3

// lowestShareAt is the part of the objective from which the guard goes straight to the lowest share: the objective is missed
// already, and further small steps would each cost a lag.
const lowestShareAt = 1.0

// smoothingFactor is the weight of a new measurement. The tail of the few requests of one report is noisy: unsmoothed, its
// trend over a lag of seconds reaches the throttling threshold without any change of load.
const smoothingFactor = 0.3

// floorMargin is how far above its floor a service may be, and resumeCeiling how near to ThrottleAt, for a release.
const (
	floorMargin   = 1.15
	resumeCeiling = 0.95
)

// maxTrendFactor caps how far a rising latency is extrapolated, as a factor.
const maxTrendFactor = 1.5

// A trend counts once it exceeds its usual size by trendDeviations: three standard deviations, since a decision is made every
// second. Beside a steady load, the trend of a tail measured from few requests reached the throttling threshold several
// times a minute. varianceWeight is the weight of a new trend in the usual size.
const (
	trendDeviations = 3
	varianceWeight  = 0.05
)

// maxFailedStepUps caps the doubling of ReleaseAfter, at 16 times.
const maxFailedStepUps = 4

// MaxServices bounds the services in a state. Measurements of further ones count without a trend.
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

// Input is what the worker measured.
type Input struct {
	Services []ServiceLatency
	Batch    []BatchTask
	Capacity structs.Resources
	// Used is what everything on the worker uses; zero means unknown.
	Used structs.Resources
}

// ServiceLatency is the latest latency of one service replica.
type ServiceLatency struct {
	AllocationID string
	// LatencyMillis is the tail latency, 0 when the service had no requests. ObjectiveMillis is what it should stay
	// below; a service without one is left out.
	LatencyMillis   float64
	ObjectiveMillis float64
	Age             time.Duration
}

// BatchTask is one batch task that runs on the worker.
type BatchTask struct {
	AllocationID string
	Priority     int
	Urgent       bool
	WorkDone     time.Duration
	Reserved     structs.Resources
	Used         structs.Resources
	// Evicting is set once the task was told to checkpoint and stop.
	Evicting bool
}

// State is what the guard remembers between decisions. The zero value throttles nothing.
type State struct {
	// Level is the number of throttling steps in force.
	Level int
	// LastLevelChange is when Level last changed, Evicted when a task was last evicted.
	LastLevelChange time.Time
	LastEviction    time.Time
	// StepUpAllowedSince is since when all services have allowed a release; zero when they don't.
	StepUpAllowedSince time.Time
	// FailedStepUps counts releases in a row that soon led to throttling again. Each doubles ReleaseAfter, so that batch that
	// can't run beside a service isn't released and throttled over and over.
	FailedStepUps int
	// LastStepUp is when the last step up was taken.
	LastStepUp time.Time
	// measurements holds the newest measurement of each service.
	measurements []measurement
}

type measurement struct {
	allocation   string
	latencyRatio float64
	at           time.Time
	// smoothedRatio is the pressure without most of its sampling noise, rate its change per second.
	smoothedRatio float64
	rate          float64
	// rateVariance is the mean square of rate, of which most is sampling noise.
	rateVariance float64
	// floorRatio is the smoothed pressure that remained at floorShare, the lowest share in force so far; 0 while it has not been
	// measured.
	floorRatio, floorShare float64
}

// Action is what the runner applies.
type Action struct {
	// Share is the part of its processor time that each batch task keeps, from 0 to 1.
	Share float64
	// Evict lists the allocations to checkpoint and stop.
	Evict []string
	// Reason says what the action answers to, for a log line on a change.
	Reason string
}

// Reasons of an action.
const (
	ReasonBelowObjectives = "services are well below their objectives"
	ReasonStillThrottled  = "services are near their objectives, or recover"
	ReasonLatency         = "a service nears its latency objective"
	ReasonObjectiveMissed = "a service misses its latency objective"
	ReasonMemory          = "memory is nearly used up"
	ReasonUnknown         = "no recent measurement of a service"
)

// Decide returns the next state and what to do now.
func Decide(rules Rules, state State, in Input, now time.Time) (State, Action) {
	rules = rules.withDefaults()
	current := assess(rules, &state, in.Services, now)
	if victim := memoryVictim(rules, in); victim != "" {
		state.LastEviction = now
		return state, Action{Share: shareSteps[state.Level], Evict: []string{victim}, Reason: ReasonMemory}
	}
	if !current.recent {
		// Old measurements justify neither a step nor a release.
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

// stepDown takes a step down, or evicts a task when the lowest share didn't help. Each further step waits for
// measurements that were taken after the one before, however much they lag.
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

// stepUp takes a step up once the services have been calm for long enough since the last change.
func stepUp(rules Rules, state *State, now time.Time) {
	wait := rules.StepUpAfter << state.FailedStepUps
	if state.StepUpAllowedSince.IsZero() || now.Sub(state.StepUpAllowedSince) < wait || now.Sub(state.LastLevelChange) < wait {
		return
	}
	state.Level, state.LastLevelChange, state.LastStepUp = state.Level-1, now, now
}

// countFailedStepUp counts a step down that follows shortly after a step up; one that doesn't starts the count again.
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

// assessment is what the latest measurements of all services say together.
type assessment struct {
	// latencyRatio is the highest latency as a part of its objective, expectedRatio the same with the trend extrapolated to now.
	latencyRatio, expectedRatio float64
	// recent is set when the measurements are recent enough to act on, stepUpAllowed when all services allow a release.
	recent, stepUpAllowed bool
	// oldestAt is the time of the oldest measurement that counts.
	oldestAt time.Time
}

// assess updates the measurements in the state and combines them.
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

// updateMeasurement returns the measurement of a service after its newest report.
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

// expectedRatio is the pressure to be expectedRatio by now if a trend that is more than noise goes on.
func (m measurement) expectedRatio(now time.Time) float64 {
	if m.rate <= trendDeviations*math.Sqrt(m.rateVariance) {
		return m.latencyRatio
	}
	return min(m.latencyRatio+m.rate*now.Sub(m.at).Seconds(), m.latencyRatio*maxTrendFactor)
}

// resumeThreshold is the pressure below which the service allows a release. A service whose latency stays near its objective
// even beside fully throttled batch would otherwise never allow one, and batch would starve without any gain.
func (m measurement) resumeThreshold(rules Rules) float64 {
	if m.floorShare > shareSteps[len(shareSteps)-1] {
		return rules.ResumeAt
	}
	return max(rules.ResumeAt, min(m.floorRatio*floorMargin, rules.ThrottleAt*resumeCeiling))
}

// toleratesStepUp tells whether the service can be expected to stay below ThrottleAt at the next higher share. The pressure lies at
// most on the line through the origin, as if all of it came from batch, and is expected on the line through the floor.
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

// memoryVictim returns the batch task that exceeds its reservation of memory the most, or else uses the most, if memory
// is nearly used up and no eviction is under way.
func memoryVictim(rules Rules, in Input) string {
	if in.Capacity.MemoryMB <= 0 || float64(in.Used.MemoryMB) < rules.MemoryEvictAt*float64(in.Capacity.MemoryMB) {
		return ""
	}
	return selectVictim(in.Batch, func(a, b BatchTask) int {
		aOver, bOver := max(a.Used.MemoryMB-a.Reserved.MemoryMB, 0), max(b.Used.MemoryMB-b.Reserved.MemoryMB, 0)
		return cmp.Or(cmp.Compare(bOver, aOver), compareUrgent(a, b), cmp.Compare(b.Used.MemoryMB, a.Used.MemoryMB))
	})
}

// latencyVictim returns the batch task whose eviction costs least: not urgent, of low priority, with little work done.
func latencyVictim(batch []BatchTask) string {
	return selectVictim(batch, func(a, b BatchTask) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.WorkDone, b.WorkDone))
	})
}

// selectVictim returns the first task by the order, or none while an eviction is under way.
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
