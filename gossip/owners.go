package gossip

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/structs"
)

// OwnerTable holds the newest known owner of each shard. It is safe for concurrent use.
type OwnerTable struct {
	mu     sync.Mutex
	owners map[int]structs.ShardOwner
	// digest is the XOR of the hashes of all owners, so that it can be updated without a scan of the table.
	digest  uint64
	changed chan struct{}
}

// NewOwnerTable returns an empty OwnerTable.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{owners: map[int]structs.ShardOwner{}, changed: make(chan struct{})}
}

// Lookup returns the newest known owner of a shard.
func (t *OwnerTable) Lookup(shard int) (structs.ShardOwner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, ok := t.owners[shard]
	return owner, ok
}

// Publish stores an owner if it is valid and newer than the known one, and reports whether it was stored.
func (t *OwnerTable) Publish(owner structs.ShardOwner) bool {
	if !validOwner(owner) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current, exists := t.owners[owner.Shard]
	if exists && !supersedes(owner, current) {
		return false
	}
	if exists {
		t.digest ^= hashOwner(current)
	}
	t.digest ^= hashOwner(owner)
	t.owners[owner.Shard] = owner
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// All returns all known owners, sorted by shard.
func (t *OwnerTable) All() []structs.ShardOwner {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := make([]structs.ShardOwner, 0, len(t.owners))
	for _, owner := range t.owners {
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b structs.ShardOwner) int { return cmp.Compare(a.Shard, b.Shard) })
	return owners
}

// Digest returns a hash of the table that is equal for tables with the same owners.
func (t *OwnerTable) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Changed returns a channel that is closed at the next change of the table.
func (t *OwnerTable) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func validOwner(owner structs.ShardOwner) bool {
	if owner.Shard < 0 || owner.Shard >= config.MaxShards || owner.Epoch < 1 {
		return false
	}
	_, err := netip.ParseAddrPort(owner.Address)
	return err == nil
}

// supersedes reports whether owner a of a shard replaces owner b. The shard log allows one owner per epoch. If two
// owners claim the same epoch nevertheless, the higher address wins, so that all tables agree.
func supersedes(a, b structs.ShardOwner) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Address > b.Address
}

func hashOwner(owner structs.ShardOwner) uint64 {
	var raw []byte
	raw = binary.BigEndian.AppendUint64(raw, uint64(owner.Shard))
	raw = binary.BigEndian.AppendUint64(raw, uint64(owner.Epoch))
	return xxhash.Sum64(append(raw, owner.Address...))
}
