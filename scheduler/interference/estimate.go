// Package interference estimates how much each batch class slows down each service class when both run on one worker.
package interference

// Estimate is the estimated effect of a batch class on a service class on the same worker.
type Estimate struct {
	// Slowdown is the factor by which the service's latency rises on a worker fully loaded with the batch class, at least 1.
	Slowdown float64
	// Limit is the slowdown that the service tolerates from all batch classes on the worker together.
	Limit float64
	// Known is false until there are enough samples. Unknown pairs are explored with a few tasks.
	Known bool
	// Stale is set when a known pair has had no samples for a while, so that a few tasks may be placed to check it again.
	Stale bool
	// Blocked is set when the slowdown exceeds the limit, and cleared when it is well below the limit or the block expires.
	Blocked bool
}
