package ingress

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// event is a kind of refusal or of a closed connection.
type event int

const (
	bodyRefused event = iota
	bodyEvicted
	bodyStalled
	bodyTooLong
	headerTooLong
	responseStalled
	connectionRefused
	idleClosed
	incompleteClosed
	eventKinds
)

var eventNames = [eventKinds]string{
	bodyRefused: "bodies_refused", bodyEvicted: "bodies_evicted", bodyStalled: "bodies_stalled", bodyTooLong: "bodies_too_long",
	headerTooLong: "headers_too_long", responseStalled: "responses_stalled", connectionRefused: "connections_refused", idleClosed: "idle_connections_closed",
	incompleteClosed: "incomplete_connections_closed",
}

// logInterval is the least time between two log lines about one kind of event.
const logInterval = 10 * time.Second

// events counts events and logs at most one of each kind per logInterval.
type events struct {
	log      hclog.Logger
	counters [eventKinds]tally.Counter
	limiter  *logLimiter
}

// logLimiter limits how often each kind of event is logged.
type logLimiter struct {
	mu sync.Mutex
	// last is when each kind of event was last logged, and unlogged is how many have occurred since.
	last     [eventKinds]time.Time
	unlogged [eventKinds]int64
}

func newEvents(log hclog.Logger, scope tally.Scope) events {
	e := events{log: log, limiter: &logLimiter{}}
	for kind, name := range eventNames {
		e.counters[kind] = scope.Counter(name)
	}
	return e
}

func (e *events) record(kind event, args ...any) {
	e.counters[kind].Inc(1)
	now := time.Now()
	e.limiter.mu.Lock()
	suppress := now.Sub(e.limiter.last[kind]) < logInterval
	unlogged := e.limiter.unlogged[kind]
	if suppress {
		e.limiter.unlogged[kind]++
	} else {
		e.limiter.last[kind], e.limiter.unlogged[kind] = now, 0
	}
	e.limiter.mu.Unlock()
	if !suppress {
		e.log.Warn("incoming requests limited", append([]any{"kind", eventNames[kind], "since_last_line", unlogged}, args...)...)
	}
}
