package workflow_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	jsonv2 "github.com/go-json-experiment/json"
	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a record that a new owner decodes differently from what its predecessor encoded.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 5000)
		text := rapid.OneOf(rapid.Just(""), rapid.String(), rapid.Just(`i-"\\@17`))
		task := rapid.Custom(func(t *rapid.T) workflow.TaskRecord {
			crashed := rapid.IntRange(0, 1).Draw(t, "crashed")
			return workflow.TaskRecord{
				Occurrence: number.Draw(t, "occurrence"), Step: number.Draw(t, "step"), Index: number.Draw(t, "index"),
				Phase: workflow.TaskPhase(rapid.IntRange(0, 2).Draw(t, "phase")), Run: number.Draw(t, "run"),
				Life: text.Draw(t, "life"), Node: text.Draw(t, "node"), Failures: number.Draw(t, "failures"), Saved: text.Draw(t, "saved"),
				Crashes: crashed * rapid.IntRange(1, 9).Draw(t, "crashes"), Suspicions: crashed * rapid.IntRange(0, 9).Draw(t, "suspicions"),
				Reassigned: rapid.Bool().Draw(t, "reassigned"), FailedRun: rapid.IntRange(0, 3).Draw(t, "failed run"),
			}
		})
		record := workflow.JobRecord{
			Phase: workflow.Running, Begun: rapid.Bool().Draw(t, "begun"), EndedUnixMillis: int64(number.Draw(t, "ended")),
		}
		if tasks := rapid.SliceOfN(task, 0, 5).Draw(t, "tasks"); len(tasks) > 0 {
			record.Tasks = tasks
		}
		written := record.Encode()
		var read workflow.JobRecord
		if err := json.Unmarshal(written, &read); err != nil {
			t.Fatalf("%s: %v", written, err)
		}
		if !reflect.DeepEqual(read, record) {
			t.Fatalf("%s read as %+v, want %+v", written, read, record)
		}
	})
}

// Guards against an owner that can't read the records of an earlier version, or accepts a truncated row.
func TestRecordsOfEarlierVersions(t *testing.T) {
	c := qt.New(t)
	var read workflow.JobRecord
	full := `{"phase":"running","tasks":[[0,1,2,1,3,4,"life","saved","node"]]}`
	c.Assert(json.Unmarshal([]byte(full), &read), qt.IsNil)
	c.Assert(read.Tasks, qt.DeepEquals, []workflow.TaskRecord{
		{Step: 1, Index: 2, Phase: workflow.TaskAssigned, Run: 3, Failures: 4, Life: "life", Saved: "saved", Node: "node"},
	})
	c.Assert(json.Unmarshal([]byte(`{"phase":"running","tasks":[[0,1,2,1,3,4,"life","saved","node",5,6,1]]}`), &read), qt.IsNil)
	c.Assert(read.Tasks, qt.DeepEquals, []workflow.TaskRecord{
		{Step: 1, Index: 2, Phase: workflow.TaskAssigned, Run: 3, Failures: 4, Life: "life", Saved: "saved", Node: "node", Crashes: 5, Suspicions: 6, Reassigned: true},
	})
	c.Assert(json.Unmarshal([]byte(`{"phase":"running","tasks":[[0,1,2,1]]}`), &read), qt.ErrorMatches, "(?s).*4 cells, 5 to 13 expected.*")
}

// Guards against an owner that can't read the records of a later version, whose rows have more cells, and runs their tasks again.
func TestRecordsOfLaterVersions(t *testing.T) {
	c := qt.New(t)
	var read workflow.JobRecord
	later := `{"phase":"running","tasks":[[0,1,2,1,3,4,"life","saved","node",5,6,1,7,"more",[7],{"x":8}]],"more":{}}`
	c.Assert(json.Unmarshal([]byte(later), &read), qt.IsNil)
	c.Assert(read.Tasks, qt.DeepEquals, []workflow.TaskRecord{
		{Step: 1, Index: 2, Phase: workflow.TaskAssigned, Run: 3, Failures: 4, Life: "life", Saved: "saved", Node: "node", Crashes: 5, Suspicions: 6, Reassigned: true, FailedRun: 7},
	})
}

// Guards against reports that the owner decodes differently from what the node encoded, and against accepting rows that
// are truncated or have wrong types. Both JSON decoders must reject those.
func TestReportRowDecoding(t *testing.T) {
	c := qt.New(t)
	report := workflow.Report{
		Node: "n", Running: []workflow.RunState{{Task: "t\u00fc\"", Run: 2, Saved: "s", Percent: 41.5, Usage: 800}, {Task: "u", Run: 1}},
		Ended: []workflow.RunEnd{{Number: 7, Task: "t", Run: 1, How: workflow.EndDone, Saved: "\x01"}},
	}
	data, err := json.Marshal(&report)
	c.Assert(err, qt.IsNil)
	var read, readV2 workflow.Report
	c.Assert(json.Unmarshal(data, &read), qt.IsNil)
	c.Assert(jsonv2.Unmarshal(data, &readV2), qt.IsNil)
	c.Assert(read, qt.DeepEquals, report)
	c.Assert(readV2, qt.DeepEquals, report)
	for _, row := range []string{`null`, `{}`, `"x"`, `["t",1,"",0]`, `["t","1","",0,0]`, `["t",1,null,0,0]`, `["t",1,"",0,0,0]`, `["t",1,"",[],0]`, `["t",1,""`} {
		c.Assert(json.Unmarshal([]byte(`{"running":[`+row+`]}`), &read), qt.IsNotNil, qt.Commentf(row))
		c.Assert(jsonv2.Unmarshal([]byte(`{"running":[`+row+`]}`), &readV2), qt.IsNotNil, qt.Commentf(row))
	}
}

// Guards against a record that is longer than the store takes, and against one that lacks more checkpoints than necessary.
func TestEncodeWithinDropsLongestCheckpoints(t *testing.T) {
	c := qt.New(t)
	r := workflow.JobRecord{Phase: workflow.Running}
	for i, length := range []int{10, 500, 0, 90, 400} {
		r.Tasks = append(r.Tasks, workflow.TaskRecord{Index: i, Phase: workflow.TaskWaiting, Run: 1, Saved: strings.Repeat("x", length)})
	}
	for _, test := range []struct{ maxBytes, dropped int }{{2000, 0}, {700, 1}, {300, 2}, {0, 4}} {
		encoded, dropped := r.EncodeWithin(test.maxBytes)
		c.Check(dropped, qt.Equals, test.dropped)
		c.Check(len(encoded) <= test.maxBytes || dropped == 4, qt.IsTrue)
		var decoded workflow.JobRecord
		c.Assert(json.Unmarshal(encoded, &decoded), qt.IsNil)
		c.Check(decoded.Tasks, qt.HasLen, len(r.Tasks))
	}
	c.Check(r.Tasks[1].Saved, qt.HasLen, 500)
}
