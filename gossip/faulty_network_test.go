package gossip_test

import (
	"context"
	"errors"

	"pgregory.net/rapid"

	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

// faultyNetwork delivers messages between the processes and may delay, lose or repeat each of them.
type faultyNetwork struct{ f *fleet }

var errLost = errors.New("message lost")

func (n faultyNetwork) Send(_ context.Context, to string, message gossip.Message) (gossip.Message, error) {
	f := n.f
	f.interleave("request")
	if !f.faultsEnded {
		switch rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "lose", "repeat"}).Draw(f.t, "request fate") {
		case "lose":
			return gossip.Message{}, errLost
		case "repeat":
			f.repeats = append(f.repeats, message)
		}
	}
	for i, p := range f.processes {
		if address(i) != to {
			continue
		}
		response, _, err := p.exchanger.Receive(message)
		f.interleave("response")
		if !f.faultsEnded && rapid.IntRange(0, 3).Draw(f.t, "response fate") == 0 {
			return gossip.Message{}, errLost
		}
		return response, err
	}
	return gossip.Message{}, errLost
}

// interleavedStore is a store client that runs other actions before and after each call to the store.
type interleavedStore struct {
	*storetest.Store
	f *fleet
}

func (s interleavedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.f.interleave("get")
	entry, err := s.Store.Get(ctx, key)
	s.f.interleave("got")
	return entry, err
}

func (s interleavedStore) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	s.f.interleave("put")
	entry, err := s.Store.Put(ctx, key, value, opts)
	s.f.interleave("done")
	return entry, err
}

func (s interleavedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	s.f.interleave("list")
	entries, err := s.Store.List(ctx, prefix)
	s.f.interleave("listed")
	return entries, err
}
