package forward

import (
	"errors"
	"syscall"
)

// stale reports whether an idle connection was closed by the peer or has unexpected bytes to read, such as a late or
// duplicate response. Without this check, each restart of an agent would leave requests on its old connections with an
// unknown outcome. It doesn't block.
func (c *conn) stale() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	source, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		stale = !errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return stale || err != nil
}
