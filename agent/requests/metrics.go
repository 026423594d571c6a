package requests

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"

	"github.com/quetzalshed/quetzalshed/structs"
)

// metrics holds the metrics of the module.
type metrics struct {
	scope       tally.Scope
	serviceTime tally.Timer
	// requests holds a counter for each outcome and reason, and resolved one for each state. All of these are constants, so
	// the number of counters is bounded.
	requests              sync.Map
	resolved              sync.Map
	registrationsRejected tally.Counter
	records               tally.Gauge
	retainedAnswers       tally.Gauge
	retainedBytes         tally.Gauge
	running               tally.Gauge
	queued                tally.Gauge
	// responseBytes is the memory of the responses that are being read or written; responsesWaiting is the number of
	// responses that wait for memory.
	responseBytes, responsesWaiting tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("agent_requests")
	return &metrics{
		scope: scope, serviceTime: scope.Timer("service_time"), registrationsRejected: scope.Counter("registrations_rejected"),
		records: scope.Gauge("records"), retainedAnswers: scope.Gauge("retained_answers"), retainedBytes: scope.Gauge("retained_bytes"),
		running: scope.Gauge("running"), queued: scope.Gauge("queued"),
		responseBytes: scope.Gauge("response_bytes"), responsesWaiting: scope.Gauge("responses_waiting"),
	}
}

func (m *metrics) count(r result) {
	m.counter(&m.requests, "requests", map[string]string{"outcome": string(r.outcome), "reason": r.reason},
		string(r.outcome)+"/"+r.reason).Inc(1)
}

func (m *metrics) countResolved(s state) {
	m.counter(&m.resolved, "resolved", map[string]string{"state": s.String()}, s.String()).Inc(1)
}

func (m *metrics) counter(cache *sync.Map, name string, tags map[string]string, key string) tally.Counter {
	if found, ok := cache.Load(key); ok {
		return found.(tally.Counter)
	}
	found, _ := cache.LoadOrStore(key, m.scope.Tagged(tags).Counter(name))
	return found.(tally.Counter)
}

func outcomeAttributes(r result) []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("outcome", string(r.outcome)), attribute.String("reason", r.reason)}
}

// attemptAttributes returns the span attributes of an attempt.
func attemptAttributes(a *attempt) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("attempt", a.id), attribute.String("service", a.service),
		attribute.String("priority", string(a.priority)), attribute.String("method", a.method),
	}
}

// loadHeader returns the value of HeaderLoad for an upstream.
func loadHeader(l structs.Upstream) string {
	return "running=" + itoa(l.Running) + ";queued=" + itoa(l.Queued) + ";slots=" + itoa(l.Slots)
}
