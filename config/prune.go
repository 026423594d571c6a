package config

import (
	"context"
	"strings"

	"github.com/quetzalshed/quetzalshed/platform/store"
)

const (
	// pruneInterval is the number of revisions between two removals of unused blobs. Each costs one list with the
	// content of all blobs, which at 3,400 workers are about 500 KB per revision that replaces the whole inventory.
	pruneInterval = 16
	// maxPruned bounds the deletions of one removal; the next one continues.
	maxPruned = 256
)

// prune deletes blobs that the head doesn't name. It is best effort: what remains is found by the next one.
//
// A change in progress may need a blob that is unused yet. It writes each such blob after it has read the head, so only
// blobs that are older than the head are deleted, and only at the revision at which they were listed.
func (a *Acceptor) prune(ctx context.Context) {
	entries, err := a.store.List(ctx, "config/")
	if err != nil {
		return
	}
	var head Head
	var headRevision int64
	for _, entry := range entries {
		if entry.Key != HeadKey {
			continue
		}
		if head, err = DecodeHead(entry.Value); err != nil {
			return
		}
		headRevision = entry.Revision
	}
	used := head.blobKeys()
	pruned := 0
	for _, entry := range entries {
		isBlob := strings.HasPrefix(entry.Key, rulesPrefix) || strings.HasPrefix(entry.Key, inventoryPrefix)
		if !isBlob || used[entry.Key] || entry.Revision >= headRevision || pruned >= maxPruned {
			continue
		}
		pruned++
		if err := a.store.Delete(ctx, entry.Key, entry.Revision); store.ResultOf(err) == store.Result(store.CodeUnavailable) {
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
