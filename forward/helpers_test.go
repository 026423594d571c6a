package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/routing"
)

const testSilence = 100 * time.Millisecond

// fleet is a Forwarder with fake agents.
type fleet struct {
	*Forwarder
	table  *routing.Table
	agents []*forwardtest.Agent
}

func newFleet(t testing.TB, agents int, budget *limit.RetryBudget) *fleet {
	t.Helper()
	table := routing.NewTable(routing.Options{
		Domain: "patan", Clock: clock.System{}, Pacing: routing.AnnouncePacing{Min: time.Minute, Max: time.Minute},
		DefaultServiceTime: time.Millisecond,
	})
	pool := NewPool(PoolOptions{
		InactivityTimeout: testSilence, DialTimeout: time.Second, ProbeEvery: 20 * time.Millisecond, ProbeTimeout: testSilence,
		IdleTimeout: time.Minute, MaxPerAddress: 64, MaxIdle: 64,
	})
	f := &fleet{table: table, Forwarder: New(Options{
		Pool: pool, Table: table, Budget: budget, Latencies: NewLatencyTracker(time.Minute), Metrics: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""), Incarnation: "entry-1", ResolveTimeout: time.Second, SuspectFor: time.Second, MaxCleanups: 8,
	})}
	t.Cleanup(func() {
		f.Wait()
		pool.Close()
	})
	for i := range agents {
		agent, err := forwardtest.New(string(rune('a' + i)))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(agent.Close)
		f.agents = append(f.agents, agent)
		f.announce(t, agent, 1)
	}
	return f
}

func (f *fleet) announce(t testing.TB, agent *forwardtest.Agent, sequence int64) {
	announcement := agent.Announcement("price", sequence)
	_, err := f.table.Apply(&announcement, 100)
	qt.Assert(t, err, qt.IsNil)
}

// scriptFaults sets the faults of the next attempts in order of arrival at any agent. Later attempts have none.
func (f *fleet) scriptFaults(script ...forwardtest.Fault) {
	var mu sync.Mutex
	next := 0
	for _, agent := range f.agents {
		agent.FaultFor = func(int) forwardtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			next++
			if next > len(script) {
				return forwardtest.NoFault
			}
			return script[next-1]
		}
	}
}

// runCount returns how often the upstreams of all agents ran with a body.
func (f *fleet) runCount(body string) (total int) {
	for _, agent := range f.agents {
		total += agent.RunsOf(body)
	}
	return total
}

// attemptsReceived returns the number of attempts that arrived at all agents.
func (f *fleet) attemptsReceived() (total int) {
	for _, agent := range f.agents {
		total += agent.AttemptsReceived()
	}
	return total
}

func largeRetryBudget() *limit.RetryBudget { return limit.NewRetryBudget(1, 1000) }

func request(body string, idempotent bool, timeout time.Duration) *Request {
	return &Request{
		Service: "price", Method: http.MethodPost, Path: "/p", Body: []byte(body), Idempotent: idempotent,
		Header: http.Header{"Idempotency-Key": {"k"}}, Deadline: time.Now().Add(timeout),
	}
}

// acceptingAssigner accepts every attempt and counts them.
type acceptingAssigner struct{ count int }

func (a *acceptingAssigner) Assign(context.Context, Target, string) error {
	a.count++
	return nil
}

func (f *fleet) doNonIdempotent(t testing.TB, body string) Result {
	t.Helper()
	return f.Do(t.Context(), request(body, false, 5*time.Second), &acceptingAssigner{})
}

// processID returns the ID of an agent's current process.
func (f *fleet) processID(t testing.TB, agent *forwardtest.Agent) routing.AgentID {
	t.Helper()
	for _, c := range f.table.Snapshot("price", true).Candidates {
		if c.Agent == agent.Name {
			return c.ID()
		}
	}
	t.Fatalf("agent %s is not announced", agent.Name)
	return routing.AgentID{}
}
