package forward

import (
	"context"
	"net/http"
)

// Memory limits the memory that responses take. It is safe for concurrent use.
type Memory interface {
	// Hold reserves n bytes. It waits until they are available and returns an error if ctx ends first.
	Hold(ctx context.Context, n int64) error
	// Return releases n bytes of a response that was discarded.
	Return(n int64)
}

type memoryKey struct{}

// WithMemory returns a context under which a response body is read only after its memory was reserved. Until then the
// connection isn't read, which blocks the agent's write. The caller releases the memory of the final response.
func WithMemory(ctx context.Context, memory Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, memory)
}

// memoryFromContext returns the Memory of a context, or nil.
func memoryFromContext(ctx context.Context) Memory {
	memory, _ := ctx.Value(memoryKey{}).(Memory)
	return memory
}

// memoryReservation is the memory that an exchange has reserved.
type memoryReservation struct {
	ctx    context.Context
	memory Memory
	held   int64
}

// reserve reserves memory for a response of n bytes.
func (r *memoryReservation) reserve(n int64) error {
	if r.memory == nil {
		return nil
	}
	if err := r.memory.Hold(r.ctx, n); err != nil {
		return err
	}
	r.held += n
	return nil
}

// release releases the memory of a failed exchange.
func (r *memoryReservation) release() {
	if r.held > 0 {
		r.memory.Return(r.held)
		r.held = 0
	}
}

// noMemoryLimit is a reserve function that accepts any response.
func noMemoryLimit(int64) error { return nil }

// headerBytes returns the total length of all header names and values.
func headerBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
