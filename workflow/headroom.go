package workflow

// Headroom losses, by a best-effort image at full use of an executor. Headroom is the latency target of a serving task divided
// by its latency. The owner places tasks by them, and nodes pace tasks by them.
const (
	// DefaultHeadroomLoss is assumed of an image until its loss is known.
	DefaultHeadroomLoss = 4.0
	// LightHeadroomLoss is the loss below which an image counts as light: it is preferably placed beside serving tasks, so that
	// other executors are left to heavier images, and it keeps its pace there. Samples that show starts and ends put the light images at 1 to 2.
	LightHeadroomLoss = 2.0
)
