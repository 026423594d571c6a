// Package routing keeps the upstreams that agents have announced to an entry and chooses one for each request.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/structs"
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

// addUpstream adds an upstream of a service to its agent and to the table.
func (t *Table) addUpstream(name string, u *upstream) {
	u.agent.upstreams[name] = u
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

// removeUpstream removes an upstream of a service from its agent and from the table.
func (t *Table) removeUpstream(name string, u *upstream) {
	delete(u.agent.upstreams, name)
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
	for name, u := range a.upstreams {
		t.removeUpstream(name, u)
	}
	t.forgetAddress(a)
	t.messageBytes -= a.messageBytes
	t.memory -= a.memory
	delete(t.agents, a.name)
}

// forgetAddress removes the address of an agent, unless another agent has announced the same address since.
func (t *Table) forgetAddress(a *agent) {
	if t.byAddress[a.address] == a {
		delete(t.byAddress, a.address)
	}
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
