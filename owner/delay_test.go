package owner

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// newTerm returns a term whose lease has just been taken and is not renewed.
func newTerm(t *testing.T, network *rpctest.Network) *term {
	tenure, err := ownership.Acquire(t.Context(), kvtest.New().Client(1), workflow.OwnerRecord{Node: "n"}, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	return &term{
		tenure: tenure, log: hclog.NewNullLogger(), metrics: newMetrics(tally.NoopScope), events: make(chan event, eventQueue),
		rpc:    rpc.NewClientOver(network.From("owner")),
		engine: engine.New(engine.Settings{LeaseDuration: Grant, LeaseExpiry: lapse, RemoteSlowdown: 1.5, Retention: retention}, time.Now()),
	}
}

// Guards against an owner that was paused between a decision and its delivery, and orders starts after its lease has ended:
// another owner may have started the same tasks.
func TestDelayedStartsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := rpctest.New()
		var received []workflow.Orders
		network.Handle("node", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var orders workflow.Orders
			if rpc.ReadJSON(w, r, 1<<20, &orders) {
				received = append(received, orders)
			}
			rpc.WriteJSON(w, http.StatusOK, workflow.OrdersReply{})
		}))
		term := newTerm(t, network)
		delivery := func() *engine.NodeOrders {
			return &engine.NodeOrders{Node: "node", Address: "node", Orders: workflow.Orders{
				Starts: []workflow.StartOrder{{Run: 1}}, GrantMillis: Grant.Milliseconds(),
			}}
		}
		term.deliver(delivery())
		c.Assert(received, qt.HasLen, 1)
		time.Sleep(ownership.LeaseTTL)
		term.deliver(delivery())
		c.Assert(received, qt.HasLen, 1)
		stop := delivery()
		stop.Orders.Stops = []workflow.StopOrder{{Run: 1}}
		term.deliver(stop)
		c.Assert(received, qt.HasLen, 2)
		c.Assert(received[1].Starts, qt.HasLen, 0)
		c.Assert(received[1].GrantMillis, qt.Equals, int64(0))
	})
}

// Guards against a stored job or record that ends each owner that reads it, one after the other, until nothing is served.
func TestMalformedJobsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term := newTerm(t, rpctest.New())
		const id = "00000000000000aa"
		for _, value := range []string{
			"", "null", "[]", `{"id":"` + id + `"}`, `{"id":"` + id + `","steps":[]}`, `{"id":"` + id + `","steps":[{"count":1,"after":[7]}]}`,
			`{"id":"` + id + `","steps":[{"count":-1}]}`, `{"id":"` + id + `","steps":"none"}`, `{"id":"other","steps":[{"count":1}]}`,
			`{"id":"` + id + `","occurrences":1000000000,"steps":[{"count":1}]}`,
		} {
			term.input(kv.Item{Key: JobPrefix + id, Value: []byte(value)}, nil, true)
			_, known := term.engine.Phase(id)
			c.Assert(known, qt.IsFalse, qt.Commentf("%s", value))
		}
		term.input(kv.Item{Key: JobPrefix + id, Value: []byte(`{"id":"` + id + `","steps":[{"count":1}]}`)}, map[string]*workflow.JobRecord{
			id: {Phase: "unheard of", Tasks: []workflow.TaskRecord{{Step: 5, Index: 9, Phase: 1}, {Phase: 9, Run: -1}}},
		}, false)
		_, known := term.engine.Phase(id)
		c.Assert(known, qt.IsTrue)
		term.engine.Plan(time.Now(), time.Now())
	})
}

// Guards against an unexpected error in the owner's state that ends the whole process, the node beside it included.
func TestPanicEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := newTerm(t, rpctest.New())
		err := term.guard(func() error { panic("out of range") })
		qt.Assert(t, errors.Is(err, errBroken), qt.IsTrue)
	})
}

// Guards against jobs that count as late, and wait behind others, because the time of day of the owner's host has jumped
// ahead of the entry's.
func TestAgeOfNewJobsNeedsNoTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term := newTerm(t, rpctest.New())
		accepted := time.Now().Add(-8 * time.Second).UnixMilli()
		add := func(id string, live bool) {
			value := fmt.Sprintf(`{"id":%q,"steps":[{"count":1,"estimate_ms":800}],"accepted_unix_ms":%d}`, id, accepted)
			term.input(kv.Item{Key: JobPrefix + id, Value: []byte(value)}, nil, live)
		}
		add("00000000000000aa", true)
		add("00000000000000bb", false)
		live, _ := term.engine.Age("00000000000000aa", time.Now())
		loaded, _ := term.engine.Age("00000000000000bb", time.Now())
		c.Assert(live, qt.Equals, time.Duration(0))
		c.Assert(loaded, qt.Equals, 8*time.Second)
	})
}
