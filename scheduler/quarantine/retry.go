package quarantine

import (
	"cmp"
	"hash/fnv"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// RetryPolicy limits the attempts of a task and sets the delay between them. A zero field selects its default.
type RetryPolicy struct {
	// BaseDelay is the delay after the first failure; each further failure doubles it, up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Attempts applies to jobs that declare no limit of their own; MaxAttempts caps the limit that jobs declare.
	Attempts    int
	MaxAttempts int
}

// Defaults of RetryPolicy.
const (
	DefaultRetryBaseDelay      = 2 * time.Second
	DefaultRetryMaxDelay       = 5 * time.Minute
	DefaultAttempts            = 5
	DefaultMaxAttempts         = 20
	jitterSteps                = 1000
	maxBackoffShift       uint = 20
)

// NextDelay returns how long a task waits after the given number of failures, and false if it may not run again. Evictions
// and lost workers don't count as failures. A jitter of up to 25% in either direction keeps tasks of a job that failed
// together from restarting together; it is deterministic for a task and number of failures.
func (p RetryPolicy) NextDelay(task structs.TaskID, failures, declaredAttempts int) (time.Duration, bool) {
	p.BaseDelay = cmp.Or(p.BaseDelay, DefaultRetryBaseDelay)
	p.MaxDelay = cmp.Or(p.MaxDelay, DefaultRetryMaxDelay)
	p.Attempts = cmp.Or(p.Attempts, DefaultAttempts)
	p.MaxAttempts = cmp.Or(p.MaxAttempts, DefaultMaxAttempts)
	limit := declaredAttempts
	if limit <= 0 {
		limit = p.Attempts
	}
	if failures >= min(limit, p.MaxAttempts) {
		return 0, false
	}
	shift := min(uint(max(failures-1, 0)), maxBackoffShift)
	delay := p.BaseDelay << shift
	if delay <= 0 || delay > p.MaxDelay {
		delay = p.MaxDelay
	}
	return time.Duration(float64(delay) * (0.75 + 0.5*jitter(task, failures))), true
}

// jitter returns a number from 0 to 1 that depends only on the task and its number of failures.
func jitter(task structs.TaskID, failures int) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task.JobID))
	for _, n := range []int{task.Index, failures} {
		_, _ = h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), 0})
	}
	return float64((h.Sum64()>>20)%jitterSteps) / (jitterSteps - 1)
}
