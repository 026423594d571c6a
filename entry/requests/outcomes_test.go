package requests

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/rapidtest"
)

// TestMain limits the checks and steps of rapid, because each step takes real time.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "20261204", "checks": "25", "steps": "20"})
}

// fleetModel is a small fleet, together with a model of the requests that were sent to it.
type fleetModel struct {
	t        *testing.T
	kv       *storetest.Store
	entries  []*testEntry
	agents   []*forwardtest.Agent
	sequence int64

	mu   sync.Mutex
	keys []*keyUse
}

// keyUse records the requests with one idempotency key. Their body is the key.
type keyUse struct {
	key string
	// once reports that the request is not idempotent.
	once bool
	// answered reports that a response arrived, open that the outcome of a request was unknown, so that it may have run.
	answered, open bool
	uses           int
}

func newFleetModel(t *testing.T) *fleetModel {
	m := &fleetModel{t: t, kv: storetest.New(clock.System{})}
	for range 2 {
		m.entries = append(m.entries, newEntry(t, m.kv, func(s *Settings) {
			s.Silence, s.ResolveTimeout, s.SuspectFor = 40*time.Millisecond, 100*time.Millisecond, 50*time.Millisecond
			s.RetryPerSecond, s.DefaultHedge, s.MinHedge = 1000, 20*time.Millisecond, time.Millisecond
			s.RecordsPerSecond = 10_000
		}))
	}
	for i := range 2 {
		m.agents = append(m.agents, newAgent(t, fmt.Sprint("agent-", i)))
	}
	m.announce(false, false)
	return m
}

// announce announces the agents to the entries, the first one as leaving if leaving is set. If stale is set, only the first
// entry gets the announcements.
func (m *fleetModel) announce(leaving, stale bool) {
	m.sequence++
	for i, agent := range m.agents {
		announcement := agent.Announcement("price", m.sequence)
		announcement.Leaving = leaving && i == 0
		for j, e := range m.entries {
			if j == 0 || !stale {
				e.announce(m.t, announcement)
			}
		}
	}
}

func (m *fleetModel) runs(body string) (total int) {
	for _, agent := range m.agents {
		total += agent.RunsOf(body)
	}
	return total
}

// send sends a request and checks its response against the number of runs that the agents counted.
func (m *fleetModel) send(entry int, use *keyUse) error {
	method := http.MethodPut
	if use.once {
		method = http.MethodPost
	}
	response, body := m.entries[entry].call(m.t, method, "/s/price/p", use.key, structs.HeaderIdempotencyKey, use.key,
		structs.HeaderTimeoutMillis, "600")
	runs := m.runs(use.key)
	m.mu.Lock()
	defer m.mu.Unlock()
	use.uses++
	switch got := structs.Outcome(response.Header.Get(structs.HeaderOutcome)); got {
	case structs.OutcomeAnswered:
		use.answered = true
		if body != "/p:"+use.key {
			return fmt.Errorf("%s got the response %q", use.key, body)
		}
		if runs == 0 {
			return fmt.Errorf("%s was answered without a run", use.key)
		}
	case structs.OutcomeNotRun:
	case structs.OutcomeUnknown:
		use.open = true
	default:
		return fmt.Errorf("%s got status %d without an outcome", use.key, response.StatusCode)
	}
	return nil
}

// check compares the number of runs of each key with the outcomes that the callers got.
func (m *fleetModel) check() error {
	for _, e := range m.entries {
		e.forwarder.Wait()
	}
	for _, use := range m.keys {
		runs := m.runs(use.key)
		if use.once && runs > 1 {
			return fmt.Errorf("%s ran %d times", use.key, runs)
		}
		if !use.answered && !use.open && runs > 0 {
			return fmt.Errorf("%s ran, but all of its %d callers were told that it did not", use.key, use.uses)
		}
	}
	return nil
}

// Guards against a wrong or missing response (P5), the outcome not-run for a request that ran (P6), and a non-idempotent
// request that runs twice (P7). It injects random faults of agents, connections, announcements and the store, and reuses
// keys, also at two entries at the same time.
func TestRequestOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newFleetModel(t)
		draw := func(name string, below int) int { return rapid.IntRange(0, below-1).Draw(rt, name) }
		faults := func() {
			for _, agent := range m.agents {
				fault := forwardtest.Fault(draw("fault", forwardtest.FaultCount))
				if fault == forwardtest.RunOnRelease {
					fault = forwardtest.NoFault
				}
				agent.ScriptFaults(fault, forwardtest.Fault(draw("second fault", int(forwardtest.Truncate))))
			}
		}
		use := func() *keyUse {
			if n := len(m.keys); n > 0 && draw("again", 3) == 0 {
				return m.keys[draw("key", n)]
			}
			m.keys = append(m.keys, &keyUse{key: fmt.Sprint("key-", len(m.keys)), once: draw("once", 3) > 0})
			return m.keys[len(m.keys)-1]
		}
		fail := func(err error) {
			if err != nil {
				rt.Fatal(err)
			}
		}
		request := func(*rapid.T) {
			faults()
			fail(m.send(draw("entry", 2), use()))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"request": request, "another request": request,
			"same key at once": func(*rapid.T) {
				faults()
				u := use()
				errs := make(chan error, 2)
				for entry := range 2 {
					go func() { errs <- m.send(entry, u) }()
				}
				first, second := <-errs, <-errs
				fail(first)
				fail(second)
			},
			"store fault": func(*rapid.T) {
				m.kv.SetPutFaults(storetest.WriteFault(draw("store fault", storetest.WriteFaults)))
				m.kv.SetFaults(storetest.Faults{ReadsDown: draw("reads", 4) == 0})
			},
			"late writes": func(*rapid.T) { m.kv.ReleaseHeld() },
			"restart": func(*rapid.T) {
				m.agents[draw("agent", 2)].Restart()
				m.announce(false, draw("stale", 2) == 0)
			},
			"leave or return": func(*rapid.T) { m.announce(draw("leaving", 2) == 0, false) },
			"mute":            func(*rapid.T) { m.agents[draw("agent", 2)].SilenceOpenConnections() },
			"lost resolves":   func(*rapid.T) { m.agents[draw("agent", 2)].DropResolves(draw("resolves", 5)) },
		})
		fail(m.check())
	})
}
