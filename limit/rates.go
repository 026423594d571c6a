package limit

import (
	"sync"
	"time"
)

// searchInterval is how often full buckets are looked for when the table is full, since the search looks at all of them.
const searchInterval = time.Second

// Rates holds an equal rate for each of a bounded number of names. A name whose bucket is full again is as good as
// unknown, so such names make way for others. When there are none, further names share one bucket. It is safe for
// concurrent use.
type Rates struct {
	perSecond  float64
	burst, max int

	mu       sync.Mutex
	byName   map[string]*Rate
	others   *Rate
	searched time.Time
}

// NewRates returns rates of perSecond events with bursts of up to burst events, for at most max names each on its own.
func NewRates(perSecond float64, burst, max int) *Rates {
	return &Rates{
		perSecond: perSecond, burst: burst, max: max, byName: map[string]*Rate{}, others: NewRate(perSecond, burst),
	}
}

// Allow takes one token of a name, or returns false and the time after which one is free.
func (r *Rates) Allow(name string, now time.Time) (ok bool, retryAfter time.Duration) {
	return r.rate(name, now).Allow(now)
}

func (r *Rates) rate(name string, now time.Time) *Rate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byName[name]; known != nil {
		return known
	}
	if len(r.byName) >= r.max {
		r.dropFull(now)
	}
	if len(r.byName) >= r.max {
		return r.others
	}
	added := NewRate(r.perSecond, r.burst)
	r.byName[name] = added
	return added
}

// dropFull drops the names whose buckets are full. The caller holds the lock.
func (r *Rates) dropFull(now time.Time) {
	if now.Sub(r.searched) < searchInterval {
		return
	}
	r.searched = now
	for name, known := range r.byName {
		if known.limiter.TokensAt(now) >= float64(r.burst) {
			delete(r.byName, name)
		}
	}
}
