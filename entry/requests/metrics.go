package requests

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/structs"
)

// metrics holds the metrics of the caller API. They aren't tagged by service, because callers choose the names of services
// and their number is unbounded.
type metrics struct {
	scope    tally.Scope
	outcomes map[structs.Outcome]tally.Counter
	latency  tally.Histogram
	limited  tally.Counter
	// callerLimited and serviceLimited count requests that exceeded the rate of their caller or service.
	callerLimited, serviceLimited tally.Counter
	// memoryLimited counts the requests in limited whose body didn't fit into the memory.
	memoryLimited tally.Counter
	draining      tally.Counter
	malformed     tally.Counter
	followed      tally.Counter
	// recordsFailed counts requests rejected because their at-most-once record could not be written, recordsLimited those
	// that exceeded the rate of records.
	recordsFailed, recordsLimited tally.Counter

	announced tally.Counter
	stale     tally.Counter
	refused   tally.Counter
	// otherFleet counts announcements by agents of another fleet.
	otherFleet tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	s := scope.SubScope("requests")
	m := &metrics{
		scope: s, outcomes: map[structs.Outcome]tally.Counter{},
		// 24 buckets from 1 ms with a growth factor of 1.5 cover latencies up to 11 s.
		latency: s.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 24)),
		limited: s.Counter("limited"), memoryLimited: s.Counter("memory_limited"),
		callerLimited: s.Counter("caller_limited"), serviceLimited: s.Counter("service_limited"),
		draining: s.Counter("draining"), malformed: s.Counter("malformed"),
		followed: s.Counter("followed_records"), recordsFailed: s.Counter("records_failed"),
		recordsLimited: s.Counter("records_limited"),
		announced:      s.Counter("announcements"), stale: s.Counter("announcements_stale"),
		refused: s.Counter("announcements_refused"), otherFleet: s.Counter("announcements_other_fleet"),
	}
	for _, outcome := range []structs.Outcome{structs.OutcomeAnswered, structs.OutcomeNotRun, structs.OutcomeUnknown} {
		m.outcomes[outcome] = s.Tagged(map[string]string{"outcome": string(outcome)}).Counter("outcomes")
	}
	return m
}

// gaugeInterval is how often gauges are updated.
const gaugeInterval = time.Second

func (m *Module) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	s := m.metrics.scope
	running, waiting, agents := s.Gauge("running"), s.Gauge("waiting"), s.Gauge("agents")
	held := s.Gauge("held_bytes")
	open, idle := s.Gauge("connections_open"), s.Gauge("connections_idle")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r, w := m.inFlight.Counts()
			o, i := m.pool.Counts()
			running.Update(float64(r))
			waiting.Update(float64(w))
			held.Update(float64(m.memory.Used()))
			agents.Update(float64(m.table.Agents()))
			open.Update(float64(o))
			idle.Update(float64(i))
		}
	}
}
