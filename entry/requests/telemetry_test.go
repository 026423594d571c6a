package requests

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/settings"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/test/poll"
)

// Guards against hops without a span, spans outside the caller's trace, and outcomes that aren't counted.
func TestSpansAndCounters(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	scope := tally.NewTestScope("", nil)
	e := newEntryWith(t, storetest.New(clock.System{}), nil, func(c *kernel.Context) {
		c.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("")
		c.Metrics = scope
	})
	agent := newAgent(t, "a", e)
	agent.ScriptFaults(forwardtest.RunThenClose)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	response, _ := e.call(t, http.MethodPost, "/s/price/p", "", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	qt.Assert(t, outcome(response), qt.Equals, "200 answered")
	poll.Until(t, "all spans have ended", func() bool { return len(spans.Ended()) == 4 })
	parents := map[string]string{}
	names := map[string]string{}
	for _, span := range spans.Ended() {
		qt.Assert(t, span.SpanContext().TraceID().String(), qt.Equals, trace)
		names[span.SpanContext().SpanID().String()] = span.Name()
	}
	for _, span := range spans.Ended() {
		parents[span.Name()] = names[span.Parent().SpanID().String()]
	}
	qt.Assert(t, parents, qt.DeepEquals, map[string]string{
		"request": "", "assign": "request", "attempt": "request", "resolve": "attempt",
	})
	qt.Assert(t, agent.LastHeaders().Get("Traceparent"), qt.Matches, "00-"+trace+"-.*-01")
	counters := scope.Snapshot().Counters()
	qt.Assert(t, counters["requests.outcomes+outcome=answered"].Value(), qt.Equals, int64(1))
	qt.Assert(t, counters["forward.resolves+"].Value(), qt.Equals, int64(1))
	qt.Assert(t, counters["forward.faults+kind=broken"].Value(), qt.Equals, int64(1))
}

// Guards against defaults that contradict each other, and against accepting contradictory settings.
func TestSettings(t *testing.T) {
	for text, want := range map[string]string{
		"": "",
		"announce_min=10s\nannounce_max=5s\nmin_hedge=2s\nmax_in_flight=0\n":  `(?s).*max_in_flight: 0 is below the minimum 1`,
		"announce_min=10s\nannounce_max=5s\nmin_hedge=2s\ndefault_hedge=1s\n": `(?s).*announce_max: 5s is below.*default_hedge: 1s is below.*`,
	} {
		file, err := settings.Parse("test.ini", []byte("[entry.requests]\n"+text))
		qt.Assert(t, err, qt.IsNil)
		var got Settings
		file.Decode("entry.requests", &got)
		if want == "" {
			qt.Assert(t, file.Err(), qt.IsNil)
			continue
		}
		qt.Assert(t, file.Err(), qt.ErrorMatches, want)
	}
}
