package forward

import (
	"context"
	"net/http"
)

// Memory bounds the bytes of responses. It is safe for concurrent use.
type Memory interface {
	// Hold waits until n bytes fit, or returns an error when ctx has ended.
	Hold(ctx context.Context, n int64) error
	// Return gives back n bytes of a response that is of no use.
	Return(n int64)
}

type memoryKey struct{}

// WithMemory returns a context under which each response is read only once memory has room for it. The connection waits
// meanwhile, and the agent with it. The holder of the memory gives back what the final response takes.
func WithMemory(ctx context.Context, memory Memory) context.Context {
	return context.WithValue(ctx, memoryKey{}, memory)
}

// memoryFromContext returns the memory of a context, or nil.
func memoryFromContext(ctx context.Context) Memory {
	memory, _ := ctx.Value(memoryKey{}).(Memory)
	return memory
}

// memoryReservation is what one exchange holds.
type memoryReservation struct {
	ctx    context.Context
	memory Memory
	held   int64
}

// reserve holds the bytes of a response.
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

// release returns the bytes of a response that failed.
func (r *memoryReservation) release() {
	if r.held > 0 {
		r.memory.Return(r.held)
		r.held = 0
	}
}

// noMemoryLimit takes any response.
func noMemoryLimit(int64) error { return nil }

// headerBytes returns the length of all names and values.
func headerBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
