package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxDiscoveredPeers limits the peers that are known only from their messages. Further ones are ignored until
	// others expire.
	maxDiscoveredPeers = 128
	// peerTTL is how long a discovered peer is kept after its last message.
	peerTTL = 30 * time.Second
	// initialSuspension is how long a peer isn't called after a failure. It doubles with each consecutive failure. A
	// call to a peer that doesn't respond delays a round by the whole timeout, for which the start freshness of 3 s
	// leaves little time.
	initialSuspension = 2 * time.Second
	// maxSuspension limits a suspension, so that a recovered peer is called again.
	maxSuspension = 30 * time.Second
)

// suspension is the time for which a failed peer is not called.
type suspension struct {
	until    time.Time
	duration time.Duration
}

// peerState is the last known state of another process.
type peerState struct {
	lastMessage time.Time
	// revision and digest are the configuration revision and the owners digest of the last message.
	revision int64
	digest   uint64
}

// peerTable holds the seed peers from the settings and the peers that were discovered from messages.
type peerTable struct {
	self  string
	seeds []string

	mu         sync.Mutex
	discovered map[string]*peerState
	// suspended holds seeds and shard owners. callableAddresses removes entries of other addresses, which limits its
	// size.
	suspended map[string]suspension
}

func newPeerTable(self string, seeds []string) *peerTable {
	return &peerTable{self: self, seeds: seeds, discovered: map[string]*peerState{}, suspended: map[string]suspension{}}
}

// record stores the state of a peer and reports whether it did. It ignores invalid addresses, the own address and, when
// the table is full, new peers that are not seeds.
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

// lookup returns the last known state of a peer. ok is false if the peer has sent no message recently.
func (t *peerTable) lookup(address string) (revision int64, digest uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, exists := t.discovered[address]; exists {
		return found.revision, found.digest, true
	}
	return 0, 0, false
}

// recordFailure records a failed call. A discovered peer is removed until it sends a message, and the address is
// suspended.
func (t *peerTable) recordFailure(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.discovered, address)
	length := min(max(initialSuspension, 2*t.suspended[address].duration), maxSuspension)
	t.suspended[address] = suspension{until: now.Add(length), duration: length}
}

// recordSuccess ends the suspension of a peer after a successful call.
func (t *peerTable) recordSuccess(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspended, address)
}

// callableAddresses returns the sorted addresses of all peers and the extra addresses, without the suspended ones. If
// all are suspended, it returns all of them.
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
