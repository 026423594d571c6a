package config

import (
	"context"
	"errors"
	"fmt"

	"github.com/quetzalshed/quetzalshed/store"
)

const (
	// prunePartitions is the number of parts in which unused blobs are looked for, one after each accepted change. A part holds
	// the unused blobs of as many revisions, so a list stays small whatever the rate of changes is.
	prunePartitions = 17
	// maxPrunedBlobs bounds the deletions after one change, so that they stay a small share of the store's several hundred
	// writes per second. A change of the whole inventory makes at most 25 blobs unused.
	maxPrunedBlobs = 64
)

// prunePrefix returns the keys that are looked at after a revision: blobs of inventories by the first digit of their
// hash, and rules.
func prunePrefix(revision int64) string {
	partition := revision % prunePartitions
	if partition == prunePartitions-1 {
		return rulesPrefix
	}
	return fmt.Sprintf("%s%x", inventoryPrefix, partition)
}

// prune deletes blobs that a head doesn't name. It is best effort: what remains is found again pruneParts revisions later.
//
// A change in progress may need a blob that is unused yet. It writes each such blob after it has read the head, so only
// blobs that are older than the head are deleted, and only at the revision at which they were listed.
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

// blobKeys returns the keys of the blobs that the head names.
func (h Head) blobKeys() map[string]bool {
	keys := map[string]bool{BlobRules.Key(h.RulesHash): true}
	for _, domain := range h.Domains {
		keys[BlobInventory.Key(domain.InventoryHash)] = true
	}
	return keys
}
