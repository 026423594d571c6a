package routing

import (
	"math"
	"time"
)

// Candidate is the state of one upstream at the time of a choice.
type Candidate struct {
	Agent         string
	Incarnation   string
	Address       string
	FailureDomain string
	// Slots is how many requests the upstream runs at once.
	Slots int
	// OwnInFlight counts the requests of this entry that are at the upstream.
	OwnInFlight int
	// OtherInFlight counts the requests of other entries at the upstream, according to the agent's latest report.
	OtherInFlight int
	// ServiceTime is the moving average of the time that a request occupies a slot.
	ServiceTime time.Duration
	// RoundTrip is the moving average of the network round trip, or 0 if it hasn't been measured.
	RoundTrip time.Duration
	// FailureRate is the moving average of the share of 5xx responses, from 0 to 1. It decays over time.
	FailureRate float64
	Leaving     bool
	// ValidUntil is when the latest announcement expires.
	ValidUntil time.Time
	// SuspectUntil is when this entry stops avoiding the agent as suspected.
	SuspectUntil time.Time

	upstream *upstream
}

// AgentID identifies one process of an agent. It changes when the agent restarts.
type AgentID struct{ Agent, Incarnation string }

// ID returns the identity of the candidate's agent process.
func (c Candidate) ID() AgentID { return AgentID{c.Agent, c.Incarnation} }

// Snapshot is the input of a choice.
type Snapshot struct {
	LocalDomain string
	Candidates  []Candidate
	// Complete reports that Candidates holds all upstreams of the service, not just a sample.
	Complete bool
	// RemoteDelay is the assumed round trip to another failure domain until it has been measured.
	RemoteDelay time.Duration
	// FailurePenalty is added to the score of an upstream in proportion to its failure rate. Without it, an upstream that
	// fails at once would look like the fastest one and attract all requests.
	FailurePenalty time.Duration
}

// Verdict is the result of a choice: Chosen, or the reason why no upstream was chosen.
type Verdict string

// The verdicts of a choice.
const (
	Chosen     Verdict = "chosen"
	NoUpstream Verdict = "no upstream is announced for the service"
	AllLeaving Verdict = "all upstreams of the service are leaving"
	AllExpired Verdict = "no upstream of the service has announced itself recently"
	AllTried   Verdict = "all upstreams of the service were tried"
)

// Choose returns the index of the candidate with the lowest score, or -1 and the reason. Upstreams that are leaving are
// never chosen, because their agents have said so. Suspicion is only inferred by this entry, so suspected upstreams are
// still chosen if there is no other.
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

// moreSpecific returns the verdict that is more useful to the caller if upstreams are excluded for different reasons.
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

// Score estimates the delay in seconds before a request starts at the candidate, from its load and the network round trip,
// plus the failure penalty.
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
