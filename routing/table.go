// Package routing keeps the upstreams that agents have announced to an entry and chooses one for each request.
package routing

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
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

// Limits of the table and of announcements. Announcements that exceed them are rejected.
const (
	MaxAgents            = 8192
	MaxUpstreamsPerAgent = 64
	maxNameBytes         = 256
	maxSlots             = 1 << 16
	// maxTableBytes limits the estimated memory of the table. Without it, 8,192 agents with 64 upstreams each took 275 MB,
	// while an entry may use 128 MB in total. The 3,400 agents and 9,100 upstreams planned for in two years need 7 MB.
	maxTableBytes = 8 << 20
	// agentBytes and upstreamBytes estimate the memory of an agent and an upstream without their names. To measure the
	// memory of the table, run go test ./entry/requests -run xxx -bench FullTables.
	agentBytes    = 1024
	upstreamBytes = 288
)

// estimateMemory estimates the memory of an announcement in the table, in bytes.
func estimateMemory(a *structs.Announcement) int {
	sum := agentBytes + len(a.Agent) + len(a.Incarnation) + len(a.Address) + len(a.FailureDomain)
	for _, u := range a.Upstreams {
		sum += upstreamBytes + len(u.Service)
	}
	return sum
}

// Up to maxFullScan upstreams of a service are all scored. With more, only a sample of sampleSize is scored, half from the
// local failure domain and half from all domains, so that the cost of a choice doesn't depend on the size of the fleet.
const (
	maxFullScan = 64
	sampleSize  = 32
)

// removeAfter is how long an agent is kept after its last announcement has expired.
const removeAfter = time.Minute

// Options configures a table.
type Options struct {
	// Domain is the failure domain of this entry.
	Domain string
	Clock  clock.Clock
	Pacing AnnouncePacing
	// RemoteDelay is the assumed round trip to other failure domains until it has been measured.
	RemoteDelay time.Duration
	// FailurePenalty is the penalty, added to the score, of an upstream whose responses are all errors.
	FailurePenalty time.Duration
	// DefaultServiceTime is the assumed service time until requests have been observed.
	DefaultServiceTime time.Duration
	// IntN returns a random number in the range [0, n); nil means rand.IntN. A replay sets it to reproduce the choices.
	IntN func(n int) int
}

type agent struct {
	name, incarnation, address, domain string
	started, sequence                  int64
	leaving                            bool
	validUntil, suspectUntil           time.Time
	roundTrip                          time.Duration
	// overdueAttempts counts the attempts since the agent's last reply that were abandoned without a reply.
	overdueAttempts int
	// messageBytes is the size of the agent's announcement on the wire; memory is its estimated size in the table.
	messageBytes int
	memory       int
	upstreams    map[string]*upstream
}

type upstream struct {
	agent         *agent
	slots         int
	ownInFlight   int
	otherInFlight int
	serviceTime   time.Duration
	// failureRate is the failure rate at failureAt, from which it decays with failureHalfLife.
	failureRate float64
	failureAt   time.Time
	leaving     bool
}

type serviceUpstreams struct {
	all, local []*upstream
}

// Table holds the announced upstreams. It is safe for concurrent use.
type Table struct {
	opts Options

	mu           sync.Mutex
	agents       map[string]*agent
	byAddress    map[string]*agent
	services     map[string]*serviceUpstreams
	messageBytes int
	memory       int
	lastSweep    time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	if opts.IntN == nil {
		opts.IntN = rand.IntN
	}
	return &Table{opts: opts, agents: map[string]*agent{}, byAddress: map[string]*agent{}, services: map[string]*serviceUpstreams{}}
}

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
	memory, before := estimateMemory(a), 0
	if known != nil {
		before = known.memory
	}
	// An announcement that takes no more memory than the previous one of the agent always fits.
	if (known == nil && len(t.agents) >= MaxAgents) || t.memory+memory-before > maxTableBytes {
		return ApplyResult{}, ErrFull
	}
	result := ApplyResult{New: known == nil || known.incarnation != a.Incarnation}
	if result.New {
		t.removeAgent(known)
		known = &agent{name: a.Agent, incarnation: a.Incarnation, started: a.StartedUnixNano, upstreams: map[string]*upstream{}}
		t.agents[a.Agent] = known
	}
	result.LeavingChanged = known.leaving != a.Leaving
	t.messageBytes += size - known.messageBytes
	t.memory += memory - known.memory
	known.memory = memory
	known.messageBytes, known.sequence, known.leaving = size, a.Sequence, a.Leaving
	t.setAddress(known, a.Address)
	result.LeavingChanged = t.applyUpstreams(known, a) || result.LeavingChanged
	result.NextAfter = t.opts.Pacing.interval(t.messageBytes)
	known.validUntil = now.Add(t.opts.Pacing.validity(result.NextAfter))
	return result, nil
}

// setAddress sets the address of an agent. If the address changes, the round trip that was measured to the old one is
// discarded.
func (t *Table) setAddress(a *agent, address string) {
	if a.address == address {
		return
	}
	if t.byAddress[a.address] == a {
		delete(t.byAddress, a.address)
	}
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
			delete(known.upstreams, name)
		}
		known.domain = a.FailureDomain
	}
	announced := make(map[string]bool, len(a.Upstreams))
	for _, up := range a.Upstreams {
		announced[up.Service] = true
		u := known.upstreams[up.Service]
		if u == nil {
			u = &upstream{agent: known, serviceTime: t.opts.DefaultServiceTime}
			known.upstreams[up.Service] = u
			t.addUpstream(up.Service, u)
		}
		leavingChanged = leavingChanged || u.leaving != up.Leaving
		u.slots, u.leaving = up.Slots, up.Leaving
		u.otherInFlight = max(0, up.Running+up.Queued-u.ownInFlight)
	}
	for name, u := range known.upstreams {
		if !announced[name] {
			t.removeUpstream(name, u)
			delete(known.upstreams, name)
			leavingChanged = true
		}
	}
	return leavingChanged
}

func (t *Table) addUpstream(name string, u *upstream) {
	s := t.services[name]
	if s == nil {
		s = &serviceUpstreams{}
		t.services[name] = s
	}
	s.all = append(s.all, u)
	if u.agent.domain == t.opts.Domain {
		s.local = append(s.local, u)
	}
}

func (t *Table) removeUpstream(name string, u *upstream) {
	s := t.services[name]
	s.all = removeFrom(s.all, u)
	s.local = removeFrom(s.local, u)
	if len(s.all) == 0 {
		delete(t.services, name)
	}
}

func removeFrom(list []*upstream, u *upstream) []*upstream {
	for i, have := range list {
		if have == u {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}

func (t *Table) removeAgent(a *agent) {
	if a == nil {
		return
	}
	for name, u := range a.upstreams {
		t.removeUpstream(name, u)
	}
	if t.byAddress[a.address] == a {
		delete(t.byAddress, a.address)
	}
	t.messageBytes -= a.messageBytes
	t.memory -= a.memory
	delete(t.agents, a.name)
}

// removeSilentAgents removes the agents whose announcements expired more than removeAfter ago. It runs at most once per
// second.
func (t *Table) removeSilentAgents(now time.Time) {
	if now.Sub(t.lastSweep) < time.Second {
		return
	}
	t.lastSweep = now
	var silent []*agent
	for _, a := range t.agents {
		if now.Sub(a.validUntil) > removeAfter {
			silent = append(silent, a)
		}
	}
	// Removal changes the order of a service's upstreams. Agents are removed in sorted order so that a replay makes the same
	// choices.
	slices.SortFunc(silent, func(a, b *agent) int { return cmp.Compare(a.name, b.name) })
	for _, a := range silent {
		t.removeAgent(a)
	}
}

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
		s.Candidates = make([]Candidate, 0, len(known.all))
		// Choose takes the first of equal scores. Starting at a random upstream spreads the requests over all of them when
		// the fleet is idle.
		start := t.opts.IntN(len(known.all))
		for _, u := range known.all[start:] {
			s.Candidates = append(s.Candidates, u.candidate(now))
		}
		for _, u := range known.all[:start] {
			s.Candidates = append(s.Candidates, u.candidate(now))
		}
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
		for _, u := range from {
			to = append(to, u.candidate(now))
		}
		return to
	}
	for range n {
		to = append(to, from[t.opts.IntN(len(from))].candidate(now))
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

// Agents returns the number of known agents.
func (t *Table) Agents() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.agents)
}

// Address returns the address of an agent process, if the table knows that process.
func (t *Table) Address(id AgentID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[id.Agent]
	if a == nil || a.incarnation != id.Incarnation {
		return "", false
	}
	return a.address, true
}
