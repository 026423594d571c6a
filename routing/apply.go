package routing

import (
	"errors"
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Errors of Apply.
var (
	// ErrStale means that the same announcement or a newer one of the agent has already been applied.
	ErrStale = errors.New("routing: announcement is older than a known one")
	// ErrInvalid means that a required field is missing or out of range.
	ErrInvalid = errors.New("routing: invalid announcement")
	// ErrFull means that the table has reached its limit of agents or memory.
	ErrFull = errors.New("routing: table is full")
)

// ApplyResult reports what an announcement changed and when the next one is due.
type ApplyResult struct {
	// NextAfter is the delay until the agent should announce itself again if nothing changes.
	NextAfter time.Duration
	// New reports that this process of the agent was not known before.
	New bool
	// LeavingChanged reports that the agent or one of its upstreams started or stopped leaving, or that an upstream was
	// removed.
	LeavingChanged bool
}

// Apply applies an announcement, whose message took size bytes on the wire.
func (t *Table) Apply(a *structs.Announcement, size int) (ApplyResult, error) {
	if !valid(a) {
		return ApplyResult{}, ErrInvalid
	}
	now := t.opts.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeSilentAgents(now)
	known := t.agents[a.Agent]
	if known != nil && isStale(a, known) {
		return ApplyResult{NextAfter: t.opts.Pacing.interval(t.messageBytes)}, ErrStale
	}
	memory := estimateMemory(a)
	if !t.hasRoom(known, memory) {
		return ApplyResult{}, ErrFull
	}
	result := ApplyResult{New: known == nil || known.incarnation != a.Incarnation}
	if result.New {
		known = t.replaceAgent(known, a)
	}
	result.LeavingChanged = known.leaving != a.Leaving
	known.sequence, known.leaving = a.Sequence, a.Leaving
	t.setSizes(known, size, memory)
	t.setAddress(known, a.Address)
	result.LeavingChanged = t.applyUpstreams(known, a) || result.LeavingChanged
	result.NextAfter = t.opts.Pacing.interval(t.messageBytes)
	known.validUntil = now.Add(t.opts.Pacing.validity(result.NextAfter))
	return result, nil
}

// hasRoom reports whether an announcement fits into the table. known is the agent as the table holds it, or nil. An
// announcement that takes no more memory than the previous one of the agent always fits.
func (t *Table) hasRoom(known *agent, memory int) bool {
	if known == nil {
		return len(t.agents) < MaxAgents && t.memory+memory <= maxTableBytes
	}
	return t.memory+memory-known.memory <= maxTableBytes
}

// replaceAgent adds the agent process of an announcement and removes the previous process of the agent, if there is one.
func (t *Table) replaceAgent(previous *agent, a *structs.Announcement) *agent {
	if previous != nil {
		t.removeAgent(previous)
	}
	added := &agent{name: a.Agent, incarnation: a.Incarnation, started: a.StartedUnixNano, upstreams: map[string]*upstream{}}
	t.agents[a.Agent] = added
	return added
}

// setSizes sets the size of an agent's announcement on the wire and in the table.
func (t *Table) setSizes(a *agent, messageBytes, memory int) {
	t.messageBytes += messageBytes - a.messageBytes
	t.memory += memory - a.memory
	a.messageBytes, a.memory = messageBytes, memory
}

// setAddress sets the address of an agent. If the address changes, the round trip that was measured to the old one is
// discarded.
func (t *Table) setAddress(a *agent, address string) {
	if a.address == address {
		return
	}
	t.forgetAddress(a)
	a.address, a.roundTrip = address, 0
	t.byAddress[address] = a
}

func valid(a *structs.Announcement) bool {
	if a.Agent == "" || a.Incarnation == "" || a.Address == "" || len(a.Upstreams) > MaxUpstreamsPerAgent {
		return false
	}
	if max(len(a.Agent), len(a.Incarnation), len(a.Address), len(a.FailureDomain)) > maxNameBytes {
		return false
	}
	seen := make(map[string]bool, len(a.Upstreams))
	for _, u := range a.Upstreams {
		if u.Service == "" || len(u.Service) > maxNameBytes || seen[u.Service] || u.Slots < 1 || u.Slots > maxSlots {
			return false
		}
		if u.Running < 0 || u.Queued < 0 || u.Connections < 0 {
			return false
		}
		seen[u.Service] = true
	}
	return true
}

// isStale reports whether an announcement isn't newer than the known one. Processes of an agent are ordered by start time.
func isStale(a *structs.Announcement, known *agent) bool {
	if a.Incarnation == known.incarnation {
		return a.Sequence <= known.sequence
	}
	return a.StartedUnixNano <= known.started
}

func (t *Table) applyUpstreams(known *agent, a *structs.Announcement) (leavingChanged bool) {
	if known.domain != a.FailureDomain {
		for name, u := range known.upstreams {
			t.removeUpstream(name, u)
		}
		known.domain = a.FailureDomain
	}
	announced := make(map[string]bool, len(a.Upstreams))
	for _, up := range a.Upstreams {
		announced[up.Service] = true
		u := known.upstreams[up.Service]
		if u == nil {
			u = &upstream{agent: known, serviceTime: t.opts.DefaultServiceTime}
			t.addUpstream(up.Service, u)
		}
		leavingChanged = leavingChanged || u.leaving != up.Leaving
		u.slots, u.leaving = up.Slots, up.Leaving
		u.otherInFlight = max(0, up.Running+up.Queued-u.ownInFlight)
	}
	for name, u := range known.upstreams {
		if !announced[name] {
			t.removeUpstream(name, u)
			leavingChanged = true
		}
	}
	return leavingChanged
}
