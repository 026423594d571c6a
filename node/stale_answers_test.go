package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/logging/loggingtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// Guards against a lease from a hold call for a former incarnation that the log doesn't tell, or tells of a call without a deadline.
func TestStaleAnswerTellsLease(t *testing.T) {
	for _, test := range []struct {
		name                      string
		responds, deadline, clock int64
		renewed                   bool
		fields                    map[string]any
	}{
		{"deadline above the clock", 2000, 5_103_937, 2_983_869, true, map[string]any{"deadline_ms": 5103937.0, "lease_ms": 2120068.0, "ack": 4.0}},
		{"deadline below the clock", 2000, 500, 2_983_869, true, map[string]any{"deadline_ms": 500.0, "lease_ms": 0.0}},
		{"copy without the deadline", 2000, 5_103_937, 2_983_869, false, map[string]any{"deadline_ms": 0.0, "lease_ms": 0.0}},
		{"answered by the incarnation that was called", 1000, 5_103_937, 2_983_869, true, nil},
		{"incarnation not named", 0, 5_103_937, 2_983_869, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newNode()
			log, lines := loggingtest.New(t, "node")
			n.log = log
			scope := tally.NewTestScope("", nil)
			n.metrics.staleAnswers = scope.Counter("node_stale_answers")
			lists := &RunLists{StartedUnixMillis: test.responds, ClockMillis: test.clock}
			n.noteStaleAnswer(&holdCall{incarnation: testIncarnation, deadline: test.deadline}, &holdAnswer{lists, test.renewed, 4})
			read := lines()
			counted := scope.Snapshot().Counters()["node_stale_answers+"].Value()
			c.Assert(counted, qt.Equals, int64(len(read)))
			if test.fields == nil {
				c.Assert(read, qt.HasLen, 0)
				return
			}
			c.Assert(read, qt.HasLen, 1)
			c.Assert(read[0]["@message"], qt.Equals, "another incarnation of the executor responds")
			c.Assert(read[0]["executor"], qt.Equals, testIncarnation)
			c.Assert(read[0]["responding"], qt.Equals, "i-1@2000")
			c.Assert(read[0]["clock_ms"], qt.Equals, float64(test.clock))
			for field, value := range test.fields {
				c.Assert(read[0][field], qt.Equals, value, qt.Commentf("field %s", field))
			}
		})
	}
}

// Guards against a start for a former incarnation that the next one has carried out without a trace in the log.
func TestFirstAnswerTellsRunsThatItHas(t *testing.T) {
	c := qt.New(t)
	n := newNode()
	log, lines := loggingtest.New(t, "node")
	n.log = log
	n.countStart(testIncarnation, &workflow.StartOrder{RunTraits: workflow.RunTraits{Task: "j.0.0.0"}, Run: 1}, true)
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 2000}, 1, 7)
	lists := &RunLists{StartedUnixMillis: 2000, ClockMillis: 90, Running: []workflow.RunState{{Task: "j.0.0.0", Run: 1}}, EndsComplete: true}
	for range 2 {
		n.applyLists("i-1@2000", lists, 0)
	}
	byMessage := map[string][]map[string]any{}
	for _, line := range lines() {
		message := line["@message"].(string)
		byMessage[message] = append(byMessage[message], line)
	}
	c.Assert(byMessage["executor replaced"], qt.HasLen, 1)
	c.Assert(byMessage["executor replaced"][0]["unlisted_starts"], qt.Equals, 1.0)
	first := byMessage["executor responds for the first time"]
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0]["executor"], qt.Equals, "i-1@2000")
	c.Assert(first[0]["clock_ms"], qt.Equals, 90.0)
	c.Assert(first[0]["running"], qt.Equals, 1.0)
}
