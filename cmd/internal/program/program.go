// Package program provides the command line and the connection to the platform for the programs that run on the users'
// platform.
package program

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/hosting"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/platform"
	"github.com/quetzalshed/quetzalshed/rpc"
)

// Main runs a program from its command line and exits the process on failure.
func Main(use, short string, run func(ctx context.Context, level hclog.Level) error) {
	level := "info"
	command := &cobra.Command{
		Use: use, Short: short, Version: kernel.Version, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), hclog.LevelFromString(level)) },
	}
	command.Flags().StringVar(&level, "log-level", level, "trace, debug, info, warn or error")
	kernel.Execute(command, kernel.GenericExitStatus)
}

// Program is a process that is connected to the users' platform.
type Program struct {
	*hosting.Process
	Settings *platform.Settings
	// Address is the address of the process for other processes, as IP:PORT.
	Address   string
	Store     *kv.Monitor
	Locator   *ownership.Locator
	RPC       *rpc.Client
	Operators *platform.OperatorWatcher
}

// New reads the settings and connects to the platform. memoryLimit is the soft memory limit of the Go runtime in bytes;
// the garbage collector runs more often near it. The memory of the host may lower it.
func New(role string, level hclog.Level, memoryLimit int64) (*Program, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	process := hosting.New(settings.NodeName, role, level, memoryLimit, settings.IngressLimits())
	client := platform.NewStore(settings.Platform.Address, process.Scope)
	store := kv.NewMonitor(client)
	p := &Program{
		Process: process, Settings: settings, Address: settings.InternalAddress(0), Store: store,
		Locator: ownership.NewLocator(store, process.Log), RPC: rpc.NewClient(),
		Operators: &platform.OperatorWatcher{Store: store, Log: process.Log},
	}
	p.Log.Info("process starting", "host", settings.NodeName, "failure_domain", settings.Zone, "address", p.Address)
	go platform.WatchSettings(context.Background(), p.Log, func(s *platform.Settings) { client.SetAddress(s.Platform.Address) })
	return p, nil
}

// Join starts locating the owner and registers the process in the store, both in the background until ctx ends.
func (p *Program) Join(ctx context.Context) {
	go p.Locator.Run(ctx)
	go ownership.Register(ctx, p.Store, p.Settings.NodeName, p.Address, p.Log)
}
