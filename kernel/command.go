package kernel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Version is the released version of the project.
const Version = "0.1.0"

// Main runs the command of a role and exits with status 1 on failure.
func Main(role Role, short string) {
	Execute(Command(role, short), GenericExitStatus)
}

// Execute runs a command until it returns; SIGTERM and SIGINT cancel its context. On failure it prints the error and
// exits with the status that exitStatus returns for it.
func Execute(command *cobra.Command, exitStatus func(error) int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

// GenericExitStatus returns 1, for commands that don't distinguish kinds of failure.
func GenericExitStatus(error) int { return 1 }

// ServeUntil serves HTTP on an address until ctx ends, and prints the address once it is listening. It is meant for the
// standin-* test programs, which need no graceful shutdown.
func ServeUntil(ctx context.Context, address string, handler http.Handler) error {
	const headerTimeout = 5 * time.Second
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	fmt.Fprintln(os.Stderr, "listening on", listener.Addr())
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serving")
	}
	return nil
}

// Command returns the root command of a role's program.
func Command(role Role, short string) *cobra.Command {
	var settingsPath string
	var checkOnly bool
	command := &cobra.Command{
		Use: "quetzalshed-" + string(role), Short: short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			process, err := LoadProcess(role, settingsPath)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintln(cmd.OutOrStdout(), settingsPath+": settings are valid")
				return nil
			}
			return process.Run(cmd.Context())
		},
	}
	command.Flags().StringVar(&settingsPath, "settings", "", "path of the INI settings file")
	command.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.AddCommand(VersionCommand())
	return command
}

// VersionCommand returns the version subcommand.
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
