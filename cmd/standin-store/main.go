// Command standin-store serves an in-memory stand-in for the platform's key-value service.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/platform/store/storetest"
)

// headerTimeout bounds how long a connection may take to send the header of a request.
const headerTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "standin-store", Short: "Serve an in-memory key-value store with fault injection", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), listen) },
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "IP address and port to listen on")
	command.AddCommand(kernel.VersionCommand())
	return command
}

func serve(ctx context.Context, listen string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: storetest.New(clock.System{}).Handler(), ReadHeaderTimeout: headerTimeout}
	fmt.Fprintln(os.Stderr, "listening on", listener.Addr())
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
