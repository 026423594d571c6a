package requests

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// publishTimeout bounds the announcement before a drain: unreachable entries don't delay it for longer.
const publishTimeout = 2 * time.Second

// Drain tells entries that the agent leaves, then refuses new requests, and returns when accepted requests have ended and
// entries had time to fetch responses over a new connection.
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

// announceLeaving returns when entries know of a change and requests that were on their way have arrived.
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
