package ingress

import "syscall"

// limitReceiveBuffers sets how many received bytes the kernel may hold for each connection that has not been accepted yet. What has
// arrived before a connection is accepted stays, so a limit that is set then comes too late.
func (l *listener) limitReceiveBuffers(crowded bool) {
	if crowded == l.crowded {
		return
	}
	l.crowded = crowded
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	size := calmReceiveBytes
	if crowded {
		size = crowdedReceiveBytes
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	}
}
