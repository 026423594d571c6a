package routing

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// smoothing is the weight of a new sample in moving averages.
const smoothing = 0.1

// Load is what an agent reports of an upstream with each response.
type Load struct{ Running, Queued, Slots int }

// ParseLoad reads the value of the header Quetzalshed-Load: running=n;queued=n;slots=n.
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

// RequestTracker counts one request as in flight at an upstream.
type RequestTracker struct {
	table           *Table
	upstream        *upstream
	inFlightAtStart int
	done            bool
}

// Begin counts a request as in flight at a chosen candidate, until Done.
func (t *Table) Begin(c Candidate) *RequestTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.upstream.ownInFlight++
	return &RequestTracker{table: t, upstream: c.upstream, inFlightAtStart: c.upstream.ownInFlight + c.upstream.otherInFlight}
}

// Observation is what a finished request tells about its upstream.
type Observation struct {
	// Answered tells that the upstream ran the request, in Latency, and whether it Failed with a 5xx status.
	Answered bool
	Failed   bool
	Latency  time.Duration
	// Load is set when the response carried one.
	Load *Load
}

// Done ends the count and records what was observed. Only the first call counts.
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

// Failures are forgotten with time, since an upstream that is avoided gets no request that could show its recovery. From
// the rate after one failure it takes 13 s until the upstream counts as faultless again.
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

// ServiceTimeSample estimates how long a request held a slot, given its latency and the requests that were outstanding
// when it was sent: beyond the slots, requests wait in turn.
func ServiceTimeSample(latency, roundTrip time.Duration, inFlight, slots int) time.Duration {
	turns := max(1, float64(inFlight)/float64(max(slots, 1)))
	return time.Duration(float64(max(latency-roundTrip, 0)) / turns)
}

func smooth(average, sample time.Duration) time.Duration {
	return average + time.Duration(smoothing*float64(sample-average))
}

// Suspect keeps requests from an agent process for a while.
func (t *Table) Suspect(id AgentID, duration time.Duration) {
	until := t.opts.Clock.Now().Add(duration)
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.agents[id.Agent]; a != nil && a.incarnation == id.Incarnation {
		a.suspectUntil = until
	}
}

// ClearSuspicion ends the suspicion of an agent process after it has answered.
func (t *Table) ClearSuspicion(id AgentID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.agents[id.Agent]; a != nil && a.incarnation == id.Incarnation {
		a.suspectUntil, a.overdueAttempts = time.Time{}, 0
	}
}

// maxOverdueAttempts is how many attempts in a row may end without a reply before the agent is suspected. Single slow requests
// are normal; without the limit a paused agent keeps getting requests until its connections count as silent.
const maxOverdueAttempts = 3

// RecordOverdue notes that an attempt was abandoned without a reply, because another agent was faster. After some in a row
// without a reply of the agent between them it is suspected for a while.
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

// ObserveRoundTrip records a measured network round trip to the agent at an address.
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
