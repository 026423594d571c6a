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

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// newTerm returns a term with a fresh lease that is not renewed.
func newTerm(t *testing.T, network *rpctest.Network) *term {
	term, _ := newTermOn(t, network)
	return term
}

// newTermOn does the same and returns the clocks of the owner's host.
func newTermOn(t *testing.T, network *rpctest.Network) (*term, *clocktest.Host) {
	host := clocktest.NewHost()
	boot := clock.NewBoot(host)
	lease, err := ownership.Acquire(t.Context(), kvtest.New().Client(1), workflow.OwnerRecord{Node: "n"}, boot, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	return &term{
		lease: lease, clock: boot, log: hclog.NewNullLogger(), metrics: newMetrics(tally.NoopScope), events: make(chan event, eventQueueSize),
		maxValueBytes: kv.DefaultMaxValueBytes,
		rpc:           rpc.NewClientWithTransport(network.Transport("owner")),
		engine:        engine.New(engine.Settings{LeaseDuration: ExecutorLeaseDuration, LeaseExpiry: executorLeaseExpiry, RemoteSlowdown: 1.5, Retention: defaultRetention}, boot.Now()),
	}, host
}

// Guards against an owner that is paused between planning and delivery and sends starts after its lease has expired, when
// another owner may have started the same tasks.
func TestStartsAreNotSentAfterLeaseExpiry(t *testing.T) {
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
				Starts: []workflow.StartOrder{{Run: 1}}, LeaseMillis: ExecutorLeaseDuration.Milliseconds(),
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
		c.Assert(received[1].LeaseMillis, qt.Equals, int64(0))
	})
}

// Guards against an invalid job or record in the store that crashes each owner that reads it, so that no owner is left.
func TestMalformedJobsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term := newTerm(t, rpctest.New())
		const id = "00000000000000aa"
		for _, value := range []string{
			"", "null", "[]", `{"id":"` + id + `"}`, `{"id":"` + id + `","steps":[]}`, `{"id":"` + id + `","steps":[{"count":1,"after":[7]}]}`,
			`{"id":"` + id + `","steps":[{"count":-1}]}`, `{"id":"` + id + `","steps":"none"}`, `{"id":"other","steps":[{"count":1}]}`,
			`{"id":"` + id + `","occurrences":1000000000,"steps":[{"count":1}]}`,
			`{"id":"` + id + `","steps":[{"count":2,"per_executor":-1}]}`, `{"id":"` + id + `","steps":[{"count":2,"per_executor":1.5}]}`,
			`{"id":"` + id + `","steps":[{"count":2,"per_executor":"1"}]}`, `{"id":"` + id + `","steps":[{"count":2,"label":5}]}`,
		} {
			term.applyInput(kv.Item{Key: JobPrefix + id, Value: []byte(value)}, nil, true)
			_, known := term.engine.Phase(id)
			c.Assert(known, qt.IsFalse, qt.Commentf("%s", value))
		}
		term.applyInput(kv.Item{Key: JobPrefix + id, Value: []byte(`{"id":"` + id + `","steps":[{"count":1}]}`)}, map[string]*workflow.JobRecord{
			id: {Phase: "unheard of", Tasks: []workflow.TaskRecord{{Step: 5, Index: 9, Phase: 1}, {Phase: 9, Run: -1}}},
		}, false)
		_, known := term.engine.Phase(id)
		c.Assert(known, qt.IsTrue)
		term.engine.Plan(term.clock.Now(), time.Now())
	})
}

// Guards against a panic in the owner's loop that ends the whole process, including the node that runs in it.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := newTerm(t, rpctest.New())
		err := term.recoverPanic(func() error { panic("out of range") })
		qt.Assert(t, errors.Is(err, errTermPanicked), qt.IsTrue)
	})
}

// Guards against jobs that are treated as late and are placed after others because the wall clock of the owner's host is ahead
// of the gateway's.
func TestAgeOfNewJobsIgnoresClockSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		term := newTerm(t, rpctest.New())
		accepted := time.Now().Add(-8 * time.Second).UnixMilli()
		add := func(id string, live bool) {
			value := fmt.Sprintf(`{"id":%q,"steps":[{"count":1,"estimate_ms":800}],"accepted_unix_ms":%d}`, id, accepted)
			term.applyInput(kv.Item{Key: JobPrefix + id, Value: []byte(value)}, nil, live)
		}
		add("00000000000000aa", true)
		add("00000000000000bb", false)
		live, _ := term.engine.Age("00000000000000aa", term.clock.Now())
		loaded, _ := term.engine.Age("00000000000000bb", term.clock.Now())
		c.Assert(live, qt.Equals, time.Duration(0))
		c.Assert(loaded, qt.Equals, 8*time.Second)
	})
}
