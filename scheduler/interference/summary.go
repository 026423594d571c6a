package interference

import (
	"cmp"
	"slices"
	"time"
)

// Summary is the part of a Model that is stored in a shard's snapshot, so that a new owner starts with these estimates.
type Summary struct {
	Services []ServiceSummary `json:"services,omitempty"`
	Pairs    []PairSummary    `json:"pairs,omitempty"`
}

// ServiceSummary is the baseline latency of a service class.
type ServiceSummary struct {
	Service  string  `json:"service"`
	Millis   float64 `json:"millis"`
	Isolated bool    `json:"idle,omitempty"`
}

// PairSummary is the state of one pair of service and batch class.
type PairSummary struct {
	Service     string  `json:"service"`
	Batch       string  `json:"batch"`
	Coefficient float64 `json:"coefficient"`
	Share       float64 `json:"share"`
	Weight      float64 `json:"weight"`
	Known       bool    `json:"known,omitempty"`
	// BlockedMillis is the remaining time for which the pair is blocked, 0 if it isn't.
	BlockedMillis int64 `json:"blocked_millis,omitempty"`
	Stale         bool  `json:"stale,omitempty"`
	BackoffLevel  int   `json:"strikes,omitempty"`
}

// Export returns all services and at most maxPairs pairs in a fixed order. Blocked pairs are preferred, by remaining time,
// then pairs with the highest weight.
func (m *Model) Export(maxPairs int, now time.Time) Summary {
	var s Summary
	for service, b := range m.services {
		if b.millis > 0 {
			s.Services = append(s.Services, ServiceSummary{service, b.millis, b.isolated})
		}
	}
	slices.SortFunc(s.Services, func(a, b ServiceSummary) int { return cmp.Compare(a.Service, b.Service) })
	for key, p := range m.pairs {
		m.decay(p, now)
		out := PairSummary{
			Service: key.service, Batch: key.batch, Coefficient: p.coefficient, Share: p.meanShare,
			Weight: p.weight, Known: p.known, BackoffLevel: p.backoffLevel, Stale: now.Sub(p.lastSample) > staleAfter,
		}
		if p.blocked {
			out.BlockedMillis = max(1, p.blockedUntil.Sub(now).Milliseconds())
		}
		s.Pairs = append(s.Pairs, out)
	}
	slices.SortFunc(s.Pairs, func(a, b PairSummary) int {
		return cmp.Or(cmp.Compare(b.BlockedMillis, a.BlockedMillis), cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	s.Pairs = s.Pairs[:min(len(s.Pairs), max(maxPairs, 0))]
	return s
}

// Import replaces the model's estimates with those of a summary, as if it had been exported now. Entries beyond the size
// limits and entries with invalid values are skipped.
func (m *Model) Import(s Summary, now time.Time) {
	objectives := m.services
	m.lastAdvance = now
	m.services, m.pairs = map[string]*baseline{}, map[pairKey]*pair{}
	for _, in := range s.Services {
		if len(m.services) < MaxServices && in.Millis > 0 {
			m.services[in.Service] = &baseline{millis: in.Millis, isolated: in.Isolated}
		}
	}
	for service, b := range objectives {
		m.SetObjective(service, b.objectiveMillis)
	}
	for _, in := range s.Pairs {
		if len(m.pairs) >= MaxPairs || !(in.Coefficient >= 0 && in.Share >= 0 && in.Weight >= 0) {
			continue
		}
		sampled := now
		if in.Stale {
			sampled = time.Time{}
		}
		m.pairs[pairKey{in.Service, in.Batch}] = &pair{
			lastSample:  sampled,
			coefficient: min(in.Coefficient, maxCoefficient), meanShare: min(in.Share, 1), weight: min(in.Weight, maxWeight),
			decayedAt: now, known: in.Known, blocked: in.BlockedMillis > 0, backoffLevel: min(max(in.BackoffLevel, 0), maxBackoffLevel),
			blockedUntil: now.Add(min(time.Duration(max(in.BlockedMillis, 0))*time.Millisecond, m.config.BlockDuration<<maxBackoffLevel)),
		}
	}
}
