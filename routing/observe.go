package routing

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// smoothing is the weight of a new sample in exponential moving averages.
const smoothing = 0.1

// Load is the load of an upstream, which its agent reports with each response.
type Load struct{ Running, Queued, Slots int }

// ParseLoad parses the value of the Quetzalshed-Load header, which has the form running=n;queued=n;slots=n.
func ParseLoad(text string) (Load, bool) {
	var load Load
	fields := map[string]*int{"running": &load.Running, "queued": &load.Queued, "slots": &load.Slots}
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		target := fields[name]
		number, err := strconv.Atoi(value)
		if target == nil || err != nil || number < 0 || number > maxSlots {
			return Load{}, false
		}
		*target = number
		delete(fields, name)
	}
	return load, len(fields) == 0
}

// RequestTracker counts one request as in flight at an upstream until Done is called.
type RequestTracker struct {
	table           *Table
	upstream        *upstream
	inFlightAtStart int
	done            bool
}

// Begin counts a request as in flight at the chosen candidate until RequestTracker.Done is called.
func (t *Table) Begin(c Candidate) *RequestTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.upstream.ownInFlight++
	return &RequestTracker{table: t, upstream: c.upstream, inFlightAtStart: c.upstream.ownInFlight + c.upstream.otherInFlight}
}

// Observation is what a finished request reveals about its upstream.
type Observation struct {
	// Answered reports that the upstream ran the request. Failed, which reports a 5xx status, and Latency are only valid
	// in this case.
	Answered bool
	Failed   bool
	Latency  time.Duration
	// Load is the reported load, or nil if the response had none.
	Load *Load
}

// Done stops counting the request and records the observation. Later calls have no effect.
func (k *RequestTracker) Done(o Observation) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.done {
		return
	}
	k.done = true
	u := k.upstream
	u.ownInFlight--
	if o.Load != nil {
		u.otherInFlight = max(0, o.Load.Running+o.Load.Queued-u.ownInFlight)
		if o.Load.Slots > 0 {
			u.slots = o.Load.Slots
		}
	}
	if !o.Answered {
		return
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	} else {
		u.serviceTime = smooth(u.serviceTime, ServiceTimeSample(o.Latency, u.agent.roundTrip, k.inFlightAtStart, u.slots))
	}
	now := k.table.opts.Clock.Now()
	rate := u.currentFailureRate(now)
	u.failureRate, u.failureAt = rate+smoothing*(failed-rate), now
}

// The failure rate decays over time, because an upstream that is avoided gets no requests that could show its recovery.
// After a single failure it takes 13 s until the rate drops to minFailureRate, below which it counts as 0.
const (
	failureHalfLife = 2 * time.Second
	minFailureRate  = 0.001
)

func (u *upstream) currentFailureRate(now time.Time) float64 {
	if u.failureRate == 0 {
		return 0
	}
	rate := u.failureRate * math.Exp2(-now.Sub(u.failureAt).Seconds()/failureHalfLife.Seconds())
	if rate < minFailureRate {
		return 0
	}
	return rate
}

// ServiceTimeSample estimates how long a request occupied a slot, given its latency and the number of requests in flight
// when it was sent. If these exceeded the slots, part of the latency was spent waiting for a slot.
func ServiceTimeSample(latency, roundTrip time.Duration, inFlight, slots int) time.Duration {
	turns := max(1, float64(inFlight)/float64(max(slots, 1)))
	return time.Duration(float64(max(latency-roundTrip, 0)) / turns)
}

func smooth(average, sample time.Duration) time.Duration {
	return average + time.Duration(smoothing*float64(sample-average))
}

// Suspect makes this entry avoid an agent process for the given duration.
func (t *Table) Suspect(id AgentID, duration time.Duration) {
	until := t.opts.Clock.Now().Add(duration)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.agents[id.Agent]; a != nil && a.incarnation == id.Incarnation {
		a.suspectUntil = until
	}
}

// ClearSuspicion ends the suspicion of an agent process. Call it when the process has replied.
func (t *Table) ClearSuspicion(id AgentID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.agents[id.Agent]; a != nil && a.incarnation == id.Incarnation {
		a.suspectUntil, a.overdueAttempts = time.Time{}, 0
	}
}

// maxOverdueAttempts is the number of consecutive attempts without a reply after which an agent is suspected. Occasional
// slow requests are normal, but without this limit a paused agent would keep getting requests until its connections are
// detected as silent.
const maxOverdueAttempts = 3

// RecordOverdue records that an attempt was abandoned before the agent replied, because another agent was faster. After
// maxOverdueAttempts of them without a reply in between, the agent is suspected for the given duration.
func (t *Table) RecordOverdue(id AgentID, duration time.Duration) {
	until := t.opts.Clock.Now().Add(duration)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[id.Agent]
	if a == nil || a.incarnation != id.Incarnation {
		return
	}
	if a.overdueAttempts++; a.overdueAttempts >= maxOverdueAttempts {
		a.overdueAttempts, a.suspectUntil = 0, until
	}
}

// ObserveRoundTrip records a measured network round trip to the agent at the address.
func (t *Table) ObserveRoundTrip(address string, measured time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byAddress[address]; a != nil {
		a.observeRoundTrip(measured)
	}
}

func (a *agent) observeRoundTrip(measured time.Duration) {
	if a.roundTrip == 0 {
		a.roundTrip = measured
		return
	}
	a.roundTrip = smooth(a.roundTrip, measured)
}
