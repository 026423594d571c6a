package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Model learns from lagged latency measurements of services. For each service class it keeps the undisturbed latency,
// and for each batch class a coefficient: the relative slowdown by a worker full of that class. The slowdown of a
// sample is explained as the sum of coefficient times share over the classes on the worker, and its error is
// distributed over them (normalised least mean squares, regularised for small shares), so that a harmless class beside
// a noisy one isn't blamed for long. A model is not safe for concurrent use.
type Model struct {
	config   Config
	services map[string]*baseline
	pairs    map[pairKey]*pair
	workers  map[string]*loadHistory
	// lastAdvance is the time of the last Advance.
	lastAdvance time.Time
}

type pairKey struct{ service, batch string }

// baseline is the latency of a service class without batch beside it.
type baseline struct {
	// millis is 0 while no latency has been seen.
	millis float64
	// isolated is set once millis stems from undisturbed samples; until then it is the smallest latency seen.
	isolated bool
	// objectiveMillis is what the latency should stay below, 0 when there is none.
	objectiveMillis float64
}

type pair struct {
	coefficient float64
	// meanShare is the mean meanShare of the class when it was seen beside the service.
	meanShare float64
	weight    float64
	// lastSample is the time of the newest sample.
	lastSample time.Time
	// decayedAt is the time to which weight has decayed.
	decayedAt    time.Time
	known        bool
	blocked      bool
	blockedUntil time.Time
	backoffLevel int
}

// New returns a model that knows nothing.
func New(config Config) *Model {
	return &Model{
		config: config.withDefaults(), services: map[string]*baseline{}, pairs: map[pairKey]*pair{},
		workers: map[string]*loadHistory{},
	}
}

// SetLoads tells what batch runs on a worker from now on. Equal loads again change nothing. At most MaxLoads classes
// are kept.
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

// SetObjective tells what the tail latency of a service class should stay below, in milliseconds; 0 means that it has no
// objective.
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

// SetLimit changes Config.Limit; 0 means its default.
func (m *Model) SetLimit(limit float64) { m.config.Limit = cmp.Or(limit, DefaultLimit) }

// slowdownLimit returns the slowdown that a service class bears: the configured factor, or more if the undisturbed latency is
// far below the objective. A service that answers in a third of its objective loses nothing by a factor of two, while
// keeping batch away from it would leave most workers idle.
func (m *Model) slowdownLimit(service string) float64 {
	base := m.services[service]
	if base == nil || !base.isolated || base.millis <= 0 {
		return m.config.Limit
	}
	return max(m.config.Limit, m.config.ObjectiveFraction*base.objectiveMillis/base.millis)
}

// ForgetWorker drops the loads of a worker.
func (m *Model) ForgetWorker(worker string) { delete(m.workers, worker) }

// Observe learns from one latency measurement of a service on a worker, taken age ago. It tells whether the measurement
// was used: not when it's not a positive number, when the worker's loads at that time aren't known, or when they had
// changed shortly before.
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

// observe follows undisturbed samples with a mean, and until the first of them keeps the smallest latency.
func (b *baseline) observe(millis float64, isolated bool) {
	const step = 0.1
	switch {
	case isolated && !b.isolated:
		b.millis, b.isolated = millis, true
	case isolated:
		b.millis += step * (millis - b.millis)
	case millis < b.millis:
		// Disturbed samples below the mean are noise of the service itself. They only correct a guess.
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
			// The mean follows what the samples tell, so that throttled batch doesn't hide the usual share.
			p.meanShare += sampleWeight / p.weight * (load.Share - p.meanShare)
		}
		m.updateStatus(p, m.slowdownLimit(service), now)
	}
}

// ensurePair returns the ensurePair with its weight decayed to now, and adds it if needed.
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

// updateStatus sets whether a pair is known and blocked, given the slowdown that its service bears.
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

// Advance applies the time that has passed: knowledge without new samples fades, and pairs whose block has ended are
// unknown again, so that a few tasks explore them. It is called about once a second, between plans.
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

// Estimate returns what is known of a pair as of the last Advance or Observe.
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

// BaselineMillis returns the undisturbed latency of a service class, or 0 when it is unknown.
func (m *Model) BaselineMillis(service string) float64 {
	if b := m.services[service]; b != nil && b.isolated {
		return b.millis
	}
	return 0
}

// Len returns the number of pairs.
func (m *Model) Len() int { return len(m.pairs) }

// dropLowestWeight removes the pair with the least weight; pairs that aren't blocked go first.
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
