package guarantees_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

// seed fixes the random choices of the tests. The scheduling of the processes still differs between runs.
const seed = 20261204

// callRecorder records the responses to callers by key.
type callRecorder struct {
	f       *fleet
	mu      sync.Mutex
	results map[string][]callResult
	done    sync.WaitGroup
	// repeat is how many times the body of a request repeats its key.
	repeat int
}

func newCallRecorder(f *fleet) *callRecorder {
	return &callRecorder{f: f, results: map[string][]callResult{}, repeat: 1}
}

// send makes a call in the background. The body repeats the key, so that the response to another request is recognized.
func (s *callRecorder) send(entry int, key string, header map[string]string) {
	s.done.Go(func() {
		got := s.f.call(entry, key, strings.Repeat(key, s.repeat), header)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results[key] = append(s.results[key], got)
	})
}

// count returns the number of responses with an outcome. Failed connections have none.
func (s *callRecorder) count(outcome structs.Outcome) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, answers := range s.results {
		for _, a := range answers {
			if a.outcome == outcome {
				n++
			}
		}
	}
	return n
}

// reasons counts why requests were not answered.
func (s *callRecorder) reasons() map[string]int {
	counts := map[string]int{}
	for _, answers := range s.results {
		for _, a := range answers {
			if a.outcome != structs.OutcomeAnswered {
				counts[fmt.Sprintf("%s: %s", a.outcome, a.reason)]++
			}
		}
	}
	return counts
}

// check compares the responses to all calls with the executions on the upstreams.
func (s *callRecorder) check(c *qt.C, atMostOnce bool) {
	c.Helper()
	s.done.Wait()
	executions := s.f.executions()
	for key, answers := range s.results {
		answered, notRun := 0, 0
		for _, a := range answers {
			c.Check(a.err, qt.IsNil, qt.Commentf("%s", key))
			switch a.outcome {
			case structs.OutcomeAnswered:
				answered++
				c.Check(a.body, qt.Equals, strings.Repeat(key, s.repeat), qt.Commentf("P5: response of another request or a part of one"))
			case structs.OutcomeNotRun:
				notRun++
			}
		}
		if notRun == len(answers) {
			c.Check(executions[key], qt.Equals, 0, qt.Commentf("P6: %s was reported as not run", key))
		}
		if answered > 0 {
			c.Check(executions[key] > 0, qt.IsTrue, qt.Commentf("%s was answered but has not run", key))
		}
		if atMostOnce {
			c.Check(executions[key] <= 1, qt.IsTrue, qt.Commentf("P7: %s ran %d times", key, executions[key]))
		}
	}
	for reason, n := range s.reasons() {
		c.Logf("%d times %s", n, reason)
	}
	c.Logf("%d keys, answered %d, not run %d, unknown %d", len(s.results), s.count(structs.OutcomeAnswered),
		s.count(structs.OutcomeNotRun), s.count(structs.OutcomeUnknown))
}

// Guards against a response that reaches another caller or is incomplete (P5), a request that is reported as not run but
// ran (P6), and a second run of a non-idempotent request (P7), when the connections between the entries and the agents
// drop all bytes, deliver late, are reset or are truncated during requests.
func TestConnectionFaultsDuringRequests(t *testing.T) {
	f := newFleet(t, 2)
	random := rand.New(rand.NewPCG(seed, 1))
	faults := map[string]func(*faultnet.Forwarder){
		"silence": func(n *faultnet.Forwarder) { n.Blackhole() },
		"cut":     func(n *faultnet.Forwarder) { n.Cut() },
		"late":    func(n *faultnet.Forwarder) { n.SetDelay(faultnet.ToClient, 1800*time.Millisecond) },
		// Requests in transit arrive after the entry has resolved them over a new connection.
		"late request": func(n *faultnet.Forwarder) { n.SetDelay(faultnet.ToServer, 2500*time.Millisecond) },
		"truncate": func(n *faultnet.Forwarder) {
			n.SetTruncate(faultnet.ToClient, int64(500+random.IntN(4000)))
			n.Cut()
		},
		"blackhole new": func(n *faultnet.Forwarder) {
			n.Blackhole()
			n.SetBlackholeNew(true)
		},
	}
	once, repeatable := newCallRecorder(f), newCallRecorder(f)
	// Responses of several kilobytes are truncated in their bodies as well as in their headers.
	once.repeat, repeatable.repeat = 400, 400
	for round, name := range []string{"late request", "silence", "late", "cut", "truncate", "late request", "blackhole new", "late", "late request"} {
		for i := range 16 {
			delay := map[string]string{"Standin-Delay-Ms": fmt.Sprint(random.IntN(500))}
			once.send(i%2, fmt.Sprintf("once-%d-%d", round, i), delay)
			again := map[string]string{structs.HeaderIdempotent: "true", "Standin-Delay-Ms": fmt.Sprint(random.IntN(500))}
			repeatable.send(i%2, fmt.Sprintf("repeatable-%d-%d", round, i), again)
		}
		time.Sleep(100 * time.Millisecond)
		link := f.hosts[round%2].requestLink
		faults[name](link)
		if round >= 4 {
			// The later rounds have faults on the links of both hosts.
			f.hosts[(round+1)%2].requestLink.Blackhole()
		}
		for i := range 8 {
			once.send(i%2, fmt.Sprintf("once-%d-%d", round, 100+i), nil)
		}
		time.Sleep(600 * time.Millisecond)
		link.SetDelay(faultnet.ToServer, 0)
		link.SetDelay(faultnet.ToClient, 0)
		link.SetTruncate(faultnet.ToClient, -1)
		link.SetBlackholeNew(false)
	}
	once.check(f.c, true)
	repeatable.check(f.c, false)
	f.c.Assert(once.count(structs.OutcomeAnswered) > 0, qt.IsTrue)
	f.c.Assert(repeatable.count(structs.OutcomeAnswered) > 0, qt.IsTrue)
}

// Guards against a second run of a non-idempotent request (P7) when its key arrives through two entries while the agent
// that runs it is paused or killed and restarted, or the store loses responses. The faults occur one by one and then
// together, in two rounds.
func TestOneKeyThroughTwoEntries(t *testing.T) {
	f := newFleet(t, 2)
	s := newCallRecorder(f)
	header := map[string]string{"Standin-Delay-Ms": "300", structs.HeaderTimeoutMillis: "4000"}
	const keys = 6
	sendThroughBoth := func(name string) {
		for i := range keys {
			for entry := range f.entries {
				s.send(entry, fmt.Sprintf("%s-%d", name, i), header)
			}
		}
	}
	for round := range 2 {
		victim, other := f.hosts[round], f.hosts[1-round]
		loseResponses := func(n int) { f.store.SetFaults(storetest.Faults{LoseResponses: n}) }
		name := func(what string) string { return fmt.Sprint(what, "-", round) }

		sendThroughBoth(name("frozen"))
		time.Sleep(150 * time.Millisecond)
		victim.pause()
		sendThroughBoth(name("while-frozen"))
		time.Sleep(2 * time.Second)
		sendThroughBoth(name("frozen")) // again, with the agent paused
		time.Sleep(500 * time.Millisecond)
		victim.resume()

		loseResponses(keys)
		sendThroughBoth(name("lost"))
		s.done.Wait()
		loseResponses(0)
		sendThroughBoth(name("lost"))

		sendThroughBoth(name("killed"))
		time.Sleep(150 * time.Millisecond)
		victim.kill()
		sendThroughBoth(name("killed")) // again, with the agent down
		victim.start()
		s.done.Wait()
		sendThroughBoth(name("killed")) // again, with the agent restarted

		loseResponses(keys)
		sendThroughBoth(name("together"))
		time.Sleep(100 * time.Millisecond)
		victim.pause()
		other.kill()
		sendThroughBoth(name("together"))
		other.start()
		victim.resume()
		s.done.Wait()
		sendThroughBoth(name("together"))
		s.done.Wait()
		loseResponses(0)
	}
	s.check(f.c, true)
	f.c.Assert(s.count(structs.OutcomeAnswered) > 0, qt.IsTrue)
}

// Guards against running a request that arrives at the agent after its resolve (P6, P7), when it was reported as not run
// or was sent again and has run. Its connection is closed later still, so that only the record of the resolve can keep
// the agent from running it.
func TestRequestArrivesAfterItsResolve(t *testing.T) {
	f := newFleet(t, 1)
	s := newCallRecorder(f)
	link := f.hosts[0].requestLink
	for round := range 2 {
		before := link.Counts().Forwarded[faultnet.ToServer]
		link.SetDelay(faultnet.ToServer, 4*time.Second)
		for i := range 8 {
			s.send(i%2, fmt.Sprintf("late-%d-%d", round, i), map[string]string{structs.HeaderTimeoutMillis: "10000"})
		}
		time.Sleep(2 * time.Second) // longer than the timeout after which entries abandon a silent connection
		link.SetDelay(faultnet.ToServer, 0)
		s.done.Wait()
		// Their resolves found that they had not run, so they were sent again or reported as not run.
		f.c.Assert(s.count(structs.OutcomeAnswered)+s.count(structs.OutcomeNotRun) > 0, qt.IsTrue)
		f.eventually("the late requests arrive", func() bool {
			return link.Counts().Forwarded[faultnet.ToServer] > before+8*300
		})
		time.Sleep(3 * time.Second)
	}
	s.check(f.c, true)
}
