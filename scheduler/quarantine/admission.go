// Package quarantine attributes task failures to faulty workers or faulty jobs, and keeps tasks away from faulty workers.
package quarantine

// Admission states which tasks a worker may start.
type Admission int

// Values of Admission.
const (
	// AdmitAll admits any task.
	AdmitAll Admission = iota
	// AdmitProbe admits one batch task that shows whether the worker has recovered.
	AdmitProbe
	// AdmitNone admits no task.
	AdmitNone
)
