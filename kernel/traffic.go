package kernel

import (
	"errors"
	"net"
	"syscall"

	"github.com/uber-go/tally/v4"
)

// countingListener counts the bytes received and sent on the connections that it accepts, so that operators can see the
// volume of control traffic of a process.
type countingListener struct {
	net.Listener
	received, sent tally.Counter
}

// CountTraffic returns a listener that counts the traffic of its connections in the metrics http.received_bytes and http.sent_bytes
// of a scope.
func CountTraffic(listener net.Listener, scope tally.Scope) net.Listener {
	http := scope.SubScope("http")
	return &countingListener{listener, http.Counter("received_bytes"), http.Counter("sent_bytes")}
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l}, nil
}

var errNoSocket = errors.New("kernel: the listener has no socket")

// SyscallConn returns the listening socket.
func (l *countingListener) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := l.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoSocket
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read reads from the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.received.Inc(int64(n))
	return n, err
}

// SetReadBuffer limits the received bytes that the kernel holds until they are read.
func (c *countingConn) SetReadBuffer(bytes int) error {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return nil
}

// CloseWrite ends what is sent. Package http calls it before it closes a connection with unread bytes.
func (c *countingConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write writes to the connection.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.sent.Inc(int64(n))
	return n, err
}
