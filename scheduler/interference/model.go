package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Model estimates interference from lagged latency measurements of services. For each service class it keeps a baseline
// latency without batch load, and for each pair of service and batch class a coefficient: the relative slowdown on a worker
// fully loaded with the batch class. The slowdown of a sample is modelled as the sum of coefficient times share over the
// batch classes on the worker. The error is distributed over these classes (normalised least mean squares, regularised for
// small shares), so that the slowdown by a noisy class isn't attributed to a harmless class on the same worker for long.
// A Model is not safe for concurrent use.
type Model struct {
	config   Config
	services map[string]*baseline
	pairs    map[pairKey]*pair
	workers  map[string]*loadHistory
	// lastAdvance is the time of the last Advance.
	lastAdvance time.Time
}

type pairKey struct{ service, batch string }

// baseline is the latency of a service class without batch load on the worker.
type baseline struct {
	// millis is 0 until a latency has been measured.
	millis float64
	// isolated is set once millis comes from measurements without batch load; until then it is the lowest latency measured.
	isolated bool
	// objectiveMillis is the latency objective, 0 if there is none.
	objectiveMillis float64
}

type pair struct {
	coefficient float64
	// meanShare is the mean share of the batch class on workers that run the service.
	meanShare float64
	weight    float64
	// lastSample is the time of the latest sample.
	lastSample time.Time
	// decayedAt is the time up to which decay has been applied to weight.
	decayedAt    time.Time
	known        bool
	blocked      bool
	blockedUntil time.Time
	backoffLevel int
}

// New returns a Model without estimates.
func New(config Config) *Model {
	return &Model{
		config: config.withDefaults(), services: map[string]*baseline{}, pairs: map[pairKey]*pair{},
		workers: map[string]*loadHistory{},
	}
}

// SetLoads sets the batch loads on a worker from now on. Setting the same loads again has no effect. At most MaxLoads
// classes are kept.
func (m *Model) SetLoads(worker string, loads []Load, now time.Time) {
	h := m.workers[worker]
	if h == nil {
		if len(m.workers) >= MaxWorkers {
			return
		}
		h = &loadHistory{}
		m.workers[worker] = h
	}
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Class, b.Class) })
	h.record(loads[:min(len(loads), MaxLoads)], now)
}

// SetObjective sets the tail latency objective of a service class in milliseconds; 0 means no objective.
func (m *Model) SetObjective(service string, millis float64) {
	base := m.services[service]
	if base == nil {
		if len(m.services) >= MaxServices {
			return
		}
		base = &baseline{}
		m.services[service] = base
	}
	base.objectiveMillis = max(millis, 0)
}

// SetLimit sets Config.Limit; 0 selects its default.
func (m *Model) SetLimit(limit float64) { m.config.Limit = cmp.Or(limit, DefaultLimit) }

// slowdownLimit returns the slowdown that a service class tolerates: the configured factor, or more if the baseline latency
// is far below the objective. A service that answers in a third of its objective can be slowed down by a factor of two
// without harm, while keeping batch tasks away from it would leave most workers idle.
func (m *Model) slowdownLimit(service string) float64 {
	base := m.services[service]
	if base == nil || !base.isolated || base.millis <= 0 {
		return m.config.Limit
	}
	return max(m.config.Limit, m.config.ObjectiveFraction*base.objectiveMillis/base.millis)
}

// ForgetWorker drops the recorded loads of a worker.
func (m *Model) ForgetWorker(worker string) { delete(m.workers, worker) }

// Observe updates the estimates with a latency measurement of a service on a worker, taken age ago. It reports whether the
// measurement was used. It isn't if the latency isn't a positive number, if the worker's loads at that time aren't known or
// had just changed, or if there are too many services.
func (m *Model) Observe(worker, service string, latencyMillis float64, age time.Duration, now time.Time) bool {
	h := m.workers[worker]
	if h == nil || !(latencyMillis > 0) || math.IsInf(latencyMillis, 0) || age < 0 {
		return false
	}
	loads, ok := h.at(now.Add(-age), m.config.SettleTime)
	if !ok {
		return false
	}
	total := 0.0
	for _, load := range loads {
		total += load.Share
	}
	base := m.services[service]
	if base == nil {
		if len(m.services) >= MaxServices {
			return false
		}
		base = &baseline{}
		m.services[service] = base
	}
	if base.millis == 0 {
		base.millis = latencyMillis
	}
	base.observe(latencyMillis, total < maxIsolatedShare)
	if total >= maxIsolatedShare {
		m.updateCoefficients(service, loads, min(max(latencyMillis/base.millis-1, 0), maxSampleSlowdown), now)
	}
	return true
}

// observe updates the moving average of measurements without batch load. Until the first of these, it keeps the lowest
// latency of any measurement.
func (b *baseline) observe(millis float64, isolated bool) {
	const step = 0.1
	switch {
	case isolated && !b.isolated:
		b.millis, b.isolated = millis, true
	case isolated:
		b.millis += step * (millis - b.millis)
	case millis < b.millis:
		// A latency below the mean despite batch load is noise of the service itself. It only corrects the initial guess.
		if !b.isolated {
			b.millis = millis
		}
	}
}

func (m *Model) updateCoefficients(service string, loads []Load, slowdown float64, now time.Time) {
	predicted, inputPower := 0.0, 0.0
	updated := make([]*pair, len(loads))
	for i, load := range loads {
		p := m.ensurePair(pairKey{service, load.Class}, now)
		updated[i] = p
		predicted += p.coefficient * load.Share
		inputPower += load.Share * load.Share
	}
	residual := slowdown - predicted
	inputPower = max(inputPower, fullWeightShare*fullWeightShare)
	for i, load := range loads {
		p := updated[i]
		sampleWeight := load.Share * load.Share / inputPower
		p.weight = min(p.weight+sampleWeight, maxWeight)
		p.lastSample = now
		step := 1 / max(p.weight, 1)
		p.coefficient = min(max(p.coefficient+step*residual*load.Share/inputPower, 0), maxCoefficient)
		if p.weight > 0 {
			// Weighted like the samples, so that the small shares of throttled batch tasks don't pull down the mean.
			p.meanShare += sampleWeight / p.weight * (load.Share - p.meanShare)
		}
		m.updateStatus(p, m.slowdownLimit(service), now)
	}
}

// ensurePair returns the pair with its weight decayed up to now, and adds the pair if it is missing.
func (m *Model) ensurePair(key pairKey, now time.Time) *pair {
	if p := m.pairs[key]; p != nil {
		m.decay(p, now)
		return p
	}
	if len(m.pairs) >= MaxPairs {
		m.dropLowestWeight()
	}
	p := &pair{decayedAt: now}
	m.pairs[key] = p
	return p
}

func (m *Model) decay(p *pair, now time.Time) {
	if age := now.Sub(p.decayedAt); age > 0 {
		p.weight *= math.Exp2(-float64(age) / float64(m.config.HalfLife))
		p.decayedAt = now
	}
}

// updateStatus sets whether a pair is known and blocked, given the slowdown limit of its service.
func (m *Model) updateStatus(p *pair, limit float64, now time.Time) {
	allowed := limit - 1
	slowdown := p.coefficient * min(p.meanShare, fullWeightShare)
	if p.weight >= m.config.MinSamples {
		p.known = true
	}
	switch {
	case p.blocked:
		if slowdown < releaseFraction*allowed && p.known {
			p.blocked, p.backoffLevel = false, max(p.backoffLevel-1, 0)
		}
	case p.known && slowdown > allowed, p.weight >= earlyBlockSamples && slowdown > earlyBlockFactor*allowed:
		p.blocked, p.known = true, true
		p.blockedUntil = now.Add(m.config.BlockDuration << p.backoffLevel)
		p.backoffLevel = min(p.backoffLevel+1, maxBackoffLevel)
	case p.known && slowdown < releaseFraction*allowed && p.weight >= 2*m.config.MinSamples:
		p.backoffLevel = 0
	}
}

// Advance applies the passage of time: weights decay, and pairs whose block has expired become unknown, so that they are
// explored with a few tasks. It is called about once a second, between scheduling cycles.
func (m *Model) Advance(now time.Time) {
	m.lastAdvance = now
	for key, p := range m.pairs {
		m.decay(p, now)
		switch {
		case p.blocked && !now.Before(p.blockedUntil):
			p.blocked, p.known, p.weight, p.coefficient = false, false, 0, 0
		case p.blocked:
		case p.known && p.weight < m.config.MinSamples/2:
			p.known = false
		case p.weight < minRetainedWeight && now.Sub(p.blockedUntil) > m.config.BlockDuration<<maxBackoffLevel:
			delete(m.pairs, key)
		}
	}
}

// Estimate returns the estimate for a pair as of the last Advance or Observe.
func (m *Model) Estimate(service, batch string) Estimate {
	p := m.pairs[pairKey{service, batch}]
	if p == nil {
		return Estimate{Slowdown: 1, Limit: m.slowdownLimit(service)}
	}
	return Estimate{
		Slowdown: 1 + p.coefficient, Limit: m.slowdownLimit(service), Known: p.known, Blocked: p.blocked,
		Stale: p.known && m.lastAdvance.Sub(p.lastSample) > staleAfter,
	}
}

// BaselineMillis returns the latency of a service class without batch load in milliseconds, or 0 if it is unknown.
func (m *Model) BaselineMillis(service string) float64 {
	if b := m.services[service]; b != nil && b.isolated {
		return b.millis
	}
	return 0
}

// Len returns the number of pairs.
func (m *Model) Len() int { return len(m.pairs) }

// dropLowestWeight removes the pair with the lowest weight. Blocked pairs are removed only if all pairs are blocked.
func (m *Model) dropLowestWeight() {
	var lowestKey pairKey
	var lowest *pair
	for key, p := range m.pairs {
		if lowest == nil || comparePairs(key, p, lowestKey, lowest) < 0 {
			lowestKey, lowest = key, p
		}
	}
	delete(m.pairs, lowestKey)
}

func comparePairs(aKey pairKey, a *pair, bKey pairKey, b *pair) int {
	if a.blocked != b.blocked {
		if b.blocked {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(aKey.service, bKey.service), cmp.Compare(aKey.batch, bKey.batch))
}
