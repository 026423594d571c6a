package kv_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
)

// Guards against sending requests with an unknown result to a store that is failing, and against a store that counts as
// unhealthy after a single failed call.
func TestMonitorDetectsConsecutiveFailures(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := kvtest.New().Client(1)
	m := kv.NewMonitor(client)
	get := func() { _, _, _, _ = m.Get(ctx, "key") }
	client.SetFaults(kvtest.Faults{Unavailable: true})
	get()
	c.Assert(m.Healthy(), qt.IsTrue)
	get()
	c.Assert(m.Healthy(), qt.IsFalse)
	client.SetFaults(kvtest.Faults{})
	get()
	c.Assert(m.Healthy(), qt.IsTrue)
}
