// Package loopback provides tests with addresses for processes that they start, stop and restart.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// listenPort lies below the ephemeral port range. An ephemeral port could be taken by any outgoing connection of the machine
// while its process is down.
const listenPort = 7800

var lastNumber atomic.Uint32

// Address returns a loopback address that is unique within this process. The second and third octets distinguish test
// binaries that run at the same time; with the second octet alone, one in 30 pairs of binaries had the same addresses.
func Address() string {
	const networks, hosts = 30, 250
	pid, n := os.Getpid(), int(lastNumber.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:%d", 220+pid%networks, (pid/networks+n/hosts)%hosts, n%hosts+1, listenPort)
}
