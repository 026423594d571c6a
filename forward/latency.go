package forward

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency windows.
const (
	// latencyWindow is how long a window collects; percentiles cover the current and the previous one.
	latencyWindow = 10 * time.Second
	// minSamples is how many latencies a percentile needs.
	minSamples = 50
	// maxLatencyServices bounds the table; further services use the default until another has had no request for two
	// windows. A service takes 41 kB, so 1,024 of them took a third of the memory that an entry may use.
	maxLatencyServices = 128
	// percentileEvery is how many samples a computed percentile is used for.
	percentileEvery = 32
)

// Latencies observes the latency of answered requests by service. It is safe for concurrent use.
type Latencies struct {
	fallback time.Duration

	mu       sync.Mutex
	services map[string]*latencyWindows
	// searched is when lapsed services were last looked for.
	searched time.Time
}

type latencyWindows struct {
	current, previous *hdrhistogram.Histogram
	started           time.Time
	p95               time.Duration
	samples           int
}

// NewLatencies returns an empty table; fallback stands in for percentiles that aren't known yet.
func NewLatencies(fallback time.Duration) *Latencies {
	return &Latencies{fallback: fallback, services: map[string]*latencyWindows{}}
}

func newHistogram() *hdrhistogram.Histogram {
	const lowestMicros, highestMicros, digits = 1, 60_000_000, 2
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Observe records the latency of an answered request.
func (l *Latencies) Observe(service string, latency time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.services[service]
	if w == nil {
		if len(l.services) >= maxLatencyServices && !l.dropLapsed(now) {
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
	if w.samples%percentileEvery == 0 || w.p95 == 0 {
		w.p95 = w.percentile()
	}
}

// percentile returns the higher p95 of both windows, or 0 when there are too few samples.
func (w *latencyWindows) percentile() time.Duration {
	if w.current.TotalCount()+w.previous.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(max(w.current.ValueAtPercentile(95), w.previous.ValueAtPercentile(95))) * time.Microsecond
}

// P95 returns the observed 95th percentile of a service, or the fallback.
func (l *Latencies) P95(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.services[service]; w != nil && w.p95 > 0 {
		return w.p95
	}
	return l.fallback
}

// dropLapsed drops the services whose windows have both ended without a new request, and tells whether there is room. The
// search takes place once in a window, since it looks at all services.
func (l *Latencies) dropLapsed(now time.Time) bool {
	if now.Sub(l.searched) < latencyWindow {
		return false
	}
	l.searched = now
	for name, w := range l.services {
		if now.Sub(w.started) >= 2*latencyWindow {
			delete(l.services, name)
		}
	}
	return len(l.services) < maxLatencyServices
}
