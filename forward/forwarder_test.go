package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// Guards against a connection pool that resends requests by itself. http.Transport does so for a request with an
// Idempotency-Key header when a reused connection breaks.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault forwardtest.Fault
		want  structs.Outcome
	}{
		{"the response is retained", forwardtest.RunThenClose, structs.OutcomeAnswered},
		{"the response is lost", forwardtest.RunWithoutRetaining, structs.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1, largeRetryBudget())
			f.scriptFaults(forwardtest.NoFault, test.fault)
			qt.Assert(t, f.doNonIdempotent(t, "warm").Outcome, qt.Equals, structs.OutcomeAnswered)
			qt.Assert(t, f.agents[0].Connections(), qt.Equals, 1)
			result := f.doNonIdempotent(t, "payload")
			qt.Assert(t, result.Outcome, qt.Equals, test.want)
			qt.Assert(t, f.agents[0].AttemptsReceived(), qt.Equals, 2, qt.Commentf("one send per request"))
			qt.Assert(t, f.runCount("payload"), qt.Equals, 1)
		})
	}
}

// Guards against a truncated, duplicate, altered or foreign response that reaches the caller (P5), a non-idempotent
// request that runs twice (P7), and a result of not-run for a request that ran (P6).
func TestFaultsOfNonIdempotentRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault forwardtest.Fault
		want  structs.Outcome
		sends int
	}{
		{"lost with the connection", forwardtest.DropThenClose, structs.OutcomeAnswered, 2},
		{"lost without a response", forwardtest.DropThenStall, structs.OutcomeAnswered, 2},
		{"rejected", forwardtest.Reject, structs.OutcomeAnswered, 2},
		{"ran, then closed", forwardtest.RunThenClose, structs.OutcomeAnswered, 1},
		{"ran, then silent", forwardtest.RunThenStall, structs.OutcomeAnswered, 1},
		{"truncated", forwardtest.Truncate, structs.OutcomeAnswered, 1},
		{"wrong checksum", forwardtest.BadChecksum, structs.OutcomeAnswered, 1},
		{"response to another attempt", forwardtest.WrongAttempt, structs.OutcomeAnswered, 1},
		{"repeated response", forwardtest.Duplicate, structs.OutcomeAnswered, 1},
		{"no length", forwardtest.NoLength, structs.OutcomeAnswered, 1},
		{"oversized", forwardtest.Oversized, structs.OutcomeAnswered, 1},
		{"wrong length", forwardtest.WrongLength, structs.OutcomeAnswered, 1},
		{"endless headers", forwardtest.EndlessHeader, structs.OutcomeAnswered, 1},
		{"queued without a response", forwardtest.QueueThenStall, structs.OutcomeAnswered, 2},
		{"ran, response not retained", forwardtest.RunWithoutRetaining, structs.OutcomeUnknown, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 2, largeRetryBudget())
			f.scriptFaults(test.fault)
			result := f.doNonIdempotent(t, "payload")
			qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%s", result.Reason))
			qt.Assert(t, f.attemptsReceived(), qt.Equals, test.sends)
			qt.Assert(t, f.runCount("payload"), qt.Equals, 1)
			if test.want == structs.OutcomeAnswered {
				qt.Assert(t, string(result.Body), qt.Equals, "/p:payload")
			}
			// The next request on the same connections gets its own response.
			for _, body := range []string{"x", "y", "z"} {
				next := f.doNonIdempotent(t, body)
				qt.Assert(t, string(next.Body), qt.Equals, "/p:"+body)
			}
		})
	}
}

// Guards against requests that stall on silent connections while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.doNonIdempotent(t, "warm")
	f.agents[0].SilenceOpenConnections()
	result := f.doNonIdempotent(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.runCount("payload"), qt.Equals, 1)
	open, idle := f.opts.Pool.Counts()
	qt.Assert(t, open, qt.Equals, idle, qt.Commentf("a silent connection was kept"))
}

// Guards against silent idle connections that stay in the pool until a request uses them.
func TestProbesDropSilentIdleConnections(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	probed := make(chan error, 16)
	f.opts.Pool.opts.OnProbe = func(_ string, _ time.Duration, err error) { probed <- err }
	f.doNonIdempotent(t, "warm")
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.opts.Pool.RunProbes(ctx) })
	qt.Assert(t, <-probed, qt.IsNil)
	f.agents[0].SilenceOpenConnections()
	for err := range probed {
		if err != nil {
			break
		}
	}
	open, _ := f.opts.Pool.Counts()
	qt.Assert(t, open, qt.Equals, 0)
	cancel()
	done.Wait()
}

// Guards against the use of connections that a restarted agent has closed, which would make outcomes unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.doNonIdempotent(t, "warm")
	f.agents[0].Restart()
	f.announce(t, f.agents[0], 1)
	poll.Until(t, "an idle connection is closed by the agent", func() bool { return staleIdle(f.opts.Pool) })
	result := f.doNonIdempotent(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, result.Attempts, qt.Equals, 1)
}

func staleIdle(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.agents {
		for _, c := range conns.idle {
			if c.stale() {
				return true
			}
		}
	}
	return false
}

// Guards against a result of not-run when the agent was restarted and can't know the outcome.
func TestAgentRestartLeavesOutcomeUnknown(t *testing.T) {
	f := newFleet(t, 2, largeRetryBudget())
	f.scriptFaults(forwardtest.RunOnRelease)
	results := make(chan Result, 1)
	go func() { results <- f.doNonIdempotent(t, "payload") }()
	poll.Until(t, "the attempt arrives", func() bool { return f.attemptsReceived() == 1 })
	for _, agent := range f.agents {
		agent.Restart()
	}
	qt.Assert(t, (<-results).Outcome, qt.Equals, structs.OutcomeUnknown)
	// With a stale incarnation in the routing table, the restarted process refuses the attempt instead of running it.
	stale := f.doNonIdempotent(t, "later")
	qt.Assert(t, stale.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, f.runCount("later"), qt.Equals, 0)
	f.announce(t, f.agents[0], 1)
	qt.Assert(t, f.doNonIdempotent(t, "later").Outcome, qt.Equals, structs.OutcomeAnswered)
}

// Guards against giving up on a running attempt whose connection is lost, instead of fetching its response.
func TestRunningAttemptIsPolled(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.RunOnRelease)
	results := make(chan Result, 1)
	go func() { results <- f.doNonIdempotent(t, "payload") }()
	poll.Until(t, "the attempt arrives", func() bool { return f.attemptsReceived() == 1 })
	f.agents[0].CloseConnections()
	poll.Until(t, "more than two connections are opened", func() bool { return f.agents[0].Connections() > 2 })
	f.agents[0].ReleaseHeld()
	result := <-results
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.runCount("payload"), qt.Equals, 1)
}

// Guards against an inactivity timeout of slow requests although interim responses arrive.
func TestInterimResponsesKeepAttemptAlive(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.RunOnRelease)
	time.AfterFunc(3*testSilence, f.agents[0].ReleaseHeld)
	result := f.doNonIdempotent(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.agents[0].Connections(), qt.Equals, 1, qt.Commentf("the attempt was resolved"))
}

// Guards against an unknown outcome after a single lost response to a resolve, and against endless resolves.
func TestLostResolveResponsesAreRetried(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.RunThenClose, forwardtest.RunThenClose)
	f.agents[0].DropResolves(maxFailedResolves - 1)
	qt.Assert(t, f.doNonIdempotent(t, "a").Outcome, qt.Equals, structs.OutcomeAnswered)
	f.agents[0].DropResolves(maxFailedResolves)
	qt.Assert(t, f.doNonIdempotent(t, "b").Outcome, qt.Equals, structs.OutcomeUnknown)
}

// Guards against retries without retry budget, and against waiting for the deadline when no retry is possible.
func TestExhaustedRetryBudgetPreventsRetry(t *testing.T) {
	f := newFleet(t, 2, limit.NewRetryBudget(0, 0))
	f.scriptFaults(forwardtest.Reject)
	result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, result.RetryAfter > 0, qt.IsTrue)
	qt.Assert(t, f.attemptsReceived(), qt.Equals, 1)
}

// Guards against a request that waits for a slow upstream although another could respond.
func TestHedgeBypassesSlowUpstream(t *testing.T) {
	f := newFleet(t, 2, largeRetryBudget())
	f.opts.Latencies = NewLatencyTracker(time.Millisecond)
	f.scriptFaults(forwardtest.RunOnRelease)
	result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, result.Attempts, qt.Equals, 2)
	qt.Assert(t, f.attemptsReceived(), qt.Equals, 2)
}

// Guards against a queued attempt that still runs after the deadline of its request.
func TestDeadlineCancelsQueuedAttempt(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.QueueThenStall)
	result := f.Do(t.Context(), request("payload", false, testSilence/2), &acceptingAssigner{})
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeUnknown)
	f.Wait()
	qt.Assert(t, f.agents[0].States(), qt.DeepEquals, map[structs.AttemptState]int{structs.AttemptCancelled: 1})
}

// Guards against a queued attempt that still runs after its caller disconnected.
func TestCallerDisconnectCancelsQueuedAttempt(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.QueueThenStall)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Result, 1)
	go func() { ended <- f.Do(ctx, request("payload", true, time.Minute), nil) }()
	poll.Until(t, "the attempt is queued", func() bool { return f.agents[0].States()[structs.AttemptQueued] == 1 })
	cancel()
	qt.Assert(t, (<-ended).Outcome, qt.Equals, structs.OutcomeUnknown)
	f.Wait()
	qt.Assert(t, f.agents[0].States(), qt.DeepEquals, map[structs.AttemptState]int{structs.AttemptCancelled: 1})
}

// Guards against sending an attempt after the deadline or without a record of the assignment.
func TestNoSendAfterDeadlineOrWithoutRecord(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	late := f.Do(t.Context(), request("late", false, -time.Second), &acceptingAssigner{})
	qt.Assert(t, late.Outcome, qt.Equals, structs.OutcomeNotRun)
	slow := f.Do(t.Context(), request("slow", false, 20*time.Millisecond), assignFunc(func() error {
		time.Sleep(30 * time.Millisecond)
		return nil
	}))
	qt.Assert(t, slow.Outcome, qt.Equals, structs.OutcomeNotRun)
	failed := f.Do(t.Context(), request("failed", false, time.Minute), assignFunc(func() error { return errors.New("down") }))
	qt.Assert(t, failed.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, failed.AssignError, qt.ErrorMatches, "down")
	qt.Assert(t, f.attemptsReceived(), qt.Equals, 0)
}

type assignFunc func() error

func (a assignFunc) Assign(context.Context, Target, string) error { return a() }

// Guards against requests that fail at an unreachable agent although another agent could run them.
func TestUnreachableAgentIsBypassed(t *testing.T) {
	f := newFleet(t, 2, largeRetryBudget())
	f.agents[0].Close()
	for range 4 {
		qt.Assert(t, f.doNonIdempotent(t, "payload").Outcome, qt.Equals, structs.OutcomeAnswered)
	}
	f.agents[1].Close()
	result := f.doNonIdempotent(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, result.Status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against truncation of large request and response bodies.
func TestLargeBodies(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.agents[0].Run = func(_, _ string, body []byte) string {
		return strings.Repeat(string(body), 8)[:structs.MaxResponseBody]
	}
	body := strings.Repeat("0123456789abcdef", structs.MaxRequestBody/16)
	result := f.Do(t.Context(), request(body, true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, len(result.Body), qt.Equals, structs.MaxResponseBody)
}

// Guards against an unresponsive agent that gets an attempt of every request, each of which costs a hedge from the
// retry budget.
func TestUnresponsiveAgentIsAvoidedAfterFewHedges(t *testing.T) {
	f := newFleet(t, 2, largeRetryBudget())
	f.opts.Latencies, f.opts.SuspectFor = NewLatencyTracker(time.Millisecond), time.Hour
	f.agents[0].FaultFor = func(int) forwardtest.Fault { return forwardtest.DropThenStall }
	f.agents[0].DropResolves(1000)
	for range 50 {
		result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
		qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
		f.Wait()
	}
	// A hedge that wins early may cancel an attempt before the agent has read it. Then fewer than three are counted.
	qt.Assert(t, f.agents[0].AttemptsReceived() <= 3, qt.IsTrue, qt.Commentf("%d sends", f.agents[0].AttemptsReceived()))
}
