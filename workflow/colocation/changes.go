package colocation

import "math"

const (
	// minChange and minRelativeChange are by how much a loss must differ from the one last reported to be reported again. Estimates
	// of a loss that stays the same vary by less most of the time.
	minChange         = 1.0
	minRelativeChange = 0.4
	// maxChanges limits the changes between two calls of TakeChanges. Further ones are left out until the next sample of their pair.
	maxChanges = 16
)

// Change is a loss that has become known, or that has changed by much.
type Change struct {
	Serving, BestEffort string
	Estimate
	// Former is the loss last reported, or the prior.
	Former float64
}

// TakeChanges returns the changes since the last call, in the order of the samples.
func (m *Model) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// recordChange records the loss of a pair if it is known and differs from the reported one.
func (m *Model) recordChange(key pairKey, p *pair) {
	if len(m.changes) >= maxChanges || p.variance >= knownDeviation*knownDeviation {
		return
	}
	if p.reported && math.Abs(p.loss-p.reportedLoss) < max(minChange, minRelativeChange*p.reportedLoss) {
		return
	}
	former := PriorLoss
	if p.reported {
		former = p.reportedLoss
	}
	m.changes = append(m.changes, Change{Serving: key.serving, BestEffort: key.bestEffort, Estimate: p.estimate(), Former: former})
	p.reported, p.reportedLoss = true, p.loss
}
