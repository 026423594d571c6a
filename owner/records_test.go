package owner

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/rpc/rpctest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against tasks that run again because the record of their job can't be read: the job started from nothing.
func TestJobWithUnreadableRecordIsNotStarted(t *testing.T) {
	const id = "00000000000000aa"
	for _, record := range []string{
		"", "null", "[]", "{}", `{"phase":"unheard of"}`, `{"phase":"running","tasks":[[0,0,0,9,1]]}`, `{"phase":"running","tasks":[[0,0]]}`,
		`{"phase":"running","tasks":"none"}`, `{"phase":"running","tasks":[[0,0,0,1,1,0,"x@1"`,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			term := newTerm(t, rpctest.New())
			term.engine.Configure(&workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Pool: "pool"}}, Pools: []workflow.Pool{{Name: "pool"}}})
			term.engine.SetEvacuated(nil)
			records := term.parseRecords([]kv.Item{{Key: StatePrefix + id, Value: []byte(record)}})
			term.applyInput(kv.Item{Key: JobPrefix + id, Value: []byte(`{"id":"` + id + `","queue":{"name":"q","pool":"pool"},"steps":[{"count":1}]}`)}, records, false)
			phase, known := term.engine.Phase(id)
			c.Assert(known, qt.IsTrue, qt.Commentf("%s", record))
			c.Assert(phase, qt.Equals, workflow.Running, qt.Commentf("%s", record))
			term.engine.HandleReport(&workflow.Report{
				Node: "a", Address: "a", Incarnation: 1, Number: 1, Listed: true, Executor: &workflow.Executor{ID: "i-a", Pool: "pool", StartedUnixMillis: 1},
			}, time.Now(), time.Now())
			term.engine.Plan(time.Now(), time.Now())
			c.Assert(term.engine.TakeOrders(), qt.HasLen, 0, qt.Commentf("%s", record))
			term.engine.Cancel(id, time.Now(), time.Now())
			c.Assert(term.engine.TakeDirty(), qt.HasLen, 1, qt.Commentf("it can be cancelled"))
		})
	}
}
