package interference

import (
	"cmp"
	"time"
)

// Size limits of a Model.
const (
	// MaxPairs limits the pairs of service and batch class. When it is reached, the pair with the lowest weight is dropped.
	MaxPairs = 4096
	// MaxServices limits the service classes. Measurements of further classes are ignored.
	MaxServices = 1024
	// MaxWorkers limits the workers whose loads are recorded. Measurements of further workers are ignored.
	MaxWorkers = 8192
	// MaxLoads limits the batch classes recorded for one worker at one time.
	MaxLoads = 64
	// historyLength limits the load changes recorded for one worker. On a busy worker with a few task starts per second,
	// it covers the usual measurement lag of a few seconds.
	historyLength = 16
)

// Config holds the parameters of a Model. A zero field selects its default.
type Config struct {
	// Limit is the slowdown factor of a service above which a batch class is blocked on workers that run the service.
	Limit float64
	// ObjectiveFraction is the fraction of a service's latency objective up to which batch tasks may raise the latency, if
	// that is more than Limit allows. It is below the fraction at which the guard starts to throttle.
	ObjectiveFraction float64
	// HalfLife is the time in which the weight of a pair without new samples halves.
	HalfLife time.Duration
	// MinSamples is the total sample weight from which a pair's slowdown counts as known.
	MinSamples float64
	// SettleTime is how long a worker's loads must be unchanged before a measurement, which covers a period of time.
	SettleTime time.Duration
	// BlockDuration is how long a pair stays blocked before it is explored again. It doubles with each consecutive block.
	BlockDuration time.Duration
}

// Defaults of Config.
const (
	DefaultLimit             = 1.25
	DefaultObjectiveFraction = 0.7
	DefaultHalfLife          = 20 * time.Minute
	DefaultMinSamples        = 8
	DefaultSettleTime        = 2 * time.Second
	DefaultBlockDuration     = 10 * time.Minute
)

const (
	// releaseFraction is the fraction of the allowed slowdown below which a blocked pair is unblocked. The gap to the limit
	// keeps a pair near the limit from flapping.
	releaseFraction = 0.6
	// A pair that isn't known yet is blocked once its weight reaches earlyBlockSamples, if its slowdown is more than
	// earlyBlockFactor times the allowed one.
	earlyBlockSamples = 3
	earlyBlockFactor  = 2
	// maxWeight caps the weight of a pair, so that its coefficient adapts to a change within about maxWeight samples.
	maxWeight = 50
	// maxSampleSlowdown caps the relative slowdown of a sample, so that a pause of the service doesn't dominate an estimate.
	maxSampleSlowdown = 10
	// maxCoefficient caps the relative slowdown that is extrapolated to a worker fully loaded with one batch class.
	maxCoefficient = 50
	// staleAfter is the time without samples after which a known pair may be explored again.
	staleAfter = 30 * time.Second
	// maxBackoffLevel limits the doublings of BlockDuration: the longest block is 16 times the first.
	maxBackoffLevel = 4
	// minRetainedWeight is the weight below which a pair is dropped.
	minRetainedWeight = 0.05
	// fullWeightShare is the batch share of a worker from which a sample has full weight. At a smaller share the slowdown is
	// lost in measurement noise, which the division by the share would amplify. It is also the largest share for which the
	// decision to block a pair is made: up to it, placement limits the shares of a class that a service tolerates.
	fullWeightShare = 0.25
	// maxIsolatedShare is the batch share of a worker below which a measurement counts as taken without batch load.
	maxIsolatedShare = 0.02
)

func (c Config) withDefaults() Config {
	c.Limit = cmp.Or(c.Limit, DefaultLimit)
	c.ObjectiveFraction = cmp.Or(c.ObjectiveFraction, DefaultObjectiveFraction)
	c.HalfLife = cmp.Or(c.HalfLife, DefaultHalfLife)
	c.MinSamples = cmp.Or(c.MinSamples, DefaultMinSamples)
	c.SettleTime = cmp.Or(c.SettleTime, DefaultSettleTime)
	c.BlockDuration = cmp.Or(c.BlockDuration, DefaultBlockDuration)
	return c
}
