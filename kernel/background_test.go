package kernel

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBackgroundStopEndsAndAwaitsAllGoroutines(t *testing.T) {
	c := qt.New(t)
	var b Background
	ctx := b.Start(t.Context())
	var ended atomic.Int32
	b.Go(func() {
		b.Go(func() {
			<-ctx.Done()
			ended.Add(1)
		})
		<-ctx.Done()
		ended.Add(1)
	})
	c.Assert(ctx.Err(), qt.IsNil)
	b.Stop()
	c.Assert(ended.Load(), qt.Equals, int32(2))
}

func TestBackgroundEndsWithTheContextOfStart(t *testing.T) {
	c := qt.New(t)
	parent, cancel := context.WithCancel(t.Context())
	var b Background
	ctx := b.Start(parent)
	cancel()
	c.Assert(ctx.Err(), qt.ErrorIs, context.Canceled)
	b.Stop()
}

func TestBackgroundStopWithoutStart(*testing.T) {
	var b Background
	b.Stop()
}
