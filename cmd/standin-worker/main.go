// Command standin-worker serves an in-memory worker over HTTP for tests and demonstrations.
package main

import (
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/worker/workertest"
)

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var listen string
	var capacity structs.Resources
	c := &cobra.Command{
		Use: "standin-worker", Short: "Serve an in-memory worker", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return eris.Wrap(err, "--listen")
			}
			return kernel.ServeUntil(cmd.Context(), address.String(), workertest.New(clock.System{}, capacity).Handler())
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port")
	c.Flags().Int64Var(&capacity.MilliCores, "milli-cores", 16000, "processor time in thousandths of a core")
	c.Flags().Int64Var(&capacity.MemoryMB, "memory-mb", 60000, "memory in MB")
	c.Flags().Int64Var(&capacity.Accelerators, "accelerators", 0, "number of accelerators")
	c.AddCommand(kernel.VersionCommand())
	return c
}
