package owner

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// parseRecords returns the records by job. The value is nil for a record that can't be read.
func (t *term) parseRecords(items []kv.Item) map[string]*workflow.JobRecord {
	records := make(map[string]*workflow.JobRecord, len(items))
	for _, item := range items {
		record, err := decodeRecord(item.Value)
		if err != nil {
			t.log.Error("job record can't be read, its job is held", "key", item.Key, "revision", item.Revision, "error", err)
		}
		records[strings.TrimPrefix(item.Key, StatePrefix)] = record
	}
	return records
}

// decodeRecord decodes and validates a record. It returns nil with an error.
func decodeRecord(value []byte) (*workflow.JobRecord, error) {
	record := &workflow.JobRecord{}
	if err := rpc.Decode(value, record); err != nil {
		return nil, err
	}
	if record.Phase != workflow.Pending && record.Phase != workflow.Running && !record.Phase.Final() {
		return nil, eris.Errorf("unknown phase %q", record.Phase)
	}
	for i := range record.Tasks {
		if phase := record.Tasks[i].Phase; phase < workflow.TaskWaiting || phase > workflow.TaskDone {
			return nil, eris.Errorf("unknown phase %d of a task", phase)
		}
	}
	return record, nil
}
