package forward

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency windows.
const (
	// latencyWindow is the duration of a window. Percentiles cover the current and the previous window.
	latencyWindow = 10 * time.Second
	// minPercentileSamples is the minimum number of samples for a percentile.
	minPercentileSamples = 50
	// maxLatencyServices limits the tracked services. Further services use the default until a tracked one has had no
	// request for two windows. A service takes 41 kB, so 1,024 of them took a third of the memory that an entry may
	// use.
	maxLatencyServices = 128
	// percentileRefreshSamples is the number of samples after which the percentile is recomputed.
	percentileRefreshSamples = 32
)

// LatencyTracker tracks the latency of answered requests per service. It is safe for concurrent use.
type LatencyTracker struct {
	defaultP95 time.Duration

	mu       sync.Mutex
	services map[string]*latencyWindows
	// lastEviction is when inactive services were last evicted.
	lastEviction time.Time
}

type latencyWindows struct {
	current, previous *hdrhistogram.Histogram
	started           time.Time
	p95               time.Duration
	samples           int
}

// NewLatencyTracker returns an empty tracker. P95 returns defaultP95 for services with too few samples.
func NewLatencyTracker(defaultP95 time.Duration) *LatencyTracker {
	return &LatencyTracker{defaultP95: defaultP95, services: map[string]*latencyWindows{}}
}

func newHistogram() *hdrhistogram.Histogram {
	const lowestMicros, highestMicros, digits = 1, 60_000_000, 2
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Observe records the latency of an answered request.
func (l *LatencyTracker) Observe(service string, latency time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.services[service]
	if w == nil {
		if len(l.services) >= maxLatencyServices && !l.evictInactive(now) {
			return
		}
		w = &latencyWindows{current: newHistogram(), previous: newHistogram(), started: now}
		l.services[service] = w
	}
	if now.Sub(w.started) >= latencyWindow {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
		w.started = now
	}
	_ = w.current.RecordValue(max(latency.Microseconds(), 1))
	w.samples++
	if w.samples%percentileRefreshSamples == 0 || w.p95 == 0 {
		w.p95 = w.computeP95()
	}
}

// computeP95 returns the higher p95 of both windows, or 0 if there are too few samples.
func (w *latencyWindows) computeP95() time.Duration {
	if w.current.TotalCount()+w.previous.TotalCount() < minPercentileSamples {
		return 0
	}
	return time.Duration(max(w.current.ValueAtPercentile(95), w.previous.ValueAtPercentile(95))) * time.Microsecond
}

// P95 returns the observed 95th percentile of a service, or the default.
func (l *LatencyTracker) P95(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.services[service]; w != nil && w.p95 > 0 {
		return w.p95
	}
	return l.defaultP95
}

// evictInactive removes services without a request for two windows and reports whether a service can be added. It scans
// all services, and therefore at most once per window.
func (l *LatencyTracker) evictInactive(now time.Time) bool {
	if now.Sub(l.lastEviction) < latencyWindow {
		return false
	}
	l.lastEviction = now
	for name, w := range l.services {
		if now.Sub(w.started) >= 2*latencyWindow {
			delete(l.services, name)
		}
	}
	return len(l.services) < maxLatencyServices
}
