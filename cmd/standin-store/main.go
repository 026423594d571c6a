// Command standin-store serves an in-memory stand-in for the platform's key-value service.
package main

import (
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "standin-store", Short: "Serve an in-memory key-value store with fault injection", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return kernel.ServeUntil(cmd.Context(), listen, storetest.New(clock.System{}).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "IP address and port to listen on")
	command.AddCommand(kernel.VersionCommand())
	return command
}
