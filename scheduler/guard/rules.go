package guard

import (
	"cmp"
	"time"
)

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
