package quarantine

import (
	"cmp"
	"time"
)

// Bounds of a model.
const (
	// MaxWorkers bounds the workers with failures. The one that failed longest ago makes room; quarantined ones stay.
	MaxWorkers = 8192
	// MaxJobs bounds the jobs with failures. The one that failed longest ago makes room.
	MaxJobs = 8192
	// maxTrackedFailures bounds the distinct jobs kept for one worker and the distinct workers kept for one job.
	maxTrackedFailures = 32
)

// Config holds the parameters of a model. A zero field means its default.
type Config struct {
	// JobThreshold is the number of distinct jobs that must fail on a worker, with no success between, to quarantine it.
	JobThreshold int
	// WorkerThreshold is the number of distinct sound workers on which a job must fail, with no success between, to fail it.
	WorkerThreshold int
	// Window is how long a failure counts.
	Window time.Duration
	// Backoff is how long the first quarantine lasts; each failed probe doubles it up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeTimeout is how long a probe may run without a result before another one is admitted.
	ProbeTimeout time.Duration
	// StreakPause is the pause after a third failure in a row that only the worker explains; each further one doubles it up
	// to MaxStreakPause.
	StreakPause    time.Duration
	MaxStreakPause time.Duration
	// MaxQuarantinedShare is the part of the fleet that may be quarantined. Beyond it, failures have a common cause that
	// quarantine can't help, and stopping the fleet would only add to the harm.
	MaxQuarantinedShare float64
}

// Defaults of Config.
const (
	DefaultJobThreshold        = 3
	DefaultWorkerThreshold     = 3
	DefaultWindow              = 15 * time.Minute
	DefaultBackoff             = time.Minute
	DefaultMaxBackoff          = time.Hour
	DefaultProbeTimeout        = 10 * time.Minute
	DefaultMaxQuarantinedShare = 0.34

	DefaultStreakPause    = 2 * time.Second
	DefaultMaxStreakPause = time.Minute
)

func (c Config) withDefaults() Config {
	c.JobThreshold = cmp.Or(c.JobThreshold, DefaultJobThreshold)
	c.WorkerThreshold = cmp.Or(c.WorkerThreshold, DefaultWorkerThreshold)
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.Backoff = cmp.Or(c.Backoff, DefaultBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.StreakPause = cmp.Or(c.StreakPause, DefaultStreakPause)
	c.MaxStreakPause = cmp.Or(c.MaxStreakPause, DefaultMaxStreakPause)
	c.MaxQuarantinedShare = cmp.Or(c.MaxQuarantinedShare, DefaultMaxQuarantinedShare)
	return c
}
