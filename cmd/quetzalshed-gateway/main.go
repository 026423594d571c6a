// Command quetzalshed-gateway accepts jobs from clients on an entry host of the platform.
package main

import (
	"context"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/hosting"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/platform"
	"github.com/quetzalshed/quetzalshed/rpc"
)

const (
	// memoryLimit is where the garbage collector works harder, in bytes.
	memoryLimit = 120 << 20
	// drainNotice is longer than the load balancer takes to notice that the process isn't ready.
	drainNotice = 2500 * time.Millisecond
	// drainLimit bounds the requests that still run; it ends before the platform kills the process.
	drainLimit = 2500 * time.Millisecond
)

func main() {
	level := "info"
	command := &cobra.Command{
		Use: "quetzalshed-gateway", Short: "Accepts jobs from clients", Version: kernel.Version, SilenceUsage: true,
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
	p := hosting.New(settings.NodeName, "gateway", level, memoryLimit)
	defer p.Close()
	address := settings.InternalAddress(0)
	p.Log.Info("process starts", "host", settings.NodeName, "failure_domain", settings.Zone, "address", address)

	storeClient := platform.NewStore(settings.Platform.Address, p.Scope)
	store := kv.NewMonitor(storeClient)
	locator := ownership.NewLocator(store, p.Log)
	g := gateway.New(store, locator, rpc.NewClient(), p.Log, p.Scope)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go platform.FollowSettings(background, p.Log, func(s *platform.Settings) { storeClient.SetAddress(s.Platform.Address) })
	go locator.Run(background)
	go g.Run(background, &platform.Operators{Store: store, Log: p.Log})
	go ownership.Register(background, store, settings.NodeName, address, p.Log)

	internal := mux.NewRouter()
	owner.RegisterAnnounce(internal, locator)
	internal.Handle("/metrics", p.Metrics)
	if err := p.Serve(address, internal); err != nil {
		return err
	}
	ready := platform.Ready(func() bool { return g.Ready() && !p.Draining() })
	if err := p.Serve(settings.Listen.Ready, ready); err != nil {
		return err
	}
	if err := p.Serve(settings.Listen.Front, platform.Front(g)); err != nil {
		return err
	}
	if err := p.ServeMetrics(settings.IP); err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return err
	}
	p.Drain(drainNotice, drainLimit)
	return nil
}
