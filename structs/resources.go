// Package structs holds the types that the processes share and exchange as JSON.
package structs

// Resources is an amount of what a worker holds.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli_cores"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the amount without o; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits tells whether the amount is at most the given capacity in every field.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// IsZero tells whether every field is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Worker is a host that runs tasks, as the inventory describes it.
type Worker struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	// Address is the IP address and port of the agent on this worker.
	Address string `json:"address"`
	// TaskAddress is the IP address and port of the platform's task API on this worker.
	TaskAddress     string    `json:"task_address,omitempty"`
	Capacity        Resources `json:"capacity"`
	AcceleratorKind string    `json:"accelerator_kind,omitempty"`
}
