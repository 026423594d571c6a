//go:build unix

package requests

import (
	"net"
	"syscall"
)

// closedOrReadable reports whether an idle connection was closed by its peer or has received bytes that belong to no
// request. In both cases it must not be reused.
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
