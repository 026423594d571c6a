package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/structs"
)

// pingPath is the path to which a live agent responds with status 200.
const pingPath = "/v1/ping"

// probeChecksPerInterval is how often per probe interval the pool looks for connections that are due for a probe.
const probeChecksPerInterval = 4

// RunProbes probes idle connections until ctx ends.
func (p *Pool) RunProbes(ctx context.Context) {
	ticker := time.NewTicker(p.opts.ProbeEvery / probeChecksPerInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range p.takeDueForProbe(time.Now()) {
				probes.Go(func() { p.probe(ctx, c) })
			}
		}
	}
}

// takeDueForProbe removes and returns the idle connections that are due for a probe. It closes those that have reached
// the idle timeout.
func (p *Pool) takeDueForProbe(now time.Time) []*idleConn {
	var due, lapsed []*idleConn
	p.mu.Lock()
	for address, conns := range p.agents {
		keep := conns.idle[:0]
		expired := 0
		for _, c := range conns.idle {
			switch {
			case now.Sub(c.idleSince) > p.opts.IdleTimeout:
				lapsed = append(lapsed, c)
				expired++
			case now.Sub(c.lastProbe) >= p.opts.ProbeEvery:
				due = append(due, c)
			default:
				keep = append(keep, c)
			}
		}
		clear(conns.idle[len(keep):])
		p.idle -= len(conns.idle) - len(keep)
		conns.idle = keep
		if expired > 0 {
			p.removeConns(address, expired)
		}
	}
	p.mu.Unlock()
	for _, c := range lapsed {
		_ = c.raw.Close()
	}
	return due
}

// probe pings an idle connection and returns it to the pool. If the ping fails, all connections to the agent are
// invalidated.
func (p *Pool) probe(ctx context.Context, c *idleConn) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ProbeTimeout)
	defer cancel()
	start := time.Now()
	m, reusable, err := c.roundTrip(ctx, newRequest(http.MethodGet, c.address, pingPath, nil, nil), nil, noMemoryLimit)
	if err == nil {
		err = checkPing(m)
	}
	if err != nil {
		p.InvalidateConnections(c.address)
	}
	p.put(c.conn, reusable && err == nil, c.idleSince)
	if p.opts.OnProbe != nil {
		p.opts.OnProbe(c.address, time.Since(start), err)
	}
}

// checkPing rejects a late response to an earlier attempt that arrives instead of the response to the ping.
func checkPing(m *Response) error {
	if m.Status != http.StatusOK || m.Header.Get(structs.HeaderAttempt) != "" {
		return &ExchangeError{Kind: FaultWrongResponse, Cause: eris.Errorf("unexpected response to a ping with status %d", m.Status)}
	}
	return nil
}
