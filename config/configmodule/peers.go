package configmodule

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store"
)

const (
	// maxPeersAsked bounds the peers that are tried for one blob before the store.
	maxPeersAsked = 2
	// peerTimeout bounds one request to a peer. Blobs have at most about 32 KB at 189 workers per failure domain.
	peerTimeout = 500 * time.Millisecond
	// peerBackoff is how long a failed peer is skipped, so that not every blob of a head waits for it.
	peerBackoff = 5 * time.Second
	// maxPeersInBackoff bounds the recorded backoffs; at the bound, all of them are cleared.
	maxPeersInBackoff = 256
)

// peerSource fetches blobs from other processes.
type peerSource struct {
	client    *http.Client
	clock     clock.Clock
	addresses func() []string

	mu           sync.Mutex
	backoffUntil map[string]time.Time
}

func newPeerSource(c clock.Clock) *peerSource {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	return &peerSource{
		client: &http.Client{Timeout: peerTimeout, Transport: transport}, clock: c,
		addresses: func() []string { return nil }, backoffUntil: map[string]time.Time{},
	}
}

// Blob implements config.BlobSource. It tries up to maxPeersAsked random peers.
func (p *peerSource) Blob(ctx context.Context, kind config.BlobKind, hash string) ([]byte, error) {
	err := eris.New("no peer is available")
	addresses := slices.DeleteFunc(p.addresses(), p.inBackoff)
	for i, index := range rand.Perm(len(addresses)) {
		if i >= maxPeersAsked {
			break
		}
		var raw []byte
		if raw, err = p.fetch(ctx, addresses[index], kind, hash); err == nil {
			return raw, nil
		}
	}
	return nil, err
}

func (p *peerSource) inBackoff(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.backoffUntil[address])
}

func (p *peerSource) startBackoff(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.backoffUntil) >= maxPeersInBackoff {
		clear(p.backoffUntil)
	}
	p.backoffUntil[address] = p.clock.Now().Add(peerBackoff)
}

func (p *peerSource) fetch(ctx context.Context, address string, kind config.BlobKind, hash string) ([]byte, error) {
	url := "http://" + address + "/v1/config/blobs/" + string(kind) + "/" + hash
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "requesting a blob from a peer")
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.startBackoff(address)
		return nil, eris.Wrap(err, "requesting a blob from a peer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("peer %s: status %d", address, response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, store.MaxValueBytes+1))
	if err != nil {
		p.startBackoff(address)
		return nil, eris.Wrap(err, "requesting a blob from a peer")
	}
	if config.HashBlob(raw) != hash {
		return nil, eris.Errorf("peer %s: content of blob %s does not match its hash", address, hash)
	}
	return raw, nil
}
