package requests

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// publishTimeout limits the announcement before a drain, so that unreachable entries can't delay the drain any longer.
const publishTimeout = 2 * time.Second

// Drain announces that the agent leaves, then refuses new requests. It returns when all accepted requests have ended and
// the linger time, in which entries can still fetch responses over a new connection, has passed.
func (m *Module) Drain(ctx context.Context) error {
	m.drainOnce.Do(func() { close(m.draining) })
	m.announceLeaving(ctx)
	m.upstreams.close()
	for {
		live, lastEnd, changed := m.attempts.activity()
		wait := m.settings.Linger - m.clock.Now().Sub(lastEnd)
		if live == 0 && (lastEnd.IsZero() || wait <= 0) {
			return nil
		}
		var linger <-chan time.Time
		if live == 0 {
			linger = time.After(wait)
		}
		select {
		case <-changed:
		case <-linger:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d requests have not ended", live)
		}
	}
}

// announceLeaving publishes an announcement and then waits for LeaveGrace, so that requests sent before entries received
// the announcement can still arrive.
func (m *Module) announceLeaving(ctx context.Context) {
	if m.announcer != nil {
		limited, cancel := context.WithTimeout(ctx, publishTimeout)
		m.announcer.Publish(limited)
		cancel()
	}
	timer := time.NewTimer(m.settings.LeaveGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
