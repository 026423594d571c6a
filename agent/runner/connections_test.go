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

// storeConnection is a node's connection to the store, with fault injection.
type storeConnection struct {
	store.Store
	n *node
}

func (c storeConnection) checkConnected() error {
	if c.n.storeDisconnected {
		return store.ErrUnavailable
	}
	return nil
}

func (c storeConnection) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.checkConnected(); err != nil {
		return store.Entry{}, err
	}
	return c.Store.Get(ctx, key)
}

func (c storeConnection) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := c.checkConnected(); err != nil {
		return nil, err
	}
	entries, err := c.Store.List(ctx, prefix)
	c.n.pauseIfDue(true)
	return entries, err
}

func (c storeConnection) Put(ctx context.Context, key string, value []byte, opts store.PutOptions) (store.Entry, error) {
	c.n.pauseIfDue(false)
	if err := c.checkConnected(); err != nil {
		return store.Entry{}, err
	}
	entry, err := c.Store.Put(ctx, key, value, opts)
	c.n.pauseIfDue(true)
	return entry, err
}

func (c storeConnection) Delete(ctx context.Context, key string, ifRevision int64) error {
	c.n.pauseIfDue(false)
	if err := c.checkConnected(); err != nil {
		return err
	}
	if c.n.c.keepTruncated && strings.Contains(key, "/log/") {
		if entry, err := c.Store.Get(ctx, key); err == nil {
			c.n.c.truncated = append(c.n.c.truncated, entry)
		}
	}
	return c.Store.Delete(ctx, key, ifRevision)
}

func (c storeConnection) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.checkConnected(); err != nil {
		return "", err
	}
	return c.Store.Grant(ctx, ttl)
}

func (c storeConnection) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := c.checkConnected(); err != nil {
		return err
	}
	err := c.Store.KeepAlive(ctx, id)
	c.n.pauseIfDue(true)
	return err
}

func (c storeConnection) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := c.checkConnected(); err != nil {
		return err
	}
	return c.Store.Revoke(ctx, id)
}

// ownerConnection is the connection of a node's runner to the owner that the node knows.
type ownerConnection struct{ n *node }

func (c ownerConnection) Epoch(ctx context.Context, number int) (int64, error) {
	client := shard.NewClient(c.n.owners, storeConnection{c.n.c.store, c.n}, c.n.c.clock)
	return client.Epoch(ctx, number)
}

func (c ownerConnection) Heartbeat(ctx context.Context, number int, hb structs.Heartbeat) (structs.HeartbeatReply, error) {
	c.n.pauseIfDue(false)
	target, known := c.n.owners.Lookup(number)
	if known {
		for i, n := range c.n.c.nodes {
			if fmt.Sprintf("127.0.0.1:%d", 1000+i) != target.Address {
				continue
			}
			if !n.agentUp() || (n != c.n && (n.peersDisconnected || c.n.peersDisconnected)) {
				break
			}
			c.n.c.sentHeartbeats = append(c.n.c.sentHeartbeats, hb)
			reply, err := n.owner.Heartbeat(hb)
			if err == nil {
				c.n.c.countMessage(hb)
				c.n.c.countMessage(reply)
				c.n.pauseIfDue(true)
				return reply, nil
			}
		}
	}
	_, _ = c.Epoch(ctx, number)
	return structs.HeartbeatReply{}, errDisconnected
}

// agentConnection is the connection of the owner on a node to the agents.
type agentConnection struct{ n *node }

func (c agentConnection) Push(_ context.Context, address string, request structs.StartRequest) error {
	for i, n := range c.n.c.nodes {
		c.n.c.sentStartRequests = append(c.n.c.sentStartRequests, sentStartRequest{n, request})
		if fmt.Sprintf("127.0.0.1:%d", 1000+i) == address && n.agentUp() && (n == c.n || (!n.peersDisconnected && !c.n.peersDisconnected)) {
			n.c.countMessage(request)
			return n.runner.HandleStartRequest(request)
		}
	}
	return errDisconnected
}

// workerConnection is the connection of an agent to its worker.
type workerConnection struct {
	worker.Worker
	n *node
}

func (c workerConnection) Start(ctx context.Context, spec worker.TaskSpec) error {
	err := c.Worker.Start(ctx, spec)
	c.n.pauseIfDue(true)
	return err
}

func (c workerConnection) Renew(ctx context.Context, id string, lease time.Duration) error {
	c.n.pauseIfDue(false)
	return c.Worker.Renew(ctx, id, lease)
}

func (c workerConnection) Stop(ctx context.Context, id string) error {
	c.n.pauseIfDue(false)
	return c.Worker.Stop(ctx, id)
}

// taskListConnection is the connection of the owner on a node directly to the workers.
type taskListConnection struct{ n *node }

func (c taskListConnection) Tasks(ctx context.Context, w structs.Worker) ([]worker.TaskStatus, error) {
	for _, n := range c.n.c.nodes {
		if n.name == w.Name && !n.hostLost && (n == c.n || (!n.peersDisconnected && !c.n.peersDisconnected)) {
			return n.worker.Status(ctx)
		}
	}
	return nil, errDisconnected
}
