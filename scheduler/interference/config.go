package interference

import (
	"cmp"
	"time"
)

// Bounds of a model.
const (
	// MaxPairs bounds the pairs of service and batch class. The pair with the least weight makes room for a new one.
	MaxPairs = 4096
	// MaxServices bounds the service classes. Samples of further classes are ignored.
	MaxServices = 1024
	// MaxWorkers bounds the workers whose loads are remembered. Samples of further workers are ignored.
	MaxWorkers = 8192
	// MaxLoads bounds the classes remembered for one worker at one time.
	MaxLoads = 64
	// historyLength bounds the load changes remembered for one worker. With a few starts a second on a busy worker it
	// covers the usual lag of a few seconds.
	historyLength = 16
)

// Config holds the parameters of a model. A zero field means its default.
type Config struct {
	// Limit is the slowdown factor of a service above which a batch class is blocked beside it.
	Limit float64
	// ObjectiveFraction is the part of a service's latency objective up to which batch may raise the latency, if that is
	// more than Limit allows. It lies below the point at which the guard throttles.
	ObjectiveFraction float64
	// HalfLife is the time in which unused knowledge loses half of its weight.
	HalfLife time.Duration
	// MinSamples is the weight of samples from which a pair is known.
	MinSamples float64
	// SettleTime is how long loads must not have changed before a measurement, since a measurement covers some time before.
	SettleTime time.Duration
	// BlockDuration is how long a pair stays blocked before it is explored again. It doubles with each block in a row.
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
	// releaseFraction is the part of the allowed slowdown below which a blocked pair is released. The gap to the limit keeps
	// a pair near the limit from flapping.
	releaseFraction = 0.6
	// earlyBlockSamples and earlyFactor block a pair before it is known, when the first samples are far beyond the limit.
	earlyBlockSamples = 3
	earlyBlockFactor  = 2
	// maxWeight caps the weight of a pair, so that it follows a change within about maxWeight samples.
	maxWeight = 50
	// maxSampleSlowdown caps one sample's slowdown, so that a pause of the service does not dominate the estimate.
	maxSampleSlowdown = 10
	// maxCoefficient caps the slowdown that is extrapolated to a worker full of one class.
	maxCoefficient = 50
	// staleAfter is the time without samples after which a known pair may be explored again.
	staleAfter = 30 * time.Second
	// maxBackoffLevel caps the doubling of BlockFor: the longest block is 16 times the first.
	maxBackoffLevel = 4
	// minRetainedWeight is the weight below which a pair is dropped.
	minRetainedWeight = 0.05
	// fullWeightShare is the batch share of a worker from which a sample counts in full. The slowdown by a smaller share is
	// hidden by the noise of the measurement, which the division by the share would multiply. It is also the largest share
	// at which a pair is judged for a block: placement limits the shares of a class that a service bears up to here.
	fullWeightShare = 0.25
	// maxIsolatedShare is the batch share of a worker below which a sample counts as undisturbed.
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
