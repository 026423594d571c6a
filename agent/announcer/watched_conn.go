package announcer

import (
	"context"
	"net"
	"sync/atomic"
)

// watchedConn calls onPeerClose when its peer closes the connection or the connection fails. http.Transport always has a
// read pending on an idle connection, so the call follows immediately and needs neither traffic nor a timer.
type watchedConn struct {
	net.Conn
	onPeerClose func()
	closed      atomic.Bool
}

// dialWatched returns a dial function for http.Transport whose connections call onPeerClose when the peer closes them.
func dialWatched(dialer *net.Dialer, onPeerClose func()) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, onPeerClose: onPeerClose}, nil
	}
}

// Read reads from the connection and calls onPeerClose on an error, unless this side has closed the connection.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.closed.Load() {
		c.onPeerClose()
	}
	return n, err
}

// Close closes the connection. Read doesn't call onPeerClose from then on.
func (c *watchedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
