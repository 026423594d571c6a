// Package guard protects the tail latency of services on a worker. From lagged measurements it decides when the worker
// throttles its batch tasks, and when it checkpoints and evicts them. Decide is a pure function of its state and input.
package guard

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// shareSteps lists, by throttling level, the fraction of its processor time that each batch task keeps.
var shareSteps = [...]float64{1, 0.85, 0.7, 0.55, 0.4, 0.25, 0.1}

// lowestLevel is the level with the lowest share.
const lowestLevel = len(shareSteps) - 1

// largeStepLevels is the number of levels of a step down when a service is at or above EvictAt.
const largeStepLevels = 3

// lowestShareAt is the fraction of the objective from which the guard goes directly to the lowest share. The objective is
// already missed, and each smaller step would have to wait for the measurement lag.
const lowestShareAt = 1.0

// maxFailedStepUps limits the doublings of StepUpAfter, so that it grows to at most 16 times its value.
const maxFailedStepUps = 4

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
	if current.latencyRatio >= lowestShareAt {
		action.Reason = ReasonObjectiveMissed
	}
	sinceChange := current.oldestAt.Sub(state.LastLevelChange)
	switch {
	case len(in.Batch) == 0:
	case state.Level < lowestLevel:
		if state.Level == 0 || sinceChange >= rules.StepDownAfter {
			countFailedStepUp(rules, state, now)
			state.Level, state.LastLevelChange = levelAfterStepDown(rules, state.Level, current), now
		}
	case current.expectedRatio >= rules.EvictAt && sinceChange >= rules.EvictAfter && now.Sub(state.LastEviction) >= rules.EvictInterval:
		if victim := latencyVictim(in.Batch); victim != "" {
			state.LastEviction = now
			action.Evict = []string{victim}
		}
	}
	return action
}

// levelAfterStepDown returns the level of a step down, which is larger the nearer a service is to its objective.
func levelAfterStepDown(rules Rules, level int, current assessment) int {
	switch {
	case current.latencyRatio >= lowestShareAt:
		return lowestLevel
	case current.expectedRatio >= rules.EvictAt:
		return min(level+largeStepLevels, lowestLevel)
	}
	return level + 1
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
