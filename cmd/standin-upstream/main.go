// Command standin-upstream is an upstream for tests and demonstrations. It registers with the agent on its host, echoes
// the body of each request, counts executions (GET /admin/counts) and injects faults (PUT /admin/behaviour).
package main

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

type options struct {
	listen, agent, service string
	slots, connections     int
	behaviour              upstreamtest.Behaviour
	fault                  string
	seed                   uint64
	leaveLimit             time.Duration
}

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "standin-upstream", Short: "Run a stand-in upstream that registers with an agent", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) },
	}
	flags := c.Flags()
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP address and port to listen on")
	flags.StringVar(&o.agent, "agent", "", "IP address and port of the agent")
	flags.StringVar(&o.service, "service", "", "name of the service")
	flags.IntVar(&o.slots, "slots", 8, "maximum number of concurrent requests")
	flags.IntVar(&o.connections, "connections", 64, "maximum number of connections")
	flags.DurationVar(&o.behaviour.ServiceTime, "service-time", 10*time.Millisecond, "run time of each request")
	flags.DurationVar(&o.behaviour.Jitter, "jitter", 0, "upper limit of a random addition to the run time")
	flags.Float64Var(&o.behaviour.FaultRate, "fault-rate", 0, "share of requests that get the fault, from 0 to 1")
	flags.StringVar(&o.fault, "fault", "", "break-before, break-after, truncate, stall, stall-body, unbounded, early or extra")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of random choices")
	flags.DurationVar(&o.leaveLimit, "leave-limit", 65*time.Second, "time limit of a graceful stop")
	for _, name := range []string{"agent", "service"} {
		_ = c.MarkFlagRequired(name)
	}
	c.AddCommand(kernel.VersionCommand())
	return c
}

// run serves until ctx ends. It then deregisters from the agent, and stops once the agent has no more requests for it.
func (o *options) run(ctx context.Context) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin-upstream", Output: os.Stderr, JSONFormat: true})
	o.behaviour.Fault = upstreamtest.Fault(o.fault)
	server, err := upstreamtest.Listen(o.listen, o.behaviour, o.seed)
	if err != nil {
		return err
	}
	defer server.Close()
	registrar := &upstreamtest.Registrar{
		Agent: o.agent, OnFailure: func(err error) { log.Warn("registration failed", "error", err) },
		Registration: structs.UpstreamRegistration{
			Service: o.service, Address: server.Address(), Slots: o.slots, Connections: o.connections,
		},
	}
	log.Info("upstream started", "address", server.Address(), "service", o.service)
	registrar.Run(ctx)
	log.Info("upstream leaves")
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.leaveLimit)
	defer cancel()
	err = registrar.Leave(leaveCtx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The agent is the only source of requests, so none can arrive any more.
		log.Warn("agent stopped before its upstream", "error", err)
		err = nil
	}
	counts := server.Counts()
	log.Info("upstream stopped", "executions", counts.Total, "max_running", counts.MaxRunning, "clean", err == nil)
	return eris.Wrap(err, "deregistering from the agent")
}
