// Package quarantine tells workers that fail every task apart from jobs that fail everywhere.
package quarantine

// Admission tells what a worker may start.
type Admission int

// The admissions of a worker.
const (
	// Open admits any task.
	Open Admission = iota
	// Probe admits one batch task that shows whether the worker is well again.
	Probe
	// Closed admits nothing.
	Closed
)
