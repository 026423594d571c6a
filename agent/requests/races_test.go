package requests

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// An attempt that was reported as never seen before it arrived must not run.
func TestResolveBeforeArrival(t *testing.T) {
	a := newTestAgent(t, nil)
	id := a.nextID()
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptNeverSeen)
	out := a.mustSend(call{id: id})
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeNotRun)
	a.c.Assert(out.reason, qt.Equals, reasonTombstone)
	a.c.Assert(a.resolve(id), qt.Equals, structs.AttemptNeverSeen)
	a.c.Assert(a.upstream.Counts().Total, qt.Equals, 0)
}

// A resolve that arrives together with the attempt must not report it as not run if it runs.
func TestResolveDuringArrival(t *testing.T) {
	a := newTestAgent(t, nil)
	seen := map[structs.AttemptState]int{}
	for n := range 200 {
		id := a.nextID()
		replies := a.start(call{id: id})
		time.Sleep(time.Duration(n%20) * 20 * time.Microsecond)
		s := a.resolve(id)
		out := <-replies
		seen[s]++
		ran := a.upstream.Counts().Executions[id]
		comment := qt.Commentf("resolved as %s, response %s %s", s, out.outcome, out.reason)
		if s.NotRun() {
			a.c.Assert(ran, qt.Equals, 0, comment)
			a.c.Assert(out.outcome, qt.Equals, structs.OutcomeNotRun, comment)
			continue
		}
		a.c.Assert(ran, qt.Equals, 1, comment)
		a.c.Assert(out.outcome, qt.Equals, structs.OutcomeAnswered, comment)
	}
	t.Logf("states at resolve: %v", seen)
}

// fillSlots starts one request per slot of the upstream and waits until all of them run.
func (a *testAgent) fillSlots(delayMillis string) (replies []<-chan reply) {
	for range 8 {
		id := a.nextID()
		replies = append(replies, a.start(call{id: id, body: id, header: map[string]string{"Standin-Delay-Ms": delayMillis}}))
		a.waitForState(id, running)
	}
	return replies
}

// A queued attempt must be cancelled when it is resolved or when its connection closes, and must not run later.
func TestQueuedAttemptsAreWithdrawn(t *testing.T) {
	a := newTestAgent(t, nil)
	busy := a.fillSlots("800")
	resolved, gone := a.nextID(), a.nextID()
	replies := a.start(call{id: resolved})
	a.waitForState(resolved, queued)
	a.c.Assert(a.resolve(resolved), qt.Equals, structs.AttemptCancelled)
	a.c.Assert((<-replies).outcome, qt.Equals, structs.OutcomeNotRun)

	conn, err := net.Dial("tcp", a.address())
	a.c.Assert(err, qt.IsNil)
	a.c.Assert(a.request(call{id: gone, body: "waits"}).Write(conn), qt.IsNil)
	a.waitForState(gone, queued)
	a.c.Assert(conn.Close(), qt.IsNil)
	a.waitForState(gone, cancelled)
	a.c.Assert(a.resolve(gone), qt.Equals, structs.AttemptCancelled)
	for _, r := range busy {
		a.c.Assert((<-r).outcome, qt.Equals, structs.OutcomeAnswered)
	}
	a.c.Assert(a.upstream.Counts().Total, qt.Equals, 8)
	a.c.Assert(a.upstreams.list()[0].Queued, qt.Equals, 0)
}

// The response of a running attempt must be retained when the connection of its entry closes.
func TestRunningAttemptOutlivesItsConnection(t *testing.T) {
	a := newTestAgent(t, nil)
	id := a.nextID()
	conn, err := net.Dial("tcp", a.address())
	a.c.Assert(err, qt.IsNil)
	a.c.Assert(a.request(call{id: id, body: "kept", header: map[string]string{"Standin-Delay-Ms": "200"}}).Write(conn), qt.IsNil)
	a.waitForState(id, running)
	a.c.Assert(conn.Close(), qt.IsNil)
	a.c.Assert(a.fetchAnswer(id).body, qt.Equals, "kept")
	a.c.Assert(a.upstream.Counts().Executions[id], qt.Equals, 1)
}

// A second request with the ID of an attempt must neither run the attempt again nor change its state or response.
func TestDuplicateAttempts(t *testing.T) {
	a := newTestAgent(t, nil)
	id := a.nextID()
	first := a.start(call{id: id, body: "first", header: map[string]string{"Standin-Delay-Ms": "300"}})
	a.waitForState(id, running)
	second := a.mustSend(call{id: id, body: "second"})
	a.c.Assert(second.status, qt.Equals, http.StatusConflict)
	a.c.Assert(second.outcome, qt.Equals, structs.OutcomeUnknown)
	wrong := a.mustSend(call{id: id, incarnation: "another"})
	a.c.Assert(wrong.outcome, qt.Equals, structs.OutcomeUnknown)
	a.c.Assert((<-first).body, qt.Equals, "first")
	third := a.mustSend(call{id: id, body: "third"})
	a.c.Assert(third.outcome, qt.Equals, structs.OutcomeUnknown)
	a.c.Assert(a.fetchAnswer(id).body, qt.Equals, "first")

	ids := make(chan structs.Outcome, 16)
	same := a.nextID()
	for range cap(ids) {
		go func() {
			out, _ := a.send(call{id: same})
			ids <- out.outcome
		}()
	}
	outcomes := map[structs.Outcome]int{}
	for range cap(ids) {
		outcomes[<-ids]++
	}
	a.c.Assert(outcomes, qt.DeepEquals, map[structs.Outcome]int{structs.OutcomeAnswered: 1, structs.OutcomeUnknown: 15})
	a.c.Assert(a.upstream.Counts().Executions[same], qt.Equals, 1)
}

// Invalid requests must not reach the upstream, and neither must a valid request that later uses the same attempt ID.
func TestInvalidRequests(t *testing.T) {
	a := newTestAgent(t, nil)
	cases := []struct {
		what   string
		call   call
		reason string
	}{
		{"other incarnation", call{incarnation: "ffff"}, reasonIncarnation},
		{"no budget", call{header: map[string]string{structs.HeaderBudgetMillis: ""}}, reasonBadRequest},
		{"negative budget", call{header: map[string]string{structs.HeaderBudgetMillis: "-1"}}, reasonBadRequest},
		{"long budget", call{header: map[string]string{structs.HeaderBudgetMillis: "60001"}}, reasonBadRequest},
		{"budget of zero", call{header: map[string]string{structs.HeaderBudgetMillis: "0"}}, "too_late"},
		{"CONNECT", call{method: http.MethodConnect}, reasonBadRequest},
		{"relative path", call{header: map[string]string{structs.HeaderPath: "check"}}, reasonBadRequest},
		{"path with a second request", call{header: map[string]string{structs.HeaderPath: "/a HTTP/1.1"}}, reasonBadRequest},
		{"other service", call{header: map[string]string{structs.HeaderService: "motion"}}, reasonNoUpstream},
		{"large body", call{body: strings.Repeat("x", structs.MaxRequestBody+1)}, reasonBadRequest},
	}
	for _, k := range cases {
		k.call.id = a.nextID()
		comment := qt.Commentf("%s", k.what)
		out := a.mustSend(k.call)
		a.c.Assert(out.outcome, qt.Equals, structs.OutcomeNotRun, comment)
		a.c.Assert(out.reason, qt.Equals, k.reason, comment)
		replayed := a.mustSend(call{id: k.call.id})
		a.c.Assert(replayed.outcome, qt.Equals, structs.OutcomeNotRun, comment)
	}
	a.c.Assert(a.upstream.Counts().Total, qt.Equals, 0)
	a.c.Assert(a.mustSend(call{id: strings.Repeat("a", 97)}).status, qt.Equals, http.StatusBadRequest)
	a.c.Assert(a.fetchAnswer(a.nextID()).outcome, qt.Equals, structs.OutcomeUnknown)
}

// A request must be refused when its deadline passes in the queue, and must not run after it.
func TestExpiredBudgetInTheQueue(t *testing.T) {
	a := newTestAgent(t, nil)
	busy := a.fillSlots("1000")
	late := a.nextID()
	out := a.mustSend(call{id: late, budget: 250 * time.Millisecond})
	a.c.Assert(out.outcome, qt.Equals, structs.OutcomeNotRun)
	a.c.Assert(out.reason, qt.Equals, "too_late")
	a.c.Assert(out.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	a.c.Assert(a.upstreams.list()[0].Running, qt.Equals, 8)
	for _, r := range busy {
		<-r
	}
	// The service time is known now, so a request that can't finish within its budget is refused although slots are free.
	hopeless := a.mustSend(call{id: a.nextID(), budget: 500 * time.Millisecond})
	a.c.Assert(hopeless.outcome, qt.Equals, structs.OutcomeNotRun)
	a.c.Assert(a.upstream.Counts().Total, qt.Equals, 8)
}

// The upstream must never run more requests than it has slots (8), however many entries and clients send requests at
// once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	a := newTestAgent(t, nil)
	a.upstream.SetBehaviour(upstreamtest.Behaviour{ServiceTime: 5 * time.Millisecond, Jitter: 5 * time.Millisecond})
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[structs.Outcome]int{}
	for entry := range 6 {
		for client := range 10 {
			wait.Go(func() {
				for n := range 5 {
					id := structs.AttemptID(fmt.Sprintf("entry%d", entry), uint64(client*100+n))
					out, err := a.send(call{id: id, body: id})
					ran := a.upstream.Counts().Executions[id]
					mu.Lock()
					outcomes[out.outcome]++
					mu.Unlock()
					answered := out.outcome == structs.OutcomeAnswered
					a.c.Check(err, qt.IsNil)
					a.c.Check(answered == (ran == 1) && ran <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", out.outcome, ran))
					a.c.Check(!answered || out.body == id, qt.IsTrue, qt.Commentf("response of another request"))
				}
			})
		}
	}
	wait.Wait()
	counts := a.upstream.Counts()
	a.c.Assert(counts.MaxRunning <= 8, qt.IsTrue, qt.Commentf("%d at once", counts.MaxRunning))
	a.c.Assert(counts.MaxConnections <= 64, qt.IsTrue)
	a.c.Assert(outcomes[structs.OutcomeUnknown], qt.Equals, 0)
	t.Logf("outcomes %v, at most %d at once over %d connections", outcomes, counts.MaxRunning, counts.MaxConnections)
}

// A drain must let accepted requests finish and refuse new ones.
func TestDrainFinishesAcceptedRequests(t *testing.T) {
	a := newTestAgent(t, func(s *Settings) { s.Linger = 50 * time.Millisecond })
	accepted := a.fillSlots("400")
	for range 4 {
		id := a.nextID()
		accepted = append(accepted, a.start(call{id: id, body: id}))
		a.waitForState(id, queued)
	}
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	poll.Until(a.c, "the agent refuses new requests", func() bool {
		out := a.mustSend(call{id: a.nextID(), header: map[string]string{structs.HeaderService: "price"}, budget: time.Millisecond})
		return out.reason == reasonDraining
	})
	_, err := a.registrar().Register(context.Background())
	a.c.Assert(err, qt.IsNil, qt.Commentf("a renewal during the drain keeps the upstream"))
	for _, r := range accepted {
		a.c.Assert((<-r).outcome, qt.Equals, structs.OutcomeAnswered)
	}
	a.c.Assert(<-drained, qt.IsNil)
	a.c.Assert(a.upstream.Counts().Total, qt.Equals, 12)
}

// An upstream must not be told that it may stop while one of its requests is queued or running.
func TestUpstreamLeavesAfterItsRequests(t *testing.T) {
	a := newTestAgent(t, nil)
	accepted := a.fillSlots("300")
	id := a.nextID()
	accepted = append(accepted, a.start(call{id: id}))
	a.waitForState(id, queued)
	stale := a.registrar()
	stale.Registration.Address = "127.0.0.1:1"
	a.c.Assert(stale.Leave(context.Background()), qt.ErrorMatches, ".*status 403")
	a.c.Assert(a.registrar().Leave(context.Background()), qt.IsNil)
	counts := a.upstream.Counts()
	a.c.Assert(counts.Total, qt.Equals, 9)
	a.c.Assert(counts.Running, qt.Equals, 0)
	a.c.Assert(a.upstreams.list(), qt.HasLen, 0)
	for _, r := range accepted {
		a.c.Assert((<-r).outcome, qt.Equals, structs.OutcomeAnswered)
	}
	a.c.Assert(a.mustSend(call{id: a.nextID()}).reason, qt.Equals, reasonNoUpstream)
	a.c.Assert(a.registrar().Leave(context.Background()), qt.IsNil)
}
