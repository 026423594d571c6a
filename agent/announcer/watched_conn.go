package announcer

import (
	"context"
	"net"
	"sync/atomic"
)

// watchedConn reports when its peer ends the connection. http.Transport always has a read pending on a kept connection,
// so the report comes at once and costs neither traffic nor a timer.
type watchedConn struct {
	net.Conn
	onPeerClose func()
	closed      atomic.Bool
}

// dialWatched returns a dial function for http.Transport whose connections call lost when the peer ends them.
func dialWatched(dialer *net.Dialer, onPeerClose func()) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, onPeerClose: onPeerClose}, nil
	}
}

// Read reads from the connection. An error after Close is not a report about the peer.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.closed.Load() {
		c.onPeerClose()
	}
	return n, err
}

// Close closes the connection on this side.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
