// Package guard decides from lagging measurements when a worker throttles its batch tasks, and when it checkpoints and
// evicts them, so that a service's tail latency doesn't degrade. Decide is a pure function of its state and input.
package guard

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Shares are the steps of throttling: the part of its processor time that each batch task keeps.
var shares = []float64{1, 0.5, 0.25, 0.1}

// Rules are the guard's thresholds. A zero field means its default.
type Rules struct {
	// ThrottleAt, EvictAt and ReleaseAt are parts of a service's latency objective. Batch is throttled before the
	// objective is missed, and released only well below it.
	ThrottleAt float64
	EvictAt    float64
	ReleaseAt  float64
	// MemoryAt is the part of the worker's memory in use at which batch is evicted. Throttling frees no memory.
	MemoryAt float64
	// StepAfter is the least time between two steps down, so that a step shows in the lagging measurements first.
	StepAfter time.Duration
	// ReleaseAfter is how long all services must stay below ReleaseAt before a step up.
	ReleaseAfter time.Duration
	// EvictAfter is how long batch must have been at the lowest share before it is evicted.
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

// urgentAt is the part of the objective from which the guard goes straight to the lowest share: the objective is missed
// already, and further small steps would each cost a lag.
const urgentAt = 1.0

// maxTrend caps how far a rising latency is extrapolated, as a factor.
const maxTrend = 1.5

// maxRelapses caps the doubling of ReleaseAfter, at 16 times.
const maxRelapses = 4

// MaxServices bounds the services in a state. Measurements of further ones count without a trend.
const MaxServices = 64

func (r Rules) withDefaults() Rules {
	setDefault(&r.ThrottleAt, DefaultThrottleAt)
	setDefault(&r.EvictAt, DefaultEvictAt)
	setDefault(&r.ReleaseAt, DefaultReleaseAt)
	setDefault(&r.MemoryAt, DefaultMemoryAt)
	setDefault(&r.StepAfter, DefaultStepAfter)
	setDefault(&r.ReleaseAfter, DefaultReleaseAfter)
	setDefault(&r.EvictAfter, DefaultEvictAfter)
	setDefault(&r.EvictEvery, DefaultEvictEvery)
	setDefault(&r.MaxAge, DefaultMaxAge)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
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
	// CalmSince is since when all services have been below ReleaseAt; zero when they aren't.
	CalmSince time.Time
	// Relapses counts releases in a row that soon led to throttling again. Each doubles ReleaseAfter, so that batch that
	// can't run beside a service isn't released and throttled over and over.
	Relapses int
	// Released is when the last step up was taken.
	Released time.Time
	// last holds the previous measurement of each service.
	last []measurement
}

type measurement struct {
	allocation string
	pressure   float64
	at         time.Time
	// rate is the change of pressure per second between the last two measurements.
	rate float64
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
	pressure, known, last := measure(rules, state.last, in.Services, now)
	state.last = last
	if victim := memoryVictim(rules, in); victim != "" {
		state.Evicted = now
		return state, Action{Share: shares[state.Level], Evict: []string{victim}, Reason: ReasonMemory}
	}
	if !known {
		// Old measurements justify neither a step nor a release.
		state.CalmSince = time.Time{}
		return state, Action{Share: shares[state.Level], Reason: ReasonUnknown}
	}
	if pressure >= rules.ReleaseAt {
		state.CalmSince = time.Time{}
	} else if state.CalmSince.IsZero() {
		state.CalmSince = now
	}
	action := Action{Reason: ReasonNone}
	switch {
	case pressure >= rules.ThrottleAt:
		action = tighten(rules, &state, in, pressure, now)
	case state.Level > 0:
		action.Reason = ReasonHold
		loosen(rules, &state, now)
	}
	action.Share = shares[state.Level]
	return state, action
}

// tighten takes a step down, or evicts a task when the lowest share didn't help.
func tighten(rules Rules, state *State, in Input, pressure float64, now time.Time) Action {
	action := Action{Reason: ReasonLatency}
	lowest := len(shares) - 1
	if pressure >= urgentAt {
		action.Reason = ReasonMissed
	}
	switch {
	case len(in.Batch) == 0:
	case pressure >= urgentAt && state.Level < lowest:
		relapse(rules, state, now)
		state.Level, state.Changed = lowest, now
	case state.Level < lowest:
		if state.Level == 0 || now.Sub(state.Changed) >= rules.StepAfter {
			relapse(rules, state, now)
			state.Level, state.Changed = state.Level+1, now
		}
	case pressure >= rules.EvictAt && now.Sub(state.Changed) >= rules.EvictAfter && now.Sub(state.Evicted) >= rules.EvictEvery:
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

// measure returns the highest pressure of all services, the latency as a part of the objective extrapolated to now, and
// whether every service with an objective has a recent measurement.
func measure(rules Rules, previous []measurement, services []Service, now time.Time) (float64, bool, []measurement) {
	highest, known := 0.0, true
	var last []measurement
	for _, s := range services {
		if s.ObjectiveMillis <= 0 {
			continue
		}
		if s.Age < 0 || s.Age > rules.MaxAge {
			known = false
			continue
		}
		if s.LatencyMillis <= 0 {
			// A recent report without a latency means that the service had no requests.
			continue
		}
		m := measurement{allocation: s.AllocationID, pressure: s.LatencyMillis / s.ObjectiveMillis, at: now.Add(-s.Age)}
		for _, p := range previous {
			if p.allocation != s.AllocationID {
				continue
			}
			if passed := m.at.Sub(p.at); passed > 0 {
				m.rate = (m.pressure - p.pressure) / passed.Seconds()
			} else {
				m = p
			}
		}
		expected := m.pressure
		if m.rate > 0 {
			expected = min(m.pressure+m.rate*now.Sub(m.at).Seconds(), m.pressure*maxTrend)
		}
		highest = max(highest, expected)
		if len(last) < MaxServices {
			last = append(last, m)
		}
	}
	return highest, known || highest >= rules.ThrottleAt, last
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
