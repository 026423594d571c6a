package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/logging/loggingtest"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// loggedNode returns a node whose log lines lines returns.
func loggedNode(t *testing.T) (n *Node, lines func() []map[string]any) {
	n = newNode()
	n.log, lines = loggingtest.New(t, "node")
	return n, lines
}

// Guards against a suspension of the host or a pause of the process that the log doesn't tell, and against a line for each of
// many.
func TestSuspensionsAndPausesAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		monotonic, boot time.Duration
		message         string
	}{
		"running":        {pauseCheckInterval + 50*time.Millisecond, pauseCheckInterval + 50*time.Millisecond, ""},
		"paused":         {pauseCheckInterval + 700*time.Millisecond, pauseCheckInterval + 700*time.Millisecond, "process was paused"},
		"suspended":      {pauseCheckInterval, pauseCheckInterval + 700*time.Millisecond, "host was suspended"},
		"no second read": {pauseCheckInterval, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, lines := loggedNode(t)
			r := clockReading{time.Unix(1000, 0), time.Hour}
			w := pauseWatch{last: r}
			began := r.monotonic
			for r.monotonic.Sub(began) < 10*time.Second {
				r.monotonic = r.monotonic.Add(test.monotonic)
				if r.sinceBoot += test.boot; test.boot == 0 {
					r.sinceBoot = 0
				}
				w.check(r)
				n.logPauses(&w, r.monotonic)
			}
			read := lines()
			if test.message == "" {
				c.Assert(read, qt.HasLen, 0)
				return
			}
			c.Assert(len(read) >= 2 && len(read) <= 3, qt.IsTrue, qt.Commentf("lines: %v", read))
			c.Assert(read[0]["@message"], qt.Equals, test.message)
			c.Assert(read[0]["duration_ms"], qt.Equals, 700.0)
			c.Assert(read[1]["duration_ms"].(float64) >= 2800, qt.IsTrue, qt.Commentf("line: %v", read[1]))
		})
	}
}

// Guards against a lease that is renewed at its end, after it or after a suspension without a line, and against lines on ordinary
// renewals.
func TestLateRenewalsAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		left, suspended time.Duration
		logged          bool
	}{
		"in time":           {4 * time.Second, 0, false},
		"close to the end":  {400 * time.Millisecond, 0, true},
		"past the end":      {-2 * time.Second, 0, true},
		"after suspension":  {4 * time.Second, 8 * time.Second, true},
		"small differences": {4 * time.Second, 20 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, lines := loggedNode(t)
			n.epoch = 9
			first := clockReading{time.Unix(1000, 0), time.Hour}
			n.noteRenewal(&holdCall{incarnation: "i-1@1000", calledAt: first.monotonic, clocks: first, leaseEnd: first.monotonic.Add(6 * time.Second)})
			second := clockReading{first.monotonic.Add(time.Second), first.sinceBoot + time.Second + test.suspended}
			for range 2 {
				n.noteRenewal(&holdCall{
					incarnation: "i-1@1000", calledAt: second.monotonic, clocks: second, renewedUntil: second.monotonic.Add(test.left), leaseEnd: second.monotonic.Add(6 * time.Second),
				})
			}
			read := lines()
			if !test.logged {
				c.Assert(read, qt.HasLen, 0)
				return
			}
			c.Assert(read, qt.HasLen, 1)
			c.Assert(read[0]["left_ms"], qt.Equals, float64(test.left.Milliseconds()))
			c.Assert(read[0]["suspended_ms"], qt.Equals, float64(test.suspended.Milliseconds()))
			c.Assert(read[0]["epoch"], qt.Equals, 9.0)
		})
	}
}

// Guards against a rejected start whose line doesn't tell the ages that decided it.
func TestRejectedStartTellsAges(t *testing.T) {
	c := qt.New(t)
	n, lines := loggedNode(t)
	n.reportSentAt[1] = n.clock.Now().Add(-time.Minute)
	n.leaseEnd = n.clock.Now().Add(-time.Second)
	orders := &workflow.Orders{Epoch: 1, Incarnation: n.incarnation, ReportNumber: 1, ExecutorIncarnation: "i-1@1000"}
	result := n.start(t.Context(), orders, &workflow.StartOrder{Run: 1})
	c.Assert(result.Outcome, qt.Equals, workflow.OutcomeRejected)
	read := lines()
	c.Assert(read, qt.HasLen, 1)
	c.Assert(read[0]["reason"], qt.Equals, "basis")
	c.Assert(read[0]["report_age_ms"].(float64) >= 60000, qt.IsTrue)
	c.Assert(read[0]["lease_left_ms"].(float64) <= -1000, qt.IsTrue)
	c.Assert(read[0]["list_age_ms"], qt.Equals, float64(unknownAge))
	c.Assert(read[0]["known_epoch"], qt.Equals, 0.0)
}

// Guards against a rejected start of which nothing tells that its owner had judged another executor than the host has.
func TestRejectedStartTellsOtherIncarnation(t *testing.T) {
	c := qt.New(t)
	n, lines := loggedNode(t)
	rejected := func(ordered string) map[string]any {
		lines()
		result := n.start(t.Context(), &workflow.Orders{Epoch: 1, Incarnation: n.incarnation, ReportNumber: 1, ExecutorIncarnation: ordered}, &workflow.StartOrder{Run: 1})
		c.Assert(result.Outcome, qt.Equals, workflow.OutcomeRejected)
		return lines()[0]
	}
	n.current = &workflow.Executor{ID: "i-2", StartedUnixMillis: 2000, Pool: "pool", Labels: []string{"slow"}}
	line := rejected("i-1@1000")
	for field, value := range map[string]any{
		"reason": "life", "executor": "i-1@1000", "current_executor": "i-2@2000", "current_pool": "pool", "current_labels": []any{"slow"},
	} {
		c.Assert(line[field], qt.DeepEquals, value, qt.Commentf("field %s", field))
	}
	line = rejected("i-2@2000")
	c.Assert(line["reason"], qt.Equals, "basis")
	c.Assert(line["executor"], qt.Equals, "i-2@2000")
	_, found := line["current_executor"]
	c.Assert(found, qt.IsFalse)
}

// Guards against an executor whose labels no line tells, so that a start without its label can't be judged from the logs.
func TestFoundExecutorTellsLabels(t *testing.T) {
	c := qt.New(t)
	n, lines := loggedNode(t)
	n.current = nil
	n.Announce(workflow.Executor{ID: "i-1", StartedUnixMillis: 1000, Pool: "pool", Labels: []string{"fast", "r1"}}, 1, 500)
	read := lines()
	c.Assert(read, qt.HasLen, 1)
	c.Assert(read[0]["@message"], qt.Equals, "executor found")
	c.Assert(read[0]["pool"], qt.Equals, "pool")
	c.Assert(read[0]["labels"], qt.DeepEquals, []any{"fast", "r1"})
}
