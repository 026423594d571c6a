package quarantine

import (
	"cmp"
	"hash/fnv"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// RetryPolicy caps the attempts of a task and spaces them out. A zero field means its default.
type RetryPolicy struct {
	// BaseDelay is the delay after the first failure; it doubles with each further one up to Max.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Attempts applies to jobs that declare none; MaxAttempts caps what jobs declare.
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

// NextDelay returns how long a task waits after its n-th failure, and false if it may not run again. Evictions and lost
// workers are no failures. The delay is spread by a quarter to either side, by task, so that the tasks of a job that
// failed together don't start together; the same task and count give the same delay.
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

// jitter returns a number from 0 to 1 that depends on the task and the count only.
func jitter(task structs.TaskID, failures int) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task.JobID))
	for _, n := range []int{task.Index, failures} {
		_, _ = h.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), 0})
	}
	return float64((h.Sum64()>>20)%jitterSteps) / (jitterSteps - 1)
}
