package kernel

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
)

// Guards against leases and ages that don't advance while the host is suspended: modules measure them by the clock of the context.
func TestClockOfModulesCountsSuspensions(t *testing.T) {
	c := qt.New(t)
	registerRecorders(t, map[string][]string{"a": nil}, nil)
	p, err := LoadProcess(testRole, writeSettings(t, validProcessSettings))
	c.Assert(err, qt.IsNil)
	host := clocktest.NewHost()
	p.host = host
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(p.Run(ctx), qt.IsNil)
	before := p.context.Clock.Now()
	host.Suspend()
	time.Sleep(50 * time.Millisecond)
	host.Resume()
	c.Assert(p.context.Clock.Now().Sub(before) >= 50*time.Millisecond, qt.IsTrue)
}
