package owner

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a write that the store applies seconds later, after a newer record was written, and that overwrites it.
func TestDelayedWriteIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := kvtest.New()
		client := store.Client(1)
		lease, err := ownership.Acquire(t.Context(), client, workflow.OwnerRecord{Node: "n"}, clock.NewBoot(clocktest.NewHost()), hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		term := &term{lease: lease, store: client, log: hclog.NewNullLogger(), commitRevision: lease.CommitRevision}
		put := func(value string) {
			c.Assert(term.write(t.Context(), kv.Transaction{Puts: []kv.Put{{Key: "record", Value: []byte(value)}}}), qt.IsNil)
		}
		client.SetFaults(kvtest.Faults{ResponseLoss: 1, CommitDelay: 4 * time.Second})
		time.AfterFunc(time.Second, func() { client.SetFaults(kvtest.Faults{}) })
		put("older")
		put("newer")
		time.Sleep(10 * time.Second)
		item, _, _, err := client.Get(t.Context(), "record")
		c.Assert(err, qt.IsNil)
		c.Assert(string(item.Value), qt.Equals, "newer")
	})
}
