package configmodule

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/platform/store"
)

const (
	// maxPeersAsked bounds the peers that are asked for one blob before the store.
	maxPeersAsked = 3
	// peerTimeout bounds one request for a blob to a peer.
	peerTimeout = time.Second
)

// peerSource fetches blobs from other processes.
type peerSource struct {
	client    *http.Client
	addresses func() []string
}

func newPeerSource() *peerSource {
	return &peerSource{
		client:    &http.Client{Timeout: peerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		addresses: func() []string { return nil },
	}
}

func (p *peerSource) set(addresses func() []string) { p.addresses = addresses }

// Blob implements config.BlobSource. It asks a few random peers.
func (p *peerSource) Blob(ctx context.Context, kind config.BlobKind, hash string) ([]byte, error) {
	err := eris.New("no peer is known")
	addresses := p.addresses()
	for i, at := range rand.Perm(len(addresses)) {
		if i >= maxPeersAsked {
			break
		}
		var raw []byte
		if raw, err = p.fetch(ctx, addresses[at], kind, hash); err == nil {
			return raw, nil
		}
	}
	return nil, err
}

func (p *peerSource) fetch(ctx context.Context, address string, kind config.BlobKind, hash string) ([]byte, error) {
	url := "http://" + address + "/v1/config/blobs/" + string(kind) + "/" + hash
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "asking a peer")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "asking a peer")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("peer %s: status %d", address, response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, store.MaxValueBytes+1))
	if err == nil && config.HashBlob(raw) != hash {
		err = eris.Errorf("peer %s: blob %s has other content", address, hash)
	}
	return raw, eris.Wrap(err, "asking a peer")
}
