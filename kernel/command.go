package kernel

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// Version is the released version of the project.
const Version = "0.1.0"

// Main runs the command of a role and exits the process.
func Main(role Role, short string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Command(role, short).ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// Command returns the command line of a role.
func Command(role Role, short string) *cobra.Command {
	var path string
	var check bool
	command := &cobra.Command{
		Use: "quetzalshed-" + string(role), Short: short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			process, err := LoadProcess(role, path)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), path+": settings are valid")
				return nil
			}
			return process.Run(cmd.Context())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "path of the INI settings file")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(VersionCommand())
	return command
}

// VersionCommand returns the command that prints the version.
func VersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "quetzalshed %s (%s)\n", Version, goVersion)
		},
	}
}
