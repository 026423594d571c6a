package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

// callerOutcome sends an attempt and, if the connection fails, resolves it. It returns the outcome and the body that an
// entry would pass to its caller.
func (a *testAgent) callerOutcome(network *faultnet.Forwarder, id string, random *rand.Rand) (structs.Outcome, string) {
	conn, err := net.Dial("tcp", network.Address())
	if err == nil {
		_ = conn.SetDeadline(time.Now().Add(800 * time.Millisecond))
		var out reply
		budget := time.Duration(200+random.IntN(2000)) * time.Millisecond
		idempotent := map[string]string{structs.HeaderIdempotent: fmt.Sprint(random.IntN(2) == 0)}
		out, err = exchangeOver(conn, a.request(call{id: id, body: id, budget: budget, header: idempotent}))
		_ = conn.Close()
		if err == nil {
			return out.outcome, out.body
		}
	}
	switch s := a.resolve(id); {
	case s.NotRun():
		return structs.OutcomeNotRun, ""
	case s == structs.AttemptUnknown:
		return structs.OutcomeUnknown, ""
	}
	out := a.fetchAnswer(id)
	return out.outcome, out.body
}

// With connections that are cut or stop delivering data and an upstream that fails at random, no request may run twice,
// be reported as not run although it ran, or get the response of another request.
func TestOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			a := newTestAgent(t, func(s *Settings) { s.RunLimit, s.Linger = time.Second, 0 })
			network, err := faultnet.Listen(a.address())
			a.c.Assert(err, qt.IsNil)
			defer network.Close()
			a.upstream.SetBehaviour(upstreamtest.Behaviour{
				ServiceTime: time.Millisecond, Jitter: 20 * time.Millisecond, FaultRate: 0.05, Fault: upstreamtest.FaultBreakAfter,
			})
			reported, ended := sync.Map{}, make(chan struct{})
			var clients, chaos sync.WaitGroup
			chaos.Go(func() {
				random := rand.New(rand.NewPCG(seed, 1))
				for {
					select {
					case <-ended:
						return
					case <-time.After(time.Duration(5+random.IntN(20)) * time.Millisecond):
					}
					if random.IntN(2) == 0 {
						network.Cut()
					} else {
						network.Blackhole()
					}
				}
			})
			for client := range 20 {
				clients.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(client+2)))
					for n := range 15 {
						id := structs.AttemptID(fmt.Sprint("entry", client%3), uint64(client*100+n+1))
						outcome, body := a.callerOutcome(network, id, random)
						reported.Store(id, outcome)
						if outcome == structs.OutcomeAnswered && body != id {
							a.c.Errorf("%s got the response %q", id, body)
						}
					}
				})
			}
			clients.Wait()
			close(ended)
			chaos.Wait()
			a.c.Assert(a.Drain(context.Background()), qt.IsNil)
			totals := map[structs.Outcome]int{}
			counts := a.upstream.Counts()
			reported.Range(func(id, outcome any) bool {
				ran := counts.Executions[id.(string)]
				totals[outcome.(structs.Outcome)]++
				wrong := ran > 1 || (outcome == structs.OutcomeNotRun && ran > 0) || (outcome == structs.OutcomeAnswered && ran != 1)
				if wrong {
					a.c.Errorf("%s is reported as %s and ran %d times", id, outcome, ran)
				}
				return true
			})
			a.c.Assert(counts.MaxRunning <= 8, qt.IsTrue)
			t.Logf("outcomes %v, %d connections", totals, network.Counts().Accepted)
		})
	}
}
