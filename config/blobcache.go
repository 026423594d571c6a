package config

import (
	"slices"
	"sync"
)

// blobCache is an LRU cache of blobs. It is safe for concurrent use.
type blobCache struct {
	mu    sync.Mutex
	blobs map[string][]byte
	// order lists the hashes, least recently used first.
	order []string
}

func (c *blobCache) get(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	raw, ok := c.blobs[hash]
	if ok {
		c.markUsed(hash)
	}
	return raw, ok
}

func (c *blobCache) add(hash string, raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blobs[hash] = raw
	c.markUsed(hash)
	if len(c.order) > maxCachedBlobs {
		delete(c.blobs, c.order[0])
		c.order = slices.Delete(c.order, 0, 1)
	}
}

// markUsed moves a hash to the most recently used position. The caller must hold mu.
func (c *blobCache) markUsed(hash string) {
	if index := slices.Index(c.order, hash); index >= 0 {
		c.order = slices.Delete(c.order, index, index+1)
	}
	c.order = append(c.order, hash)
}
