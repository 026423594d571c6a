package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalshed/quetzalshed/store"
)

const (
	// prunePartitions is the number of partitions of the blob keys: 16 for inventories and one for rules. Each accepted
	// change prunes the next partition. A partition collects the unused blobs of only that many revisions, so its listing
	// stays small at any rate of changes.
	prunePartitions = 17
	// maxPrunedBlobs bounds the deletions after one change, so that they remain a small share of the store's several
	// hundred writes per second. A change of the whole inventory leaves at most 25 blobs unused.
	maxPrunedBlobs = 64
)

// prunePrefix returns the key prefix to prune after a revision. It cycles through the first hex digits of inventory
// blobs and the rules.
func prunePrefix(revision int64) string {
	partition := revision % prunePartitions
	if partition == prunePartitions-1 {
		return rulesPrefix
	}
	return fmt.Sprintf("%s%x", inventoryPrefix, partition)
}

// prune deletes blobs that a head doesn't refer to. It is best effort: remaining ones are listed again prunePartitions
// revisions later.
//
// A change in progress may need a blob that is still unused. It writes each such blob after it has read the head, so
// prune deletes only blobs that are older than the head, and only if they still have the listed store revision.
func (a *Acceptor) prune(ctx context.Context, head Head, headRevision int64) {
	entries, err := a.store.List(ctx, prunePrefix(head.Revision))
	if err != nil {
		return
	}
	used := head.blobKeys()
	pruned := 0
	for _, entry := range entries {
		if used[entry.Key] || entry.Revision >= headRevision || pruned >= maxPrunedBlobs {
			continue
		}
		pruned++
		err := a.store.Delete(ctx, entry.Key, entry.Revision)
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownResult) {
			return
		}
	}
}

// blobKeys returns the store keys of the blobs that the head refers to.
func (h Head) blobKeys() map[string]bool {
	keys := map[string]bool{BlobRules.Key(h.RulesHash): true}
	for _, domain := range h.Domains {
		keys[BlobInventory.Key(domain.InventoryHash)] = true
	}
	return keys
}
