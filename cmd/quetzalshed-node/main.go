// Command quetzalshed-node starts and stops tasks on the executor of a host. One node at a time is the owner of the jobs.
package main

import (
	"context"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/cmd/internal/program"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/platform"
)

const (
	// memoryLimit is the soft memory limit of the Go runtime in bytes.
	memoryLimit = 90 << 20
	// drainLimit is how long calls in progress may take to finish at a planned stop.
	drainLimit = time.Second
	// departureLimit is how long a planned stop may wait until an owner knows that the host's executor has left. It covers the
	// election of an owner.
	departureLimit = 2500 * time.Millisecond
)

func main() {
	program.Main("quetzalshed-node", "Controls the executor of a host", run)
}

func run(ctx context.Context, level hclog.Level) error {
	p, err := program.New("node", level, memoryLimit)
	if err != nil {
		return err
	}
	defer p.Close()
	var executor node.Executor = platform.NewExecutor(p.Settings.App)
	var mailbox *node.Mailbox
	if p.Settings.Commands == platform.CommandsByFetch {
		mailbox = node.NewMailbox()
		executor = mailbox
	}
	n := node.New(p.Settings.NodeName, p.Address, executor, p.Locator, p.RPC, clock.System{}, p.Log, p.Scope)
	n.SetMaxLease(p.Settings.MaxLease())
	n.SetStopTime(p.Settings.StopTime())
	candidate := &owner.Candidate{
		Node: p.Settings.NodeName, Address: p.Address, Store: p.Store, Locator: p.Locator, Operators: p.Operators,
		RPC: p.RPC, Host: clock.System{}, Log: p.Log, Scope: p.Scope, RemoteSlowdown: p.Settings.Bounds.FarX,
		MaxValueBytes: p.Settings.Platform.ValueBytes, MaxLease: p.Settings.MaxLease(), StopTime: p.Settings.StopTime(), MemoryMB: p.Settings.Limits.MemoryMb,
	}
	if err := serve(p, n, mailbox, candidate); err != nil {
		return err
	}
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.Join(backgroundCtx)
	go n.Run(backgroundCtx)
	candidateCtx, stopCandidate := context.WithCancel(backgroundCtx)
	defer stopCandidate()
	var candidateGroup sync.WaitGroup
	candidateGroup.Go(func() { candidate.Run(candidateCtx) })
	err = p.Wait(ctx)
	stopCandidate()
	candidateGroup.Wait()
	if err != nil {
		return err
	}
	departureCtx, cancelDeparture := context.WithTimeout(backgroundCtx, departureLimit)
	defer cancelDeparture()
	n.AwaitDeparture(departureCtx)
	p.Drain(0, drainLimit)
	return nil
}

// serve listens on all addresses of the process, and on the address for the executor last.
func serve(p *program.Program, n *node.Node, mailbox *node.Mailbox, candidate *owner.Candidate) error {
	router := mux.NewRouter()
	n.Register(router)
	candidate.Register(router)
	owner.RegisterAnnounce(router, p.Locator)
	router.Handle("/metrics", p.Metrics)
	if err := p.Serve(p.Address, ingress.MainShare, router); err != nil {
		return err
	}
	if err := p.ServeMetrics(p.Settings.IP); err != nil {
		return err
	}
	return p.Serve(p.Settings.Listen.Control, ingress.SecondaryShare, platform.HeartbeatHandler(n, mailbox, p.Log))
}
