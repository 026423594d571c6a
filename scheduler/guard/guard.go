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
var shares = []float64{1, 0.85, 0.7, 0.55, 0.4, 0.25, 0.1}

// Rules are the guard's thresholds. A zero field means its default.
type Rules struct {
	// ThrottleAt, EvictAt and ReleaseAt are parts of a service's latency objective. Batch is throttled before the
	// objective is missed. It is released below ReleaseAt, and above if the service is expected to stay well below
	// ThrottleAt afterwards.
	ThrottleAt float64
	EvictAt    float64
	ReleaseAt  float64
	// MemoryAt is the part of the worker's memory in use at which batch is evicted. Throttling frees no memory.
	MemoryAt float64
	// StepAfter is how long after a step down a measurement must have been taken to justify the next step.
	StepAfter time.Duration
	// ReleaseAfter is how long all services must allow a release before a step up.
	ReleaseAfter time.Duration
	// EvictAfter is how long after the step to the lowest share a measurement must have been taken to justify an eviction.
	EvictAfter time.Duration
	// EvictEvery is the least time between two evictions for latency, so that the first one shows before the next.
	EvictEvery time.Duration
	// MaxAge is the age from which a measurement says nothing about the present.
	MaxAge time.Duration
}

// Defaults of Rules.
const (
	DefaultThrottleAt   = 0.75
	DefaultEvictAt      = 0.9
	DefaultReleaseAt    = 0.55
	DefaultMemoryAt     = 0.94
	DefaultStepAfter    = 2 * time.Second
	DefaultReleaseAfter = 10 * time.Second
	DefaultEvictAfter   = 3 * time.Second
	DefaultEvictEvery   = 4 * time.Second
	DefaultMaxAge       = 15 * time.Second
)

// largeStep is the number of levels of one step once a service is nearer to its objective than EvictAt.
const largeStep = 3

// urgentAt is the part of the objective from which the guard goes straight to the lowest share: the objective is missed
// already, and further small steps would each cost a lag.
const urgentAt = 1.0

// smoothing is the weight of a new measurement. The tail of the few requests of one report is noisy: unsmoothed, its
// trend over a lag of seconds reaches the throttling threshold without any change of load.
const smoothing = 0.3

// floorMargin is how far above its floor a service may be, and floorCeiling how near to ThrottleAt, for a release.
const (
	floorMargin  = 1.15
	floorCeiling = 0.95
)

// maxTrend caps how far a rising latency is extrapolated, as a factor.
const maxTrend = 1.5

// A trend counts once it exceeds its usual size by trendFactor: three standard deviations, since a decision is made every
// second. Beside a steady load, the trend of a tail measured from few requests reached the throttling threshold several
// times a minute. usualWeight is the weight of a new trend in the usual size.
const (
	trendFactor = 3
	usualWeight = 0.05
)

// maxRelapses caps the doubling of ReleaseAfter, at 16 times.
const maxRelapses = 4

// MaxServices bounds the services in a state. Measurements of further ones count without a trend.
const MaxServices = 64

func (r Rules) withDefaults() Rules {
	r.ThrottleAt = cmp.Or(r.ThrottleAt, DefaultThrottleAt)
	r.EvictAt = cmp.Or(r.EvictAt, DefaultEvictAt)
	r.ReleaseAt = cmp.Or(r.ReleaseAt, DefaultReleaseAt)
	r.MemoryAt = cmp.Or(r.MemoryAt, DefaultMemoryAt)
	r.StepAfter = cmp.Or(r.StepAfter, DefaultStepAfter)
	r.ReleaseAfter = cmp.Or(r.ReleaseAfter, DefaultReleaseAfter)
	r.EvictAfter = cmp.Or(r.EvictAfter, DefaultEvictAfter)
	r.EvictEvery = cmp.Or(r.EvictEvery, DefaultEvictEvery)
	r.MaxAge = cmp.Or(r.MaxAge, DefaultMaxAge)
	return r
}

// Input is what the worker measured.
type Input struct {
	Services []Service
	Batch    []Batch
	Capacity structs.Resources
	// Used is what everything on the worker uses; zero means unknown.
	Used structs.Resources
}

// Service is the latest latency of one service replica.
type Service struct {
	AllocationID string
	// LatencyMillis is the tail latency, 0 when the service had no requests. ObjectiveMillis is what it should stay
	// below; a service without one is left out.
	LatencyMillis   float64
	ObjectiveMillis float64
	Age             time.Duration
}

// Batch is one batch task that runs on the worker.
type Batch struct {
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
	// Changed is when Level last changed, Evicted when a task was last evicted.
	Changed time.Time
	Evicted time.Time
	// CalmSince is since when all services have allowed a release; zero when they don't.
	CalmSince time.Time
	// Relapses counts releases in a row that soon led to throttling again. Each doubles ReleaseAfter, so that batch that
	// can't run beside a service isn't released and throttled over and over.
	Relapses int
	// Released is when the last step up was taken.
	Released time.Time
	// last holds the newest measurement of each service.
	last []measurement
}

type measurement struct {
	allocation string
	pressure   float64
	at         time.Time
	// smooth is the pressure without most of its sampling noise, rate its change per second.
	smooth float64
	rate   float64
	// usual is the mean square of rate, of which most is sampling noise.
	usual float64
	// floor is the smoothed pressure that remained at floorShare, the lowest share in force so far; 0 while it has not been
	// measured.
	floor, floorShare float64
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
	ReasonNone    = "services are well below their objectives"
	ReasonHold    = "services are near their objectives, or recover"
	ReasonLatency = "a service nears its latency objective"
	ReasonMissed  = "a service misses its latency objective"
	ReasonMemory  = "memory is nearly used up"
	ReasonUnknown = "no recent measurement of a service"
)

// Decide returns the next state and what to do now.
func Decide(rules Rules, state State, in Input, now time.Time) (State, Action) {
	rules = rules.withDefaults()
	signal := measure(rules, &state, in.Services, now)
	if victim := memoryVictim(rules, in); victim != "" {
		state.Evicted = now
		return state, Action{Share: shares[state.Level], Evict: []string{victim}, Reason: ReasonMemory}
	}
	if !signal.known {
		// Old measurements justify neither a step nor a release.
		state.CalmSince = time.Time{}
		return state, Action{Share: shares[state.Level], Reason: ReasonUnknown}
	}
	if !signal.calm {
		state.CalmSince = time.Time{}
	} else if state.CalmSince.IsZero() {
		state.CalmSince = now
	}
	action := Action{Reason: ReasonNone}
	switch {
	case signal.expected >= rules.ThrottleAt:
		action = tighten(rules, &state, in, signal, now)
	case state.Level > 0:
		action.Reason = ReasonHold
		loosen(rules, &state, now)
	}
	action.Share = shares[state.Level]
	return state, action
}

// tighten takes a step down, or evicts a task when the lowest share didn't help. Each further step waits for
// measurements that were taken after the one before, however much they lag.
func tighten(rules Rules, state *State, in Input, signal signal, now time.Time) Action {
	action := Action{Reason: ReasonLatency}
	lowest := len(shares) - 1
	missed := signal.pressure >= urgentAt
	if missed {
		action.Reason = ReasonMissed
	}
	seen := signal.at.Sub(state.Changed)
	switch {
	case len(in.Batch) == 0:
	case state.Level < lowest:
		if state.Level > 0 && seen < rules.StepAfter {
			break
		}
		relapse(rules, state, now)
		switch {
		case missed:
			state.Level = lowest
		case signal.expected >= rules.EvictAt:
			state.Level = min(state.Level+largeStep, lowest)
		default:
			state.Level++
		}
		state.Changed = now
	case signal.expected >= rules.EvictAt && seen >= rules.EvictAfter && now.Sub(state.Evicted) >= rules.EvictEvery:
		if victim := latencyVictim(in.Batch); victim != "" {
			state.Evicted = now
			action.Evict = []string{victim}
		}
	}
	return action
}

// loosen takes a step up once the services have been calm for long enough since the last change.
func loosen(rules Rules, state *State, now time.Time) {
	wait := rules.ReleaseAfter << state.Relapses
	if state.CalmSince.IsZero() || now.Sub(state.CalmSince) < wait || now.Sub(state.Changed) < wait {
		return
	}
	state.Level, state.Changed, state.Released = state.Level-1, now, now
}

// relapse counts a step down that follows shortly after a step up; one that doesn't starts the count again.
func relapse(rules Rules, state *State, now time.Time) {
	switch {
	case state.Released.IsZero():
	case now.Sub(state.Released) < rules.ReleaseAfter<<state.Relapses:
		state.Relapses = min(state.Relapses+1, maxRelapses)
	default:
		state.Relapses = 0
	}
	state.Released = time.Time{}
}

// signal is what the latest measurements of all services say together.
type signal struct {
	// pressure is the highest latency as a part of its objective, expected the same with the trend extrapolated to now.
	pressure, expected float64
	// known is set when the measurements are recent enough to act on, calm when all services allow a release.
	known, calm bool
	// at is the time of the oldest measurement that counts.
	at time.Time
}

// measure updates the measurements in the state and combines them.
func measure(rules Rules, state *State, services []Service, now time.Time) signal {
	result := signal{known: true, calm: true, at: now}
	var last []measurement
	for _, s := range services {
		if s.ObjectiveMillis <= 0 {
			continue
		}
		if s.Age < 0 || s.Age > rules.MaxAge {
			result.known, result.calm = false, false
			continue
		}
		if s.LatencyMillis <= 0 {
			// A recent report without a latency means that the service had no requests.
			continue
		}
		m := state.update(rules, s, now)
		result.pressure = max(result.pressure, m.pressure)
		result.expected = max(result.expected, m.expected(now))
		result.calm = result.calm && (m.smooth < m.releaseAt(rules) || m.bears(rules, state.Level))
		if m.at.Before(result.at) {
			result.at = m.at
		}
		if len(last) < MaxServices {
			last = append(last, m)
		}
	}
	state.last = last
	result.known = result.known || result.expected >= rules.ThrottleAt
	return result
}

// update returns the measurement of a service after its newest report.
func (s *State) update(rules Rules, report Service, now time.Time) measurement {
	pressure := report.LatencyMillis / report.ObjectiveMillis
	m := measurement{allocation: report.AllocationID, pressure: pressure, smooth: pressure, at: now.Add(-report.Age)}
	at := slices.IndexFunc(s.last, func(p measurement) bool { return p.allocation == report.AllocationID })
	if at < 0 {
		return m
	}
	p := s.last[at]
	passed := m.at.Sub(p.at)
	if passed <= 0 {
		return p
	}
	m.smooth = p.smooth + smoothing*(pressure-p.smooth)
	m.rate = p.rate + smoothing*((pressure-p.pressure)/passed.Seconds()-p.rate)
	m.usual = p.usual + usualWeight*(m.rate*m.rate-p.usual)
	m.floor, m.floorShare = p.floor, p.floorShare
	if share := shares[s.Level]; m.at.Sub(s.Changed) >= rules.StepAfter && (p.floor == 0 || share <= p.floorShare) {
		m.floor, m.floorShare = m.smooth, share
		if p.floor > 0 && share == p.floorShare {
			m.floor = p.floor + smoothing*(m.smooth-p.floor)
		}
	}
	return m
}

// expected is the pressure to be expected by now if a trend that is more than noise goes on.
func (m measurement) expected(now time.Time) float64 {
	if m.rate <= trendFactor*math.Sqrt(m.usual) {
		return m.pressure
	}
	return min(m.pressure+m.rate*now.Sub(m.at).Seconds(), m.pressure*maxTrend)
}

// releaseAt is the pressure below which the service allows a release. A service whose latency stays near its objective
// even beside fully throttled batch would otherwise never allow one, and batch would starve without any gain.
func (m measurement) releaseAt(rules Rules) float64 {
	if m.floorShare > shares[len(shares)-1] {
		return rules.ReleaseAt
	}
	return max(rules.ReleaseAt, min(m.floor*floorMargin, rules.ThrottleAt*floorCeiling))
}

// bears tells whether the service can be expected to stay below ThrottleAt at the next higher share. The pressure lies at
// most on the line through the origin, as if all of it came from batch, and is expected on the line through the floor.
func (m measurement) bears(rules Rules, level int) bool {
	if level == 0 {
		return false
	}
	share := shares[level]
	slope := m.smooth / share
	if m.floor > 0 && share > m.floorShare {
		slope = min(slope, max(0, (m.smooth-m.floor)/(share-m.floorShare)))
	}
	return m.smooth+slope*(shares[level-1]-share) < rules.ThrottleAt*floorCeiling
}

// memoryVictim returns the batch task that exceeds its reservation of memory the most, or else uses the most, if memory
// is nearly used up and no eviction is under way.
func memoryVictim(rules Rules, in Input) string {
	if in.Capacity.MemoryMB <= 0 || float64(in.Used.MemoryMB) < rules.MemoryAt*float64(in.Capacity.MemoryMB) {
		return ""
	}
	return victim(in.Batch, func(a, b Batch) int {
		aOver, bOver := max(a.Used.MemoryMB-a.Reserved.MemoryMB, 0), max(b.Used.MemoryMB-b.Reserved.MemoryMB, 0)
		return cmp.Or(cmp.Compare(bOver, aOver), compareUrgent(a, b), cmp.Compare(b.Used.MemoryMB, a.Used.MemoryMB))
	})
}

// latencyVictim returns the batch task whose eviction costs least: not urgent, of low priority, with little work done.
func latencyVictim(batch []Batch) string {
	return victim(batch, func(a, b Batch) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.WorkDone, b.WorkDone))
	})
}

// victim returns the first task by the order, or none while an eviction is under way.
func victim(batch []Batch, order func(a, b Batch) int) string {
	if len(batch) == 0 || slices.ContainsFunc(batch, func(b Batch) bool { return b.Evicting }) {
		return ""
	}
	return slices.MinFunc(batch, func(a, b Batch) int {
		return cmp.Or(order(a, b), cmp.Compare(a.AllocationID, b.AllocationID))
	}).AllocationID
}

func compareUrgent(a, b Batch) int {
	switch {
	case a.Urgent == b.Urgent:
		return 0
	case b.Urgent:
		return -1
	default:
		return 1
	}
}
