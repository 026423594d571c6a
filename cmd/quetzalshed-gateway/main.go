// Command quetzalshed-gateway accepts jobs from clients on a front host of the platform.
package main

import (
	"context"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"

	"github.com/quetzalshed/quetzalshed/cmd/internal/program"
	"github.com/quetzalshed/quetzalshed/gateway"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/owner"
	"github.com/quetzalshed/quetzalshed/platform"
)

const (
	// memoryLimit is the soft memory limit of the Go runtime in bytes.
	memoryLimit = 120 << 20
	// drainNotice is longer than the load balancer needs to detect that the process isn't ready.
	drainNotice = 2500 * time.Millisecond
	// drainLimit is how long requests in progress may take to finish.
	drainLimit = 2500 * time.Millisecond
	// drainFraction is the fraction of the time from SIGTERM to SIGKILL that drainNotice and drainLimit may each take.
	drainFraction = 0.42
)

func main() {
	program.Main("quetzalshed-gateway", "Accepts jobs from clients", run)
}

func run(ctx context.Context, level hclog.Level) error {
	p, err := program.New("gateway", level, memoryLimit)
	if err != nil {
		return err
	}
	defer p.Close()
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := gateway.New(p.Store, p.Locator, p.RPC, p.Log, p.Scope)
	p.Join(backgroundCtx)
	go g.Run(backgroundCtx, p.Operators)
	if err := serve(p, g); err != nil {
		return err
	}
	if err := p.Wait(ctx); err != nil {
		return err
	}
	phaseLimit := time.Duration(drainFraction * p.Settings.Bounds.GraceS * float64(time.Second))
	p.Drain(min(drainNotice, phaseLimit), min(drainLimit, phaseLimit))
	return nil
}

// serve listens on all addresses of the process, and on the address for clients last.
func serve(p *program.Program, g *gateway.Gateway) error {
	internal := mux.NewRouter()
	owner.RegisterAnnounce(internal, p.Locator)
	internal.Handle("/metrics", p.Metrics)
	if err := p.Serve(p.Address, ingress.SecondaryShare, internal); err != nil {
		return err
	}
	if err := p.ServeMetrics(p.Settings.IP); err != nil {
		return err
	}
	ready := platform.ReadinessHandler(func() bool { return g.Ready() && !p.Draining() })
	if err := p.Serve(p.Settings.Listen.Ready, ingress.MinorShare, ready); err != nil {
		return err
	}
	return p.Serve(p.Settings.Listen.Front, ingress.MainShare, platform.ClientHandler(g))
}
