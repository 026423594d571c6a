package runner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker"
)

// storeGate is the store as a node reaches it.
type storeGate struct {
	store.Store
	n *node
}

func (g storeGate) cut() error {
	if g.n.cutStore {
		return store.ErrUnavailable
	}
	return nil
}

func (g storeGate) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := g.cut(); err != nil {
		return store.Entry{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g storeGate) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := g.cut(); err != nil {
		return nil, err
	}
	entries, err := g.Store.List(ctx, prefix)
	g.n.call(true)
	return entries, err
}

func (g storeGate) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	g.n.call(false)
	if err := g.cut(); err != nil {
		return store.Entry{}, err
	}
	entry, err := g.Store.Put(ctx, key, value, opts)
	g.n.call(true)
	return entry, err
}

func (g storeGate) Delete(ctx context.Context, key string, ifRevision int64) error {
	g.n.call(false)
	if err := g.cut(); err != nil {
		return err
	}
	if g.n.c.keepTruncated && strings.Contains(key, "/log/") {
		if entry, err := g.Store.Get(ctx, key); err == nil {
			g.n.c.truncated = append(g.n.c.truncated, entry)
		}
	}
	return g.Store.Delete(ctx, key, ifRevision)
}

func (g storeGate) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := g.cut(); err != nil {
		return "", err
	}
	return g.Store.Grant(ctx, ttl)
}

func (g storeGate) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := g.cut(); err != nil {
		return err
	}
	err := g.Store.KeepAlive(ctx, id)
	g.n.call(true)
	return err
}

func (g storeGate) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := g.cut(); err != nil {
		return err
	}
	return g.Store.Revoke(ctx, id)
}

// ownerGate reaches the owner that a node knows of.
type ownerGate struct{ n *node }

func (g ownerGate) Epoch(ctx context.Context, number int) (int64, error) {
	client := shard.NewClient(g.n.owners, storeGate{g.n.c.store, g.n}, g.n.c.clock)
	return client.Epoch(ctx, number)
}

func (g ownerGate) Heartbeat(ctx context.Context, number int, hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	g.n.call(false)
	target, known := g.n.owners.Lookup(number)
	if known {
		for i, n := range g.n.c.nodes {
			if fmt.Sprintf("127.0.0.1:%d", 1000+i) != target.Address {
				continue
			}
			if !n.up() || (n != g.n && (n.cutPeers || g.n.cutPeers)) {
				break
			}
			g.n.c.sent = append(g.n.c.sent, hb)
			reply, err := n.owner.Heartbeat(hb)
			if err == nil {
				g.n.c.count(hb)
				g.n.c.count(reply)
				g.n.call(true)
				return reply, nil
			}
		}
	}
	_, _ = g.Epoch(ctx, number)
	return structs.HeartbeatReply{}, errCut
}

// pushGate reaches agents from the owner on a node.
type pushGate struct{ n *node }

func (g pushGate) Push(_ context.Context, address string, request structs.StartRequest) error {
	for i, n := range g.n.c.nodes {
		g.n.c.pushed = append(g.n.c.pushed, push{n, request})
		if fmt.Sprintf("127.0.0.1:%d", 1000+i) == address && n.up() && (n == g.n || (!n.cutPeers && !g.n.cutPeers)) {
			n.c.count(request)
			return n.runner.HandleStartRequest(request)
		}
	}
	return errCut
}

// workerGate is the worker as its agent reaches it.
type workerGate struct {
	worker.Worker
	n *node
}

func (g workerGate) Start(ctx context.Context, spec worker.TaskSpec) error {
	err := g.Worker.Start(ctx, spec)
	g.n.call(true)
	return err
}

func (g workerGate) Renew(ctx context.Context, id string, lease time.Duration) error {
	g.n.call(false)
	return g.Worker.Renew(ctx, id, lease)
}

func (g workerGate) Stop(ctx context.Context, id string) error {
	g.n.call(false)
	return g.Worker.Stop(ctx, id)
}

// taskGate reaches workers without their agents.
type taskGate struct{ n *node }

func (g taskGate) Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error) {
	for _, n := range g.n.c.nodes {
		if n.name == w.Name && !n.lost && (n == g.n || (!n.cutPeers && !g.n.cutPeers)) {
			return n.worker.Status(ctx)
		}
	}
	return nil, errCut
}
