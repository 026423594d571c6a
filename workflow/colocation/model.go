package colocation

import (
	"cmp"
	"math"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
)

const (
	// PriorLoss and priorDeviation describe the loss of a pair of images without samples. Most pairs lose 1 to 9.
	PriorLoss      = workflow.DefaultHeadroomLoss
	priorDeviation = 3.5
	// knownDeviation is the standard deviation of an estimate below which a pair counts as known: samples have then halved the
	// variance of the prior.
	knownDeviation = 2.5
	// sampleDeviation is the standard deviation of a measured headroom.
	sampleDeviation = 0.35
	// lossDeviation is the standard deviation of a loss from one second to the next, as a fraction of its mean, which is 0.3
	// to 1.2 by pair.
	lossDeviation = 0.6
	// driftPerSecond is by how much the variance of an estimate grows in a second without samples.
	driftPerSecond = 0.05
	// maxPairs limits the pairs. Clients choose the names of images, so the table would grow without bound otherwise.
	maxPairs = 4096
)

// Estimate is the headroom that a best-effort image takes from a serving image at full use of an executor.
type Estimate struct {
	Loss, Deviation float64
	// Known is set once samples have made the estimate more precise than the prior.
	Known bool
}

// Observation is a sample of the headroom that a serving task lost beside best-effort tasks.
type Observation struct {
	// Serving is the image of the serving task, Shares are the CPU shares of the best-effort images beside it.
	Serving string
	Shares  []Share
	// Lost is the undisturbed headroom of the task less its measured headroom, and BaseVariance the variance of the former.
	Lost, BaseVariance float64
}

type pairKey struct{ serving, bestEffort string }

// pair is the estimate of a pair of images, of which variance is as of the last sample.
type pair struct {
	loss, variance float64
	sampledAt      time.Time
	// reportedLoss is the loss that TakeChanges last returned, if reported is set.
	reportedLoss float64
	reported     bool
}

// Model holds an estimate for each pair of images: a Kalman filter for each, with the error of a sample divided among the images
// of the executor by their uncertainty. It is not safe for concurrent use.
type Model struct {
	pairs map[pairKey]*pair
	// observed holds the pairs of the current observation. It is kept to avoid allocations.
	observed []*pair
	// changes holds the changes since the last call of TakeChanges.
	changes []Change
}

// NewModel returns a model without samples.
func NewModel() *Model { return &Model{pairs: map[pairKey]*pair{}} }

// Pairs returns the number of pairs with samples.
func (m *Model) Pairs() int { return len(m.pairs) }

// Observe adds a sample.
func (m *Model) Observe(o Observation, now time.Time) {
	m.observed = m.observed[:0]
	expected, variance := 0.0, sampleDeviation*sampleDeviation+o.BaseVariance
	for _, s := range o.Shares {
		p := m.sampledPair(pairKey{o.Serving, s.Image}, now)
		m.observed = append(m.observed, p)
		lost, uncertainty := p.lossAt(s.CPU)
		expected += lost
		variance += uncertainty
	}
	for i, s := range o.Shares {
		m.observed[i].correct(s.CPU, o.Lost-expected, variance)
		m.recordChange(pairKey{o.Serving, s.Image}, m.observed[i])
	}
}

// sampledPair returns the pair of a key with its uncertainty as of now. It adds the pair if there is none.
func (m *Model) sampledPair(key pairKey, now time.Time) *pair {
	p := m.pairs[key]
	if p != nil {
		p.drift(now)
		return p
	}
	if len(m.pairs) >= maxPairs {
		m.removeOldest()
	}
	p = &pair{loss: PriorLoss, variance: priorDeviation * priorDeviation, sampledAt: now}
	m.pairs[key] = p
	return p
}

// removeOldest removes the pair whose last sample is the oldest.
func (m *Model) removeOldest() {
	var oldest pairKey
	var at time.Time
	found := false
	for key, p := range m.pairs {
		if !found || p.sampledAt.Before(at) || p.sampledAt.Equal(at) && key.compare(oldest) < 0 {
			oldest, at, found = key, p.sampledAt, true
		}
	}
	delete(m.pairs, oldest)
}

func (k pairKey) compare(other pairKey) int {
	return cmp.Or(cmp.Compare(k.serving, other.serving), cmp.Compare(k.bestEffort, other.bestEffort))
}

// drift increases the uncertainty by the time since the last sample.
func (p *pair) drift(now time.Time) {
	if age := now.Sub(p.sampledAt).Seconds(); age > 0 {
		p.variance = min(p.variance+driftPerSecond*age, priorDeviation*priorDeviation)
		p.sampledAt = now
	}
}

// lossAt returns the expected loss by a CPU share, and its variance.
func (p *pair) lossAt(share float64) (lost, variance float64) {
	lost = p.loss * share
	noise := lossDeviation * lost
	return lost, p.variance*share*share + noise*noise
}

// correct moves the estimate by its part of the error of a sample with the given variance.
func (p *pair) correct(share, sampleError, variance float64) {
	gain := p.variance * share / variance
	p.loss = max(p.loss+gain*sampleError, 0)
	p.variance -= gain * share * p.variance
}

// Estimate returns what is known of a pair of images. Without samples, it is the prior.
func (m *Model) Estimate(serving, bestEffort string) Estimate {
	p := m.pairs[pairKey{serving, bestEffort}]
	if p == nil {
		return Estimate{Loss: PriorLoss, Deviation: priorDeviation}
	}
	return p.estimate()
}

func (p *pair) estimate() Estimate {
	deviation := math.Sqrt(p.variance)
	return Estimate{Loss: p.loss, Deviation: deviation, Known: deviation < knownDeviation}
}

// Expected returns the headroom that best-effort tasks with the given shares are expected to take from a serving image, and the
// variance of that.
func (m *Model) Expected(serving string, shares []Share) (lost, variance float64) {
	prior := pair{loss: PriorLoss, variance: priorDeviation * priorDeviation}
	for _, s := range shares {
		p := m.pairs[pairKey{serving, s.Image}]
		if p == nil {
			p = &prior
		}
		l, v := p.lossAt(s.CPU)
		lost += l
		variance += v
	}
	return lost, variance
}
