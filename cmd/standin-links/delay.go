package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

// The default delay has the mean of the design's sites, 4 ms one way.
const (
	defaultLeast    = 3 * time.Millisecond
	defaultVariable = time.Millisecond
	defaultLoss     = 0.002
	// resendAfter is the least retransmission timeout of TCP on Linux.
	resendAfter = 200 * time.Millisecond
)

// Delay describes the delay of a link one way: a least part, an exponential part, and resends of lost messages.
type Delay struct {
	Least, Mean time.Duration
	LossRate    float64
}

func (d Delay) next(faultnet.Direction) time.Duration {
	delay := d.Least + time.Duration(rand.ExpFloat64()*float64(d.Mean))
	if rand.Float64() < d.LossRate {
		delay += resendAfter
	}
	return delay
}

// pathTo returns the delays of the connections to an address in a failure domain. A client that is no process of the
// fleet has none.
func pathTo(listen, domain string, processes *finder, delay Delay) faultnet.ClientDelayFunc {
	return func(client net.Addr) faultnet.DelayFunc {
		from, ok := processes.domainOf(client.String(), listen)
		if !ok || from == domain {
			return nil
		}
		return delay.next
	}
}

// finder finds the process that opened a connection, through /proc.
type finder struct{ path string }

// domainOf returns the failure domain of the process that has a connection from one local address to another.
func (f *finder) domainOf(from, to string) (string, bool) {
	inode, err := inodeOf(from, to)
	if err != nil {
		return "", false
	}
	processes, err := readFields(f.path, 2)
	if err != nil {
		return "", false
	}
	want := "socket:[" + inode + "]"
	for _, process := range processes {
		sockets, _ := filepath.Glob("/proc/" + process[0] + "/fd/*")
		for _, socket := range sockets {
			if target, err := os.Readlink(socket); err == nil && target == want {
				return process[1], true
			}
		}
	}
	return "", false
}

// inodeOf returns the inode of the socket of a TCP connection.
func inodeOf(from, to string) (string, error) {
	local, err := hexOf(from)
	if err != nil {
		return "", err
	}
	remote, err := hexOf(to)
	if err != nil {
		return "", err
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	defer table.Close()
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		const inodeField = 9
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[1] == local && fields[2] == remote {
			return fields[inodeField], nil
		}
	}
	return "", fmt.Errorf("no connection from %s to %s", from, to)
}

// hexOf writes an address as /proc/net/tcp does on a little-endian machine.
func hexOf(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	ip := parsed.Addr().Unmap().As4()
	ip[0], ip[1], ip[2], ip[3] = ip[3], ip[2], ip[1], ip[0]
	return strings.ToUpper(hex.EncodeToString(ip[:])) + fmt.Sprintf(":%04X", parsed.Port()), nil
}
