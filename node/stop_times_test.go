package node

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock/clocktest"
	"github.com/quetzalshed/quetzalshed/logging/loggingtest"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/workflow"
)

// observedNode returns a node with a lease whose log lines lines returns, and with metrics of stops in scope.
func observedNode(t *testing.T) (n *Node, scope tally.TestScope, lines func() []map[string]any) {
	n, scope = newLeasedNode(clocktest.NewHost()), tally.NewTestScope("", nil)
	n.metrics.stopping = newStopMetrics(scope)
	n.log, lines = loggingtest.New(t, "node")
	return n, scope, lines
}

// counterOf returns the value of a counter without tags.
func counterOf(scope tally.TestScope, name string) int64 {
	return scope.Snapshot().Counters()[name+"+"].Value()
}

// stopsTimed returns how many stops the histogram holds.
func stopsTimed(scope tally.TestScope) (stops int64) {
	for _, count := range scope.Snapshot().Histograms()["node_stop_seconds+"].Durations() {
		stops += count
	}
	return stops
}

// Guards against a stop of which the log doesn't tell how long it took, and against stop times of runs that ended by themselves.
func TestRunEndTellsTimeOfItsStop(t *testing.T) {
	for name, test := range map[string]struct {
		stops []string
		end   workflow.RunEnd
		field any
		timed int64
	}{
		"stopped":           {[]string{testIncarnation}, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, How: workflow.EndStopped}, 880.0, 1},
		"stopped twice":     {[]string{testIncarnation, testIncarnation}, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, How: workflow.EndStopped}, 880.0, 1},
		"done before":       {[]string{testIncarnation}, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, How: workflow.EndDone}, 880.0, 0},
		"not stopped":       {nil, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, How: workflow.EndDone}, nil, 0},
		"another run":       {[]string{testIncarnation}, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 2, How: workflow.EndStopped}, nil, 0},
		"other incarnation": {[]string{nextIncarnation}, workflow.RunEnd{Number: 1, Task: "j.0.0.0", Run: 1, How: workflow.EndStopped}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n, scope, lines := observedNode(t)
				began := time.Now()
				for _, incarnation := range test.stops {
					n.noteStop(incarnation, "j.0.0.0", 1)
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(880*time.Millisecond - time.Since(began))
				lists := &RunLists{StartedUnixMillis: 1000, ClockMillis: formerClockMillis, Ended: []workflow.RunEnd{test.end}, EndsComplete: true}
				for range 2 {
					n.applyLists(testIncarnation, lists, 0)
				}
				read := lines()
				c.Assert(read, qt.HasLen, 1)
				c.Assert(read[0]["@message"], qt.Equals, "run ended")
				c.Assert(read[0]["stop_ms"], qt.Equals, test.field)
				c.Assert(stopsTimed(scope), qt.Equals, test.timed)
			})
		})
	}
}

// Guards against a stop under a stale lease that doesn't tell how much time it has until the task may run elsewhere, and against lines for
// each call of one that is repeated.
func TestStopBeyondLeaseTellsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n, scope, lines := observedNode(t)
		n.sendDeadline(6 * time.Second)
		n.restartExecutor(nextClockMillis)
		lines()
		granted := n.grantedUntil.Sub(n.clock.Now())
		time.Sleep(granted + 20*time.Millisecond)
		n.noteStop(nextIncarnation, "j.0.0.0", 1)
		n.noteStopBeyondLease(nextIncarnation, "j.0.0.0", 1)
		sentAt := n.clock.Now()
		time.Sleep(30 * time.Millisecond)
		for range 3 {
			n.logStopAnswer(nextIncarnation, "j.0.0.0", 1, sentAt, nil)
			n.logStopAnswer(nextIncarnation, "j.0.0.0", 1, sentAt, errors.New("broken"))
			n.noteStopBeyondLease(nextIncarnation, "j.0.0.0", 1)
		}
		read := lines()
		c.Assert(read, qt.HasLen, 3)
		margin := float64(owner.LeaseExpiryMargin.Milliseconds())
		stale := float64(n.staleLease.end.Sub(sentAt).Milliseconds())
		for i, want := range []map[string]any{
			{"@message": "run stopped beyond the granted lease", "granted_ms": -20.0, "stale_ms": stale, "counted_ms": margin - 20},
			{"@message": "stop beyond the granted lease accepted", "granted_ms": -50.0, "stale_ms": stale - 30, "counted_ms": margin - 50, "call_ms": 30.0},
			{"@message": "run not stopped", "counted_ms": margin - 50, "call_ms": 30.0, "error": "broken"},
		} {
			c.Assert(read[i]["task"], qt.Equals, "j.0.0.0")
			c.Assert(read[i]["run"], qt.Equals, 1.0)
			c.Assert(read[i]["executor"], qt.Equals, nextIncarnation)
			for field, value := range want {
				c.Assert(read[i][field], qt.Equals, value, qt.Commentf("field %s", field))
			}
		}
		c.Assert(counterOf(scope, "node_stops_beyond_lease"), qt.Equals, int64(1))
	})
}

// Guards against a run that outlasts the time that an owner counts without a line, against a line for each of many lists, and
// against one while the owner still counts.
func TestRunsBeyondCountAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		running int
		lines   int
	}{
		"owner counts":    {owner.ExecutorLeaseDuration + owner.LeaseExpiryMargin - time.Millisecond, 2, 0},
		"count has ended": {owner.ExecutorLeaseDuration + owner.LeaseExpiryMargin, 2, 1},
		"nothing runs":    {owner.ExecutorLeaseDuration + owner.LeaseExpiryMargin, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n, scope, lines := observedNode(t)
				n.grantedUntil = n.clock.Now().Add(owner.ExecutorLeaseDuration)
				time.Sleep(test.after)
				lists := &RunLists{StartedUnixMillis: 1000, ClockMillis: formerClockMillis, EndsComplete: true}
				for i := range test.running {
					lists.Running = append(lists.Running, workflow.RunState{Task: fmt.Sprintf("j.0.0.%d", i), Run: 1})
				}
				for range 3 {
					n.applyLists(testIncarnation, lists, 0)
				}
				read := lines()
				c.Assert(read, qt.HasLen, test.lines)
				c.Assert(counterOf(scope, "node_runs_beyond_count"), qt.Equals, int64(test.lines*test.running))
				if test.lines == 0 {
					return
				}
				c.Assert(read[0]["@message"], qt.Equals, "runs may have outlasted the lease that an owner counts")
				c.Assert(read[0]["running"], qt.Equals, 2.0)
				c.Assert(read[0]["task"], qt.Equals, "j.0.0.0")
				c.Assert(read[0]["counted_ms"], qt.Equals, 0.0)
			})
		})
	}
}

// Guards against stops of runs that never end, which would fill the memory of the node.
func TestTimedStopsAreBounded(t *testing.T) {
	c := qt.New(t)
	var s timedStops
	began := time.Unix(1000, 0)
	for i := range 2 * maxTimedStops {
		s.sent(timedRun{testIncarnation, fmt.Sprintf("j.0.0.%d", i), 1}, began)
	}
	c.Assert(s.stops, qt.HasLen, maxTimedStops)
	s.sent(timedRun{testIncarnation, "k.0.0.0", 1}, began.Add(stopTimingLimit+time.Millisecond))
	c.Assert(s.stops, qt.HasLen, 1)
}
