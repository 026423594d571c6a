// Package quarantine tells workers that fail every task apart from jobs that fail everywhere.
package quarantine

// Admission tells what a worker may start.
type Admission int

// The admissions of a worker.
const (
	// AdmitAll admits any task.
	AdmitAll Admission = iota
	// AdmitProbe admits one batch task that shows whether the worker is well again.
	AdmitProbe
	// AdmitNone admits nothing.
	AdmitNone
)
