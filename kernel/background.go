package kernel

import (
	"context"
	"sync"
)

// Background runs the goroutines of a module between its Start and its Stop. The zero value has none.
type Background struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start returns the context for the goroutines. It ends with ctx or with Stop.
func (b *Background) Start(ctx context.Context) context.Context {
	ctx, b.cancel = context.WithCancel(ctx)
	return ctx
}

// Go runs f in a goroutine, for which Stop waits. Once Stop may have been called, only these goroutines may call Go.
func (b *Background) Go(f func()) { b.running.Go(f) }

// Stop ends the context and waits until all goroutines have returned. Without a Start it does nothing.
func (b *Background) Stop() {
	if b.cancel != nil {
		b.cancel()
	}
	b.running.Wait()
}
