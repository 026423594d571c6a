package gossip

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxLearnedPeers bounds the peers that are known from their messages. Further ones are ignored until others lapse.
	maxLearnedPeers = 128
	// peerLifetime is how long a peer is kept after its last message.
	peerLifetime = 30 * time.Second
)

// peer is what is known of another process.
type peer struct {
	heard time.Time
	// revision and digest are what the peer held last.
	revision int64
	digest   uint64
}

// peerTable holds the peers of a process: those of its settings, and those that have sent it a message.
type peerTable struct {
	self  string
	seeds []string

	mu      sync.Mutex
	learned map[string]*peer
}

func newPeerTable(self string, seeds []string) *peerTable {
	return &peerTable{self: self, seeds: seeds, learned: map[string]*peer{}}
}

// record notes what a peer holds and tells whether there was room for it.
func (t *peerTable) record(address string, revision int64, digest uint64, now time.Time) bool {
	if _, err := netip.ParseAddrPort(address); err != nil || address == t.self {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	known, ok := t.learned[address]
	if !ok {
		if len(t.learned) >= maxLearnedPeers && !slices.Contains(t.seeds, address) {
			return false
		}
		known = &peer{}
		t.learned[address] = known
	}
	known.heard, known.revision, known.digest = now, revision, digest
	return true
}

func (t *peerTable) expire(now time.Time) {
	for address, known := range t.learned {
		if now.Sub(known.heard) > peerLifetime {
			delete(t.learned, address)
		}
	}
}

// known returns what a peer held last; ok is false when it has sent no message lately.
func (t *peerTable) known(address string) (revision int64, digest uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found, exists := t.learned[address]; exists {
		return found.revision, found.digest, true
	}
	return 0, 0, false
}

// addresses returns the sorted addresses of all peers, including extra ones.
func (t *peerTable) addresses(now time.Time, extra []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	all := slices.Concat(t.seeds, extra)
	for address := range t.learned {
		all = append(all, address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(address string) bool { return address == t.self || address == "" })
}
