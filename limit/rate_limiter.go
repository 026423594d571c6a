package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// RateLimiter is a token bucket that reports, on rejection, when to retry. It is safe for concurrent use.
type RateLimiter struct{ limiter *rate.Limiter }

// NewRateLimiter returns a limiter of perSecond events per second with bursts of up to burst events.
func NewRateLimiter(perSecond float64, burst int) *RateLimiter {
	return &RateLimiter{rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow takes one token, or returns false and the delay until one is available.
func (r *RateLimiter) Allow(now time.Time) (ok bool, retryAfter time.Duration) {
	reservation := r.limiter.ReserveN(now, 1)
	if !reservation.OK() {
		return false, time.Second
	}
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return false, delay
	}
	return true, 0
}
