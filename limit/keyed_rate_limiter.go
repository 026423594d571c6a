package limit

import (
	"sync"
	"time"
)

// evictionInterval is the minimum time between two searches for full buckets, because each search visits all keys.
const evictionInterval = time.Second

// KeyedRateLimiter applies the same rate limit to each of a bounded number of keys. A key whose bucket is full behaves like
// a new one, so such keys are evicted when the table is full. If there are none, additional keys share one bucket. It is
// safe for concurrent use.
type KeyedRateLimiter struct {
	perSecond      float64
	burst, maxKeys int

	mu           sync.Mutex
	byKey        map[string]*RateLimiter
	shared       *RateLimiter
	lastEviction time.Time
}

// NewKeyedRateLimiter returns a limiter of perSecond events per second and key, with bursts of up to burst events, that
// tracks at most maxKeys keys separately.
func NewKeyedRateLimiter(perSecond float64, burst, maxKeys int) *KeyedRateLimiter {
	return &KeyedRateLimiter{
		perSecond: perSecond, burst: burst, maxKeys: maxKeys, byKey: map[string]*RateLimiter{}, shared: NewRateLimiter(perSecond, burst),
	}
}

// Allow takes one token of the key, or returns false and the delay until one is available.
func (r *KeyedRateLimiter) Allow(key string, now time.Time) (ok bool, retryAfter time.Duration) {
	return r.limiter(key, now).Allow(now)
}

func (r *KeyedRateLimiter) limiter(key string, now time.Time) *RateLimiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byKey[key]; known != nil {
		return known
	}
	if len(r.byKey) >= r.maxKeys {
		r.evictFull(now)
	}
	if len(r.byKey) >= r.maxKeys {
		return r.shared
	}
	added := NewRateLimiter(r.perSecond, r.burst)
	r.byKey[key] = added
	return added
}

// evictFull removes the keys whose buckets are full. The caller holds mu.
func (r *KeyedRateLimiter) evictFull(now time.Time) {
	if now.Sub(r.lastEviction) < evictionInterval {
		return
	}
	r.lastEviction = now
	for name, known := range r.byKey {
		if known.limiter.TokensAt(now) >= float64(r.burst) {
			delete(r.byKey, name)
		}
	}
}
