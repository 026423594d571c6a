package quarantine

import (
	"cmp"
	"time"
)

// Size limits of a Model.
const (
	// MaxWorkers limits the number of tracked workers. When it is reached, the worker whose record is oldest is dropped;
	// quarantined workers are kept.
	MaxWorkers = 8192
	// MaxJobs limits the number of tracked jobs. When it is reached, the job that failed longest ago is dropped.
	MaxJobs = 8192
	// maxTrackedFailures limits the distinct jobs recorded per worker and the distinct workers recorded per job.
	maxTrackedFailures = 32
)

// Config holds the parameters of a Model. A zero field selects its default.
type Config struct {
	// JobThreshold is the number of distinct jobs that must fail on a worker, without a success in between, to quarantine it.
	JobThreshold int
	// WorkerThreshold is the number of distinct healthy workers on which a job must fail, without a success in between, for
	// the job to be declared faulty.
	WorkerThreshold int
	// Window is how long a failure is taken into account.
	Window time.Duration
	// Backoff is the duration of the first quarantine; each failed probe doubles it, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ProbeTimeout is how long a probe may run without a result before another one is admitted.
	ProbeTimeout time.Duration
	// StreakPause is the pause after the third consecutive failure that is attributed to the worker alone; each further one
	// doubles it, up to MaxStreakPause.
	StreakPause    time.Duration
	MaxStreakPause time.Duration
	// MaxQuarantinedShare is the fraction of all workers that may be quarantined at once. More failures than that point to a
	// common cause, which quarantine can't fix, and stopping the whole fleet would only increase the damage.
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
