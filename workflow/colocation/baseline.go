package colocation

// headroomVariance is the variance of a task's undisturbed headroom around that of the other tasks of its group, which share its
// load: a standard deviation of 0.3.
const headroomVariance = 0.09

// Baseline estimates the headroom that a serving task would have without best-effort tasks from that of the other tasks of its
// group, which share its load. The zero value has no tasks.
type Baseline struct {
	sum, weights float64
}

// Add adds the headroom of another task, corrected by what best-effort tasks are expected to take from it. The weight is the
// inverse of its variance, so that tasks which nothing disturbs count most.
func (b *Baseline) Add(headroom, lost, lostVariance float64) {
	weight := 1 / (headroomVariance + lostVariance)
	b.sum += weight * (headroom + lost)
	b.weights += weight
}

// Headroom returns the estimate and its variance. ok is false if no task was added.
func (b *Baseline) Headroom() (headroom, variance float64, ok bool) {
	if b.weights == 0 {
		return 0, 0, false
	}
	return b.sum / b.weights, 1 / b.weights, true
}
