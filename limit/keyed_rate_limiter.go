package limit

import (
	"sync"
	"time"
)

// evictionInterval is how often full buckets are looked for when the table is full, since the search looks at all of them.
const evictionInterval = time.Second

// KeyedRateLimiter holds an equal rate for each of a bounded number of names. A name whose bucket is full again is as good as
// unknown, so such names make way for others. When there are none, further names share one bucket. It is safe for
// concurrent use.
type KeyedRateLimiter struct {
	perSecond  float64
	burst, maxKeys int

	mu       sync.Mutex
	byKey   map[string]*RateLimiter
	shared   *RateLimiter
	lastEviction time.Time
}

// NewKeyedRateLimiter returns rates of perSecond events with bursts of up to burst events, for at most max names each on its own.
func NewKeyedRateLimiter(perSecond float64, burst, maxKeys int) *KeyedRateLimiter {
	return &KeyedRateLimiter{
		perSecond: perSecond, burst: burst, maxKeys: maxKeys, byKey: map[string]*RateLimiter{}, shared: NewRateLimiter(perSecond, burst),
	}
}

// Allow takes one token of a name, or returns false and the time after which one is free.
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

// evictFull drops the names whose buckets are full. The caller holds the lock.
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
