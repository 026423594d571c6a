package requests

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// latencySeconds is the length of the window of a latency report. One second has too few requests: their 95th
	// percentile would be mostly noise.
	latencySeconds = 5
	// maxLatencySamples limits the samples of one second; further ones in that second are dropped.
	maxLatencySamples = 512
)

// latencyWindow holds the run times of an upstream's requests in the last latencySeconds. It is safe for concurrent use.
type latencyWindow struct {
	mu      sync.Mutex
	seconds [latencySeconds]int64
	samples [latencySeconds][]float64
}

func (w *latencyWindow) record(took time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := now.Unix()
	i := second % latencySeconds
	if w.seconds[i] != second {
		w.seconds[i], w.samples[i] = second, w.samples[i][:0]
	}
	if len(w.samples[i]) < maxLatencySamples {
		w.samples[i] = append(w.samples[i], took.Seconds()*1000)
	}
}

// percentile95 returns the 95th percentile of the window in milliseconds, or 0 if there are no samples.
func (w *latencyWindow) percentile95(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []float64
	for i, second := range w.seconds {
		if now.Unix()-second < latencySeconds {
			all = append(all, w.samples[i]...)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)*95/100, len(all)-1)]
}

// ServiceLatencies returns the 95th percentile of the recent run times of requests for each upstream that served any.
func (m *Module) ServiceLatencies() []structs.ServiceLatency {
	now := m.clock.Now()
	var list []structs.ServiceLatency
	for _, u := range m.upstreams.all() {
		if millis := u.latency.percentile95(now); millis > 0 {
			list = append(list, structs.ServiceLatency{
				Service: u.service, Millis: millis, AgeMillis: latencySeconds * time.Second.Milliseconds() / 2,
			})
		}
	}
	return list
}

// all returns the upstreams sorted by service.
func (reg *upstreamRegistry) all() []*upstream {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	list := make([]*upstream, 0, len(reg.byService))
	for _, u := range reg.byService {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.service, b.service) })
	return list
}
