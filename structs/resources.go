// Package structs defines the types that the processes exchange as JSON.
package structs

// Resources is an amount of each resource of a worker.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli_cores"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of r and o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether no field of r exceeds the given capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether all fields are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Worker is a host that runs tasks, as described by the inventory.
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
