package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// maxBlobBytes keeps blobs well below the store's limit on the size of a value.
	maxBlobBytes = store.MaxValueBytes / 2
	// maxCachedBlobs suffices for the blobs of two revisions with the maximum number of failure domains.
	maxCachedBlobs = 2 * (MaxFailureDomains + 1)
	// hashBytes is the length of a blob's hash. 128 bits rule out accidental collisions and keep the head small.
	hashBytes = 16
)

// BlobKind is the type of content in a blob.
type BlobKind string

// The kinds of blobs. An inventory blob holds the workers of one failure domain.
const (
	BlobRules     BlobKind = "rules"
	BlobInventory BlobKind = "inventory"
)

// Key returns the store key of the blob with the given hash.
func (k BlobKind) Key(hash string) string {
	if k == BlobRules {
		return rulesPrefix + hash
	}
	return inventoryPrefix + hash
}

// HashBlob returns the hash under which a blob is stored.
func HashBlob(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:hashBytes])
}

// BlobSource fetches blobs by hash. The caller verifies the content against the hash.
type BlobSource interface {
	Blob(ctx context.Context, kind BlobKind, hash string) ([]byte, error)
}

// StoreSource reads blobs from the store.
type StoreSource struct {
	Store store.Store
}

// Blob implements BlobSource.
func (s StoreSource) Blob(ctx context.Context, kind BlobKind, hash string) ([]byte, error) {
	entry, err := s.Store.Get(ctx, kind.Key(hash))
	return entry.Value, err
}

// Blobs reads blobs through a cache from one or more sources. It is safe for concurrent use.
type Blobs struct {
	sources []BlobSource
	cache   *blobCache
}

// NewBlobs returns a cache in front of sources, which are tried in order.
func NewBlobs(sources ...BlobSource) *Blobs {
	return &Blobs{sources: sources, cache: &blobCache{blobs: map[string][]byte{}}}
}

// WithSources returns a view of the same cache with other sources.
func (b *Blobs) WithSources(sources ...BlobSource) *Blobs {
	return &Blobs{sources: sources, cache: b.cache}
}

// Cached returns a blob if it is in the cache.
func (b *Blobs) Cached(hash string) ([]byte, bool) { return b.cache.get(hash) }

// Get returns a blob from the cache or from the first source that has it.
func (b *Blobs) Get(ctx context.Context, kind BlobKind, hash string) ([]byte, error) {
	if raw, ok := b.Cached(hash); ok {
		return raw, nil
	}
	var failures error
	for _, source := range b.sources {
		raw, err := source.Blob(ctx, kind, hash)
		if err == nil && HashBlob(raw) != hash {
			err = eris.Errorf("blob %s has other content", hash)
		}
		if err == nil {
			b.cache.add(hash, raw)
			return raw, nil
		}
		failures = multierr.Append(failures, err)
	}
	return nil, eris.Wrapf(failures, "loading %s %s", kind, hash)
}

// rulesBlob is the content of a rules blob. It includes the source file, so that later findings can refer to its lines.
type rulesBlob struct {
	Rules  *Rules `json:"rules"`
	Source []byte `json:"source"`
}

func encodeRules(parsed *ParsedRules) []byte {
	raw, err := json.Marshal(rulesBlob{Rules: parsed.Rules, Source: parsed.Source})
	if err != nil {
		panic("config: rules can't be encoded: " + err.Error()) // Parsing accepts finite numbers only.
	}
	return raw
}

func encodeDomain(inventory *Inventory, domain string) []byte {
	raw, err := json.Marshal(inventory.InDomain(domain))
	if err != nil {
		panic("config: workers can't be encoded: " + err.Error()) // Workers hold only strings and integers.
	}
	return raw
}

// LoadRules returns the rules that a head refers to, with their source file.
func (b *Blobs) LoadRules(ctx context.Context, head Head) (*Rules, []byte, error) {
	if head.RulesHash == "" {
		return DefaultRules(), nil, nil
	}
	raw, err := b.Get(ctx, BlobRules, head.RulesHash)
	if err != nil {
		return nil, nil, err
	}
	var blob rulesBlob
	if err := json.Unmarshal(raw, &blob); err != nil || blob.Rules == nil {
		return nil, nil, eris.Wrap(errors.Join(err), "decoding the rules")
	}
	return blob.Rules, blob.Source, nil
}

// LoadInventory returns the inventory that a head refers to.
func (b *Blobs) LoadInventory(ctx context.Context, head Head) (*Inventory, error) {
	var workers []structs.Worker
	for domain, state := range head.Domains {
		raw, err := b.Get(ctx, BlobInventory, state.InventoryHash)
		if err != nil {
			return nil, eris.Wrapf(err, "failure domain %s", domain)
		}
		var part []structs.Worker
		if err := json.Unmarshal(raw, &part); err != nil {
			return nil, eris.Wrapf(err, "decoding the inventory of failure domain %s", domain)
		}
		workers = append(workers, part...)
	}
	return NewInventory(workers), nil
}
