package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// lateLists is a store whose lists of jobs arrive late, if that is set.
type lateLists struct {
	*kvtest.Client
	delay atomic.Int64
}

func (s *lateLists) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	items, revision, err := s.Client.List(ctx, prefix)
	if prefix == InputPrefix {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return items, revision, err
}

type noOperators struct{}

func (noOperators) Follow(context.Context, func(OperatorState)) {}

// Guards against a job that has ended and runs again: it was deleted after its retention, and a list of the jobs that was read
// before that, since the store had compacted its history, arrived after it.
func TestListFromBeforeDeletionAddsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const id = "00000000000000aa"
		store := kvtest.New()
		client := store.Client(1)
		term := acquire(t, client)
		late := &lateLists{Client: client}
		term.store, term.operators, term.loaded, term.acked = late, noOperators{}, make(chan struct{}), map[string]int64{}
		term.retention, term.deletedJobs = defaultRetention, deletedJobs{}
		record := workflow.JobRecord{Phase: workflow.Completed, EndedUnixMillis: time.Now().UnixMilli()}
		_, err := client.Commit(t.Context(), kv.Transaction{Puts: []kv.Put{
			{Key: JobPrefix + id, Value: []byte(`{"id":"` + id + `","steps":[{"count":1}]}`)}, {Key: StatePrefix + id, Value: record.Encode()},
		}})
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- term.run(ctx) }()
		time.Sleep(defaultRetention - time.Second)
		late.delay.Store(int64(3 * collectInterval))
		_, err = client.Commit(t.Context(), kv.Transaction{Puts: []kv.Put{{Key: "other"}}})
		c.Assert(err, qt.IsNil)
		store.Compact()
		time.Sleep(5 * collectInterval)
		_, stored, _, err := client.Get(t.Context(), JobPrefix+id)
		c.Assert(err, qt.IsNil)
		c.Assert(stored, qt.IsFalse)
		known := true
		c.Assert(term.query(t.Context(), func() { _, known = term.engine.Phase(id) }), qt.IsTrue)
		c.Check(known, qt.IsFalse)
		cancel()
		c.Assert(<-ended, qt.ErrorIs, errTermEnded)
	})
}
