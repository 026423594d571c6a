package store

import (
	"cmp"
	"errors"
	"slices"
	"sync"
)

// Result identifies the outcome of a call in metrics.
type Result string

// The results that don't correspond to an error code of the service. All other results are the value of a Code.
const (
	ResultOK      Result = "ok"
	ResultUnknown Result = "unknown_result"
)

// ResultOf returns the result for an error that a Store returned. Errors of other packages count as ResultUnknown.
func ResultOf(err error) Result {
	if err == nil {
		return ResultOK
	}
	if errors.Is(err, ErrUnknownResult) {
		return ResultUnknown
	}
	if _, reply, ok := EncodeError(err); ok {
		return Result(reply.Code)
	}
	return ResultUnknown
}

// Count is the number of calls of an operation with a given result.
type Count struct {
	Operation Operation
	Result    Result
	Calls     int64
}

// Counters counts calls by operation and result. The zero value is ready to use. It is safe for concurrent use.
type Counters struct {
	mu     sync.Mutex
	counts map[Operation]map[Result]int64
}

// Add counts one call.
func (c *Counters) Add(op Operation, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Operation]map[Result]int64{}
	}
	if c.counts[op] == nil {
		c.counts[op] = map[Result]int64{}
	}
	c.counts[op][result]++
}

// Snapshot returns all counts, sorted by operation and result.
func (c *Counters) Snapshot() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	var counts []Count
	for op, results := range c.counts {
		for result, calls := range results {
			counts = append(counts, Count{Operation: op, Result: result, Calls: calls})
		}
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Result, b.Result))
	})
	return counts
}

// Calls returns the number of calls of an operation.
func (c *Counters) Calls(op Operation) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var calls int64
	for _, n := range c.counts[op] {
		calls += n
	}
	return calls
}

// Reads returns the number of calls of read-only operations.
func (c *Counters) Reads() int64 { return c.total(false) }

// Writes returns the number of calls of operations that change the store.
func (c *Counters) Writes() int64 { return c.total(true) }

func (c *Counters) total(writes bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var calls int64
	for op, results := range c.counts {
		if op.IsWrite() != writes {
			continue
		}
		for _, n := range results {
			calls += n
		}
	}
	return calls
}
