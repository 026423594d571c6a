// Command quetzalshed-replay replays recorded traces against the decision packages and compares them with a baseline.
package main

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/replay"
)

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	check, shares := false, false
	c := &cobra.Command{
		Use: "quetzalshed-replay TRACE...", Short: "Replay traces and compare the outcomes with a baseline",
		Args: cobra.MinimumNArgs(1), SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, paths []string) error {
			missed := 0
			for _, path := range paths {
				trace, err := replay.Load(path)
				if err != nil {
					return err
				}
				if check {
					continue
				}
				report := replay.Run(trace)
				if err := report.Print(c.OutOrStdout()); err != nil {
					return eris.Wrap(err, "printing the report")
				}
				if shares {
					if err := report.PrintCPUTime(c.OutOrStdout()); err != nil {
						return eris.Wrap(err, "printing the shares")
					}
				}
				missed += len(report.Missed)
			}
			if missed > 0 {
				return eris.Errorf("%d expected outcomes were not met", missed)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&check, "check", false, "check the traces and exit")
	c.Flags().BoolVar(&shares, "shares", false, "also print how the fleet's processor time was used, with idle time by cause")
	c.AddCommand(kernel.VersionCommand())
	return c
}
