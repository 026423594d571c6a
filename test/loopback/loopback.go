// Package loopback gives tests addresses for processes that they start, stop and start again.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// port lies below the range from which the system takes the ports of outgoing connections. An address from that range
// can be taken by any connection of the machine while its process is down.
const port = 7800

var last atomic.Uint32

// Address returns an address that no other caller of this process gets. The second and third octets tell apart test
// binaries that run at the same time; with the second alone, one in 30 pairs of binaries had the same addresses.
func Address() string {
	const networks, hosts = 30, 250
	pid, n := os.Getpid(), int(last.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:%d", 220+pid%networks, (pid/networks+n/hosts)%hosts, n%hosts+1, port)
}
