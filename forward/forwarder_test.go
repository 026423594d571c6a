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
)

// Guards against a second send by the connection pool itself: http.Transport sends a request with an Idempotency-Key
// again when a reused connection breaks.
func TestReusedConnectionThatBreaksSendsOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault forwardtest.Fault
		want  structs.Outcome
	}{
		{"the response is retained", forwardtest.RunClose, structs.OutcomeAnswered},
		{"the response is lost", forwardtest.Forget, structs.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 1, plenty())
			f.faults(forwardtest.None, test.fault)
			qt.Assert(t, f.once(t, "warm").Outcome, qt.Equals, structs.OutcomeAnswered)
			qt.Assert(t, f.agents[0].Connections(), qt.Equals, 1)
			result := f.once(t, "payload")
			qt.Assert(t, result.Outcome, qt.Equals, test.want)
			qt.Assert(t, f.agents[0].Sends(), qt.Equals, 2, qt.Commentf("one send per request"))
			qt.Assert(t, f.runs("payload"), qt.Equals, 1)
		})
	}
}

// Guards against a response that is lost, truncated, repeated, altered or someone else's reaching the caller (P5), a
// non-idempotent request that runs twice (P7), and not-run for a request that ran (P6).
func TestFaultsOfNonIdempotentRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault forwardtest.Fault
		want  structs.Outcome
		sends int
	}{
		{"lost with the connection", forwardtest.LoseClose, structs.OutcomeAnswered, 2},
		{"lost in silence", forwardtest.LoseSilent, structs.OutcomeAnswered, 2},
		{"rejected", forwardtest.Reject, structs.OutcomeAnswered, 2},
		{"ran, then closed", forwardtest.RunClose, structs.OutcomeAnswered, 1},
		{"ran, then silent", forwardtest.RunSilent, structs.OutcomeAnswered, 1},
		{"truncated", forwardtest.Truncate, structs.OutcomeAnswered, 1},
		{"wrong checksum", forwardtest.BadChecksum, structs.OutcomeAnswered, 1},
		{"response to another attempt", forwardtest.WrongAttempt, structs.OutcomeAnswered, 1},
		{"repeated response", forwardtest.Duplicate, structs.OutcomeAnswered, 1},
		{"no length", forwardtest.NoLength, structs.OutcomeAnswered, 1},
		{"oversized", forwardtest.Oversized, structs.OutcomeAnswered, 1},
		{"wrong length", forwardtest.WrongLength, structs.OutcomeAnswered, 1},
		{"endless headers", forwardtest.HugeHeader, structs.OutcomeAnswered, 1},
		{"queued in silence", forwardtest.QueueSilent, structs.OutcomeAnswered, 2},
		{"ran and forgotten", forwardtest.Forget, structs.OutcomeUnknown, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 2, plenty())
			f.faults(test.fault)
			result := f.once(t, "payload")
			qt.Assert(t, result.Outcome, qt.Equals, test.want, qt.Commentf("%s", result.Reason))
			qt.Assert(t, f.sends(), qt.Equals, test.sends)
			qt.Assert(t, f.runs("payload"), qt.Equals, 1)
			if test.want == structs.OutcomeAnswered {
				qt.Assert(t, string(result.Body), qt.Equals, "/p:payload")
			}
			// The next request on the same connections gets its own response.
			for _, body := range []string{"x", "y", "z"} {
				next := f.once(t, body)
				qt.Assert(t, string(next.Body), qt.Equals, "/p:"+body)
			}
		})
	}
}

// Guards against connections that went silent stalling requests while new connections work.
func TestMutedConnections(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.once(t, "warm")
	f.agents[0].Mute()
	result := f.once(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.runs("payload"), qt.Equals, 1)
	open, idle := f.opts.Pool.Counts()
	qt.Assert(t, open, qt.Equals, idle, qt.Commentf("a silent connection was kept"))
}

// Guards against idle connections that went silent staying in the pool until a request meets them.
func TestProbesDropSilentIdleConnections(t *testing.T) {
	f := newFleet(t, 1, plenty())
	probed := make(chan error, 16)
	f.opts.Pool.opts.OnProbe = func(_ string, _ time.Duration, err error) { probed <- err }
	f.once(t, "warm")
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.opts.Pool.RunProbes(ctx) })
	qt.Assert(t, <-probed, qt.IsNil)
	f.agents[0].Mute()
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

// Guards against connections that a restarted agent has closed being used, which would make outcomes unknown.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.once(t, "warm")
	f.agents[0].Restart()
	f.announce(t, f.agents[0], 1)
	waitFor(t, func() bool { return staleIdle(f.opts.Pool) })
	result := f.once(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, result.Attempts, qt.Equals, 1)
}

func staleIdle(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		for _, c := range known.idle {
			if c.stale() {
				return true
			}
		}
	}
	return false
}

// waitFor waits for a state that another goroutine reaches, for at most ten seconds.
func waitFor(t testing.TB, reached func() bool) {
	t.Helper()
	for range 10_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the state was not reached")
}

// Guards against outcomes that a restarted agent can't know being reported as not run.
func TestIncarnationChange(t *testing.T) {
	f := newFleet(t, 2, plenty())
	f.faults(forwardtest.Hold)
	results := make(chan Result, 1)
	go func() { results <- f.once(t, "payload") }()
	waitFor(t, func() bool { return f.sends() == 1 })
	for _, agent := range f.agents {
		agent.Restart()
	}
	qt.Assert(t, (<-results).Outcome, qt.Equals, structs.OutcomeUnknown)
	// A stale incarnation in the table costs a refusal, not a run at a process that the entry doesn't know.
	stale := f.once(t, "later")
	qt.Assert(t, stale.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, f.runs("later"), qt.Equals, 0)
	f.announce(t, f.agents[0], 1)
	qt.Assert(t, f.once(t, "later").Outcome, qt.Equals, structs.OutcomeAnswered)
}

// Guards against a running attempt whose connection is lost being given up, and its response not being fetched.
func TestRunningAttemptIsPolled(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.faults(forwardtest.Hold)
	results := make(chan Result, 1)
	go func() { results <- f.once(t, "payload") }()
	waitFor(t, func() bool { return f.sends() == 1 })
	f.agents[0].CutConnections()
	waitFor(t, func() bool { return f.agents[0].Connections() > 2 })
	f.agents[0].Release()
	result := <-results
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.runs("payload"), qt.Equals, 1)
}

// Guards against interim responses that don't count as liveness: a slow request must outlive the silence limit.
func TestInterimResponsesKeepAttemptAlive(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.faults(forwardtest.Hold)
	time.AfterFunc(3*testSilence, f.agents[0].Release)
	result := f.once(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, f.agents[0].Connections(), qt.Equals, 1, qt.Commentf("the attempt was resolved"))
}

// Guards against one lost response to a resolve making the outcome unknown, and against endless resolves.
func TestLostResolves(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.faults(forwardtest.RunClose, forwardtest.RunClose)
	f.agents[0].DropResolves(maxFailedResolves - 1)
	qt.Assert(t, f.once(t, "a").Outcome, qt.Equals, structs.OutcomeAnswered)
	f.agents[0].DropResolves(maxFailedResolves)
	qt.Assert(t, f.once(t, "b").Outcome, qt.Equals, structs.OutcomeUnknown)
}

// Guards against retries without a budget, and against a request that is held after it was given up on.
func TestExhaustedBudget(t *testing.T) {
	f := newFleet(t, 2, limit.NewRetryBudget(0, 0))
	f.faults(forwardtest.Reject)
	result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, result.RetryAfter > 0, qt.IsTrue)
	qt.Assert(t, f.sends(), qt.Equals, 1)
}

// Guards against a slow upstream that sets the latency although another could answer.
func TestHedge(t *testing.T) {
	f := newFleet(t, 2, plenty())
	f.opts.Latencies = NewLatencies(time.Millisecond)
	f.faults(forwardtest.Hold)
	result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, result.Attempts, qt.Equals, 2)
	qt.Assert(t, f.sends(), qt.Equals, 2)
}

// Guards against a queued attempt that goes on to run after its request has ended.
func TestDeadlineCancelsQueuedAttempt(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.faults(forwardtest.QueueSilent)
	result := f.Do(t.Context(), request("payload", false, testSilence/2), &assignAll{})
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeUnknown)
	f.Wait()
	qt.Assert(t, f.agents[0].States(), qt.DeepEquals, map[structs.AttemptState]int{structs.AttemptCancelled: 1})
}

// Guards against a queued attempt that goes on to run after its caller went away.
func TestCallerThatGoesAwayCancelsQueuedAttempt(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.faults(forwardtest.QueueSilent)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Result, 1)
	go func() { ended <- f.Do(ctx, request("payload", true, time.Minute), nil) }()
	waitFor(t, func() bool { return f.agents[0].States()[structs.AttemptQueued] == 1 })
	cancel()
	qt.Assert(t, (<-ended).Outcome, qt.Equals, structs.OutcomeUnknown)
	f.Wait()
	qt.Assert(t, f.agents[0].States(), qt.DeepEquals, map[structs.AttemptState]int{structs.AttemptCancelled: 1})
}

// Guards against a send after the deadline, and against a send without a record.
func TestNothingIsSent(t *testing.T) {
	f := newFleet(t, 1, plenty())
	late := f.Do(t.Context(), request("late", false, -time.Second), &assignAll{})
	qt.Assert(t, late.Outcome, qt.Equals, structs.OutcomeNotRun)
	slow := f.Do(t.Context(), request("slow", false, 20*time.Millisecond), assignFunc(func() error {
		time.Sleep(30 * time.Millisecond)
		return nil
	}))
	qt.Assert(t, slow.Outcome, qt.Equals, structs.OutcomeNotRun)
	failed := f.Do(t.Context(), request("failed", false, time.Minute), assignFunc(func() error { return errors.New("down") }))
	qt.Assert(t, failed.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, failed.AssignError, qt.ErrorMatches, "down")
	qt.Assert(t, f.sends(), qt.Equals, 0)
}

type assignFunc func() error

func (a assignFunc) Assign(context.Context, Target, string) error { return a() }

// Guards against an unreachable agent ending requests that others could run.
func TestUnreachableAgent(t *testing.T) {
	f := newFleet(t, 2, plenty())
	f.agents[0].Close()
	for range 4 {
		qt.Assert(t, f.once(t, "payload").Outcome, qt.Equals, structs.OutcomeAnswered)
	}
	f.agents[1].Close()
	result := f.once(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeNotRun)
	qt.Assert(t, result.Status, qt.Equals, http.StatusServiceUnavailable)
}

// Guards against large bodies that are cut on the way in either direction.
func TestLargeBodies(t *testing.T) {
	f := newFleet(t, 1, plenty())
	f.agents[0].Run = func(_, _ string, body []byte) string {
		return strings.Repeat(string(body), 8)[:structs.MaxResponseBody]
	}
	body := strings.Repeat("0123456789abcdef", structs.MaxRequestBody/16)
	result := f.Do(t.Context(), request(body, true, time.Minute), nil)
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, len(result.Body), qt.Equals, structs.MaxResponseBody)
}

// Guards against an agent that stopped responding using up the retry budget, request after request.
func TestPausedAgentIsAvoidedAfterFewHedges(t *testing.T) {
	f := newFleet(t, 2, plenty())
	f.opts.Latencies, f.opts.SuspectFor = NewLatencies(time.Millisecond), time.Hour
	f.agents[0].Next = func(int) forwardtest.Fault { return forwardtest.LoseSilent }
	f.agents[0].DropResolves(1000)
	for range 50 {
		result := f.Do(t.Context(), request("payload", true, time.Minute), nil)
		qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
		f.Wait()
	}
	// A hedge that wins early may cancel an attempt before the agent has read it, so that fewer than three are counted.
	qt.Assert(t, f.agents[0].Sends() <= 3, qt.IsTrue, qt.Commentf("%d sends", f.agents[0].Sends()))
}
