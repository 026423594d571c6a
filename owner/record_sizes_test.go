package owner

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/kv/kvtest"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// changeOf returns the record of a job whose tasks all have a run and a checkpoint of a length.
func changeOf(job string, tasks, savedBytes int) engine.Change {
	r := workflow.JobRecord{Phase: workflow.Running}
	for i := range tasks {
		r.Tasks = append(r.Tasks, workflow.TaskRecord{
			Index: i, Phase: workflow.TaskAssigned, Run: 1, Life: "i-side-z2-105-1@1796667975818", Node: "side-z2-105", Saved: strings.Repeat("s", savedBytes),
		})
	}
	return engine.Change{Job: job, Record: r}
}

// recordOf returns the stored record of a job, or nil.
func recordOf(t *testing.T, client *kvtest.Client, job string) *workflow.JobRecord {
	item, found, _, err := client.Get(t.Context(), StatePrefix+job)
	qt.Assert(t, err, qt.IsNil)
	if !found {
		return nil
	}
	record, err := decodeRecord(item.Value)
	qt.Assert(t, err, qt.IsNil)
	return record
}

// Guards against an owner that repeats for ever a write that the store refuses, and stores nothing of other jobs (review/10: LOST): the record
// of a job with long checkpoints was longer than the longest value.
func TestRecordsWithLongCheckpointsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := kvtest.New().Client(1)
		term := acquire(t, client)
		b := &batch{changes: []engine.Change{changeOf("a", 1, 10), changeOf("b", workflow.MaxTasks, 4000), changeOf("c", 3, kv.DefaultMaxValueBytes/2)}}
		c.Assert(term.commit(t.Context(), b), qt.IsNil)
		c.Assert(recordOf(t, client, "a").Tasks[0].Saved, qt.HasLen, 10)
		c.Assert(recordOf(t, client, "b").Tasks, qt.HasLen, workflow.MaxTasks)
		kept := 0
		for _, task := range recordOf(t, client, "c").Tasks {
			kept += len(task.Saved)
		}
		c.Assert(kept, qt.Equals, kv.DefaultMaxValueBytes/2)
	})
}

// Guards against the same with a record that can't be shortened: the records of other jobs are stored, and the term ends.
func TestRefusedRecordDoesNotKeepOthersFromBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := kvtest.New().Client(1)
		term := acquire(t, client)
		refused := changeOf("b", 1, kv.DefaultMaxValueBytes)
		puts := []kv.Put{
			{Key: StatePrefix + "a", Value: []byte(`{"phase":"running"}`)},
			{Key: StatePrefix + "b", Value: refused.Record.Encode()},
			{Key: StatePrefix + "c", Value: []byte(`{"phase":"running"}`)},
		}
		err := term.writePuts(t.Context(), puts)
		c.Assert(errors.Is(err, errWriteRefused), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(recordOf(t, client, "a"), qt.IsNotNil)
		c.Assert(recordOf(t, client, "b"), qt.IsNil)
		c.Assert(recordOf(t, client, "c"), qt.IsNotNil)
	})
}

// Guards against transactions that take most of the memory of a host: each of many records is nearly as long as the longest value.
func TestTransactionsOfLongRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		client := store.Client(1)
		term := acquire(t, client)
		var b batch
		for _, job := range strings.Split("abcdefgh", "") {
			b.changes = append(b.changes, changeOf(job, 10, kv.DefaultMaxValueBytes/16))
		}
		before := store.Revision()
		qt.Assert(t, term.commit(t.Context(), &b), qt.IsNil)
		qt.Assert(t, store.Revision()-before, qt.Equals, int64(8))
	})
}
