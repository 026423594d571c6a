// Package interference learns how much each batch class slows each service class down when both run on one worker.
package interference

// Estimate is what is known of a service class beside a batch class.
type Estimate struct {
	// Slowdown is the factor by which a worker full of the batch class multiplies the service's latency, at least 1.
	Slowdown float64
	// Limit is the slowdown that the service bears, all batch classes beside it together.
	Limit float64
	// Known is false until enough samples have been seen. Unknown pairs are explored with few tasks.
	Known bool
	// Stale is set when a known pair has had no sample for a while, so that a few tasks may check it again.
	Stale bool
	// Blocked is set once the slowdown exceeds the limit, and cleared only well below it.
	Blocked bool
}
