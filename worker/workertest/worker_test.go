package workertest_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

// Guards against differences between the HTTP client and the test worker's handler: every call, error and field must be
// transferred unchanged.
func TestClientOverHTTP(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	at := clock.NewManual(time.Unix(1_800_000_000, 0))
	w := workertest.New(at, structs.Resources{MilliCores: 4000, MemoryMB: 4000})
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	client := worker.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 5*time.Second)
	defer client.Close()

	spec := worker.TaskSpec{
		ID: "a:0:1", Resources: structs.Resources{MilliCores: 500}, Command: "run=8s", Lease: 20 * time.Second,
		Annotations: map[string]string{"k": "v"},
	}
	c.Assert(client.Start(ctx, spec), qt.IsNil)
	c.Assert(client.Start(ctx, spec), qt.ErrorIs, worker.ErrExists)
	at.Advance(4 * time.Second)
	c.Assert(client.Throttle(ctx, "a:0:1", 0.5), qt.IsNil)
	at.Advance(4 * time.Second)
	checkpoint, err := client.Checkpoint(ctx, "a:0:1")
	c.Assert(err, qt.IsNil)
	progress, err := workertest.CheckpointProgress(checkpoint)
	c.Assert(err, qt.IsNil)
	c.Assert(progress, qt.Equals, 0.75)
	statuses, err := client.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(statuses, qt.DeepEquals, []worker.TaskStatus{{
		ID: "a:0:1", Phase: worker.PhaseRunning, Used: structs.Resources{MilliCores: 250}, UsageAge: 3 * time.Second,
		Progress: 0.75, CheckpointID: checkpoint, Annotations: map[string]string{"k": "v"},
	}})
	c.Assert(client.Renew(ctx, "a:0:1", time.Second), qt.IsNil)
	at.Advance(time.Second)
	c.Assert(client.Renew(ctx, "a:0:1", time.Second), qt.ErrorIs, worker.ErrNotFound)
	c.Assert(client.Stop(ctx, "a:0:1"), qt.IsNil)
	c.Assert(client.Stop(ctx, "a:0:1"), qt.ErrorIs, worker.ErrNotFound)
	spec.Command = "run=soon"
	c.Assert(client.Start(ctx, spec), qt.ErrorIs, worker.ErrRejected)
	w.SetFaults(workertest.Faults{LoseResponses: 1})
	spec.Command = "run=10s"
	c.Assert(client.Start(ctx, spec), qt.ErrorIs, worker.ErrUnavailable)
	c.Assert(w.Running(), qt.HasLen, 1)
}
