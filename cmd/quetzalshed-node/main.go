// Command quetzalshed-node drives the executor of a host, and owns the jobs while it holds the ownership.
package main

import (
	"context"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/hosting"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/node"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/platform"
	"github.com/quetzalshed/quetzalshed/rpc"
)

const (
	// memoryLimit is where the garbage collector works harder, in bytes.
	memoryLimit = 90 << 20
	// drainLimit bounds the calls that still run at a planned stop.
	drainLimit = time.Second
)

func main() {
	level := "info"
	command := &cobra.Command{
		Use: "quetzalshed-node", Short: "Drives the executor of a host", Version: kernel.Version, SilenceUsage: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), hclog.LevelFromString(level)) },
	}
	command.Flags().StringVar(&level, "log-level", level, "trace, debug, info, warn or error")
	kernel.Execute(command, kernel.Failure)
}

func run(ctx context.Context, level hclog.Level) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	p := hosting.New(settings.NodeName, "node", level, memoryLimit)
	defer p.Close()
	address := settings.InternalAddress(0)
	p.Log.Info("process starts", "host", settings.NodeName, "failure_domain", settings.Zone, "address", address)

	storeClient := platform.NewStore(settings.Platform.Address, p.Scope)
	store := kv.NewMonitor(storeClient)
	locator := ownership.NewLocator(store, p.Log)
	client := rpc.NewClient()
	n := node.New(settings.NodeName, address, platform.NewExecutor(settings.App), locator, client, p.Log, p.Scope)
	candidate := &owner.Candidate{
		Node: settings.NodeName, Address: address, Store: store, Locator: locator,
		Operators: &platform.Operators{Store: store, Log: p.Log}, RPC: client, Log: p.Log, Scope: p.Scope,
	}
	router := mux.NewRouter()
	n.Register(router)
	candidate.Register(router)
	owner.RegisterAnnounce(router, locator)
	router.Handle("/metrics", p.Metrics)
	if err := p.Serve(address, router); err != nil {
		return err
	}
	if err := p.ServeMetrics(settings.IP); err != nil {
		return err
	}
	if err := p.Serve(settings.Listen.Control, platform.Heartbeats(n, p.Log)); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go platform.FollowSettings(background, p.Log, func(s *platform.Settings) { storeClient.SetAddress(s.Platform.Address) })
	go locator.Run(background)
	go n.Run(background)
	go ownership.Register(background, store, settings.NodeName, address, p.Log)
	candidacy, withdraw := context.WithCancel(background)
	var elections sync.WaitGroup
	elections.Go(func() { candidate.Run(candidacy) })
	err = p.Wait(ctx)
	withdraw()
	elections.Wait()
	if err != nil {
		return err
	}
	p.Drain(0, drainLimit)
	return nil
}
