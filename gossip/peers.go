package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxDiscoveredPeers bounds the peers that are known from their messages. Further ones are ignored until others lapse.
	maxDiscoveredPeers = 128
	// peerTTL is how long a peer is kept after its last message.
	peerTTL = 30 * time.Second
	// initialSuspension is how long a peer isn't called after a failure; it doubles with each further one in a row. A call
	// to a silent peer delays a round by its whole timeout, which the start freshness of 3 s leaves little room for.
	initialSuspension = 2 * time.Second
	// maxSuspension bounds a suspension, so that a peer that returns is found again.
	maxSuspension = 30 * time.Second
)

// suspension keeps a peer that failed from being called.
type suspension struct {
	until    time.Time
	duration time.Duration
}

// peerState is what is known of another process.
type peerState struct {
	lastMessage time.Time
	// revision and digest are what the peer held last.
	revision int64
	digest   uint64
}

// peerTable holds the peers of a process: those of its settings, and those that have sent it a message.
type peerTable struct {
	self  string
	seeds []string

	mu         sync.Mutex
	discovered map[string]*peerState
	// suspended holds seeds and owners only, so its size is bounded by theirs.
	suspended map[string]suspension
}

func newPeerTable(self string, seeds []string) *peerTable {
	return &peerTable{self: self, seeds: seeds, discovered: map[string]*peerState{}, suspended: map[string]suspension{}}
}

// record notes what a peer holds and tells whether there was room for it.
func (t *peerTable) record(address string, revision int64, digest uint64, now time.Time) bool {
	if _, err := netip.ParseAddrPort(address); err != nil || address == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	state, ok := t.discovered[address]
	if !ok {
		if len(t.discovered) >= maxDiscoveredPeers && !slices.Contains(t.seeds, address) {
			return false
		}
		state = &peerState{}
		t.discovered[address] = state
	}
	state.lastMessage, state.revision, state.digest = now, revision, digest
	return true
}

func (t *peerTable) expire(now time.Time) {
	for address, state := range t.discovered {
		if now.Sub(state.lastMessage) > peerTTL {
			delete(t.discovered, address)
		}
	}
}

// lookup returns what a peer held last; ok is false when it has sent no message lately.
func (t *peerTable) lookup(address string) (revision int64, digest uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, exists := t.discovered[address]; exists {
		return found.revision, found.digest, true
	}
	return 0, 0, false
}

// recordFailure notes that a call to a peer recordFailure. A learned peer is forgotten until it calls again; others are suspended.
func (t *peerTable) recordFailure(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.discovered, address)
	length := min(max(initialSuspension, 2*t.suspended[address].duration), maxSuspension)
	t.suspended[address] = suspension{until: now.Add(length), duration: length}
}

// recordSuccess notes that a call to a peer recordSuccess.
func (t *peerTable) recordSuccess(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspended, address)
}

// callableAddresses returns the sorted callableAddresses of all peers, including extra ones, without suspended ones. When all are
// suspended, all are returned.
func (t *peerTable) callableAddresses(now time.Time, extra []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	all := slices.Concat(t.seeds, extra)
	for address := range t.discovered {
		all = append(all, address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	all = slices.DeleteFunc(all, func(address string) bool { return address == t.self || address == "" })
	for address := range t.suspended {
		if _, member := slices.BinarySearch(all, address); !member {
			delete(t.suspended, address)
		}
	}
	active := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return now.Before(t.suspended[address].until) })
	if len(active) == 0 {
		return all
	}
	return active
}
