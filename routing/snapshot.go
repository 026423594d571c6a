package routing

import "time"

// Up to maxFullScan upstreams of a service are all scored. With more, only a sample of sampleSize is scored, half from the
// local failure domain and half from all domains, so that the cost of a choice doesn't depend on the size of the fleet.
const (
	maxFullScan = 64
	sampleSize  = 32
)

// Snapshot returns the candidates of a service. If there are more than maxFullScan upstreams, it holds a random sample unless
// complete is set.
func (t *Table) Snapshot(name string, complete bool) Snapshot {
	s := Snapshot{LocalDomain: t.opts.Domain, RemoteDelay: t.opts.RemoteDelay, FailurePenalty: t.opts.FailurePenalty}
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.services[name]
	if known == nil {
		s.Complete = true
		return s
	}
	if complete || len(known.all) <= maxFullScan {
		s.Complete = true
		// Choose takes the first of equal scores. Starting at a random upstream spreads the requests over all of them when
		// the fleet is idle.
		start := t.opts.IntN(len(known.all))
		s.Candidates = make([]Candidate, 0, len(known.all))
		s.Candidates = appendCandidates(s.Candidates, known.all[start:], now)
		s.Candidates = appendCandidates(s.Candidates, known.all[:start], now)
		return s
	}
	s.Candidates = make([]Candidate, 0, sampleSize)
	s.Candidates = t.sample(s.Candidates, known.local, sampleSize/2, now)
	s.Candidates = t.sample(s.Candidates, known.all, sampleSize-len(s.Candidates), now)
	return s
}

// sample appends n random upstreams, or all if there are at most n. Duplicates are harmless.
func (t *Table) sample(to []Candidate, from []*upstream, n int, now time.Time) []Candidate {
	if len(from) <= n {
		return appendCandidates(to, from, now)
	}
	for range n {
		to = append(to, from[t.opts.IntN(len(from))].candidate(now))
	}
	return to
}

func appendCandidates(to []Candidate, from []*upstream, now time.Time) []Candidate {
	for _, u := range from {
		to = append(to, u.candidate(now))
	}
	return to
}

func (u *upstream) candidate(now time.Time) Candidate {
	a := u.agent
	return Candidate{
		Agent: a.name, Incarnation: a.incarnation, Address: a.address, FailureDomain: a.domain,
		Slots: u.slots, OwnInFlight: u.ownInFlight, OtherInFlight: u.otherInFlight, ServiceTime: u.serviceTime, RoundTrip: a.roundTrip,
		FailureRate: u.currentFailureRate(now), Leaving: a.leaving || u.leaving,
		ValidUntil: a.validUntil, SuspectUntil: a.suspectUntil, upstream: u,
	}
}

// Choose takes a snapshot and chooses from it. If the snapshot is a sample without a usable upstream, it tries again with
// all upstreams.
func (t *Table) Choose(name string, tried []AgentID) (Candidate, Verdict) {
	now := t.opts.Clock.Now()
	s := t.Snapshot(name, false)
	i, verdict := Choose(s, tried, now)
	if i < 0 && !s.Complete {
		s = t.Snapshot(name, true)
		i, verdict = Choose(s, tried, now)
	}
	if i < 0 {
		return Candidate{}, verdict
	}
	return s.Candidates[i], Chosen
}
