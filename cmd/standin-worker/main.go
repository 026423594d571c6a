// Command standin-worker serves an in-memory worker over HTTP for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/platform/worker/workertest"
	"github.com/quetzalshed/quetzalshed/structs"
)

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
	var capacity structs.Resources
	c := &cobra.Command{
		Use: "standin-worker", Short: "Serve an in-memory worker", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return eris.Wrap(err, "--listen")
			}
			return serve(cmd.Context(), address, workertest.New(clock.System{}, capacity))
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port")
	c.Flags().Int64Var(&capacity.MilliCores, "milli-cores", 16000, "processor time in thousandths of a core")
	c.Flags().Int64Var(&capacity.MemoryMB, "memory-mb", 60000, "memory in MB")
	c.Flags().Int64Var(&capacity.Accelerators, "accelerators", 0, "number of accelerators")
	return c
}

func serve(ctx context.Context, address netip.AddrPort, w *workertest.Worker) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	server := &http.Server{Handler: w.Handler(), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Fprintln(os.Stderr, "standin-worker listens on", listener.Addr())
	select {
	case err := <-failed:
		return eris.Wrap(err, "serving")
	case <-ctx.Done():
		return server.Close()
	}
}
