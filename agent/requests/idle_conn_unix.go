//go:build unix

package requests

import (
	"net"
	"syscall"
)

// closedOrReadable tells whether an idle connection has been closed by its peer or holds bytes that nobody asked for. Either way
// it must not be used again.
func closedOrReadable(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	var readable bool
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = n > 0 || (err != syscall.EAGAIN && err != syscall.EWOULDBLOCK)
		return true
	})
	return err != nil || readable
}
