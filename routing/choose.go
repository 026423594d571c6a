package routing

import (
	"math"
	"time"
)

// Candidate is one upstream as the choice sees it.
type Candidate struct {
	Agent         string
	Incarnation   string
	Address       string
	FailureDomain string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// OwnInFlight counts the requests of this entry that are at the upstream.
	OwnInFlight int
	// OtherInFlight counts the requests of other entries, from the newest report of the agent.
	OtherInFlight int
	// ServiceTime is the smoothed time that one request holds a slot.
	ServiceTime time.Duration
	// RoundTrip is the smoothed network delay, 0 when it has not been measured.
	RoundTrip time.Duration
	// FailureRate is the smoothed share of responses with a 5xx status, from 0 to 1.
	FailureRate float64
	Leaving     bool
	// ValidUntil is when the newest announcement lapses.
	ValidUntil time.Time
	// SuspectUntil is when suspicion by this entry ends.
	SuspectUntil time.Time

	upstream *upstream
}

// AgentID names the process behind a candidate. A restarted agent has another AgentID.
type AgentID struct{ Agent, Incarnation string }

// ID returns the identity of the candidate's agent process.
func (c Candidate) ID() AgentID { return AgentID{c.Agent, c.Incarnation} }

// Snapshot is what a choice is made from.
type Snapshot struct {
	LocalDomain string
	Candidates  []Candidate
	// Complete tells that Candidates holds all upstreams of the service and not a sample.
	Complete bool
	// RemoteDelay stands in for the round trip to a remote domain that has not been measured.
	RemoteDelay time.Duration
	// FailurePenalty is added to the score of an upstream whose responses are all errors. Without it an upstream that
	// fails at once looks like the fastest one and attracts all requests.
	FailurePenalty time.Duration
}

// Verdict says why a choice found no upstream.
type Verdict string

// The verdicts of a choice.
const (
	Chosen     Verdict = "chosen"
	NoUpstream Verdict = "no upstream is announced for the service"
	AllLeaving Verdict = "all upstreams of the service are leaving"
	AllExpired Verdict = "no upstream of the service has announced itself recently"
	AllTried   Verdict = "all upstreams of the service were tried"
)

// Choose returns the index of the upstream with the lowest score, or -1 and the reason. Suspected upstreams are taken
// only when no other is left: suspicion is an inference of this entry, while leaving is a statement of the agent.
func Choose(s Snapshot, tried []AgentID, now time.Time) (int, Verdict) {
	best, bestScore, bestSuspect := -1, math.Inf(1), true
	verdict := NoUpstream
	for i := range s.Candidates {
		c := &s.Candidates[i]
		if reason := exclude(c, tried, now); reason != Chosen {
			verdict = moreSpecific(verdict, reason)
			continue
		}
		suspect := now.Before(c.SuspectUntil)
		if suspect && !bestSuspect {
			continue
		}
		score := Score(&s, c)
		if best < 0 || (bestSuspect && !suspect) || score < bestScore {
			best, bestScore, bestSuspect = i, score, suspect
		}
	}
	if best < 0 {
		return -1, verdict
	}
	return best, Chosen
}

func exclude(c *Candidate, tried []AgentID, now time.Time) Verdict {
	switch {
	case c.Leaving:
		return AllLeaving
	case now.After(c.ValidUntil):
		return AllExpired
	}
	for _, id := range tried {
		if id.Agent == c.Agent && id.Incarnation == c.Incarnation {
			return AllTried
		}
	}
	return Chosen
}

// moreSpecific returns the verdict that tells the caller more when upstreams are excluded for different reasons.
func moreSpecific(a, b Verdict) Verdict {
	order := func(v Verdict) int {
		switch v {
		case AllTried:
			return 3
		case AllLeaving:
			return 2
		case AllExpired:
			return 1
		default:
			return 0
		}
	}
	if order(b) > order(a) {
		return b
	}
	return a
}

// Score estimates the delay, in seconds, that a request meets at an upstream before it runs.
func Score(s *Snapshot, c *Candidate) float64 {
	slots := max(c.Slots, 1)
	wait := float64(c.OwnInFlight+c.OtherInFlight) / float64(slots) * c.ServiceTime.Seconds()
	delay := 0.0
	if c.FailureDomain != s.LocalDomain {
		delay = s.RemoteDelay.Seconds()
		if c.RoundTrip > 0 {
			delay = c.RoundTrip.Seconds()
		}
	}
	return wait + delay + c.FailureRate*s.FailurePenalty.Seconds()
}
