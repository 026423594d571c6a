package workflow

import "time"

// MinStartLease is the minimum time that must be left of an executor's lease, as its node counts it, for a start. Nodes reject starts
// with less left, and owners order none.
const MinStartLease = time.Second

// MaxExecutorLeases limits the executors in an OwnerLeases.
const MaxExecutorLeases = 512

// OwnerLeases is what an owner leaves to its successor about the leases of executors. The times count from when it was stored.
type OwnerLeases struct {
	// Executors lists incarnations with runs.
	Executors []ExecutorLease `json:"executors,omitempty"`
	// OthersMillis is how long the lease of any other incarnation can last; 0 if the owner can still renew them.
	OthersMillis int64 `json:"others_ms,omitempty"`
}

// ExecutorLease limits the lease of an executor incarnation.
type ExecutorLease struct {
	Incarnation string `json:"incarnation"`
	// LeftMillis is the time after which no task of the incarnation can still be running.
	LeftMillis int64 `json:"left_ms"`
}
