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

// The default one-way delay has a mean of 4 ms, as between the sites of the design.
const (
	defaultMinDelay  = 3 * time.Millisecond
	defaultMeanExtra = time.Millisecond
	defaultLossRate  = 0.002
	// minRetransmitTimeout is the minimum retransmission timeout of TCP on Linux.
	minRetransmitTimeout = 200 * time.Millisecond
)

// LinkDelay describes the one-way delay of a link: the sum of a minimum, an exponentially distributed part and a
// retransmission timeout for lost messages.
type LinkDelay struct {
	Min, MeanExtra time.Duration
	LossRate       float64
}

func (d LinkDelay) sample(faultnet.Direction) time.Duration {
	delay := d.Min + time.Duration(rand.ExpFloat64()*float64(d.MeanExtra))
	if rand.Float64() < d.LossRate {
		delay += minRetransmitTimeout
	}
	return delay
}

// delaysTo returns the delays of the connections to an address in a failure domain. Connections from the same failure
// domain and from processes outside the fleet have none.
func delaysTo(listen, domain string, processes *processFinder, delay LinkDelay) faultnet.ClientDelayFunc {
	return func(client net.Addr) faultnet.DelayFunc {
		from, ok := processes.domainOf(client.String(), listen)
		if !ok || from == domain {
			return nil
		}
		return delay.sample
	}
}

// processFinder finds the process that opened a connection, by its socket in /proc. path is the file of processes.
type processFinder struct{ path string }

// domainOf returns the failure domain of the process that has a connection from one local address to another.
func (f *processFinder) domainOf(from, to string) (string, bool) {
	inode, err := socketInode(from, to)
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

// socketInode returns the inode of the socket of a TCP connection.
func socketInode(from, to string) (string, error) {
	local, err := procNetAddress(from)
	if err != nil {
		return "", err
	}
	remote, err := procNetAddress(to)
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

// procNetAddress formats an address as /proc/net/tcp does on a little-endian machine.
func procNetAddress(address string) (string, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", err
	}
	ip := parsed.Addr().Unmap().As4()
	ip[0], ip[1], ip[2], ip[3] = ip[3], ip[2], ip[1], ip[0]
	return strings.ToUpper(hex.EncodeToString(ip[:])) + fmt.Sprintf(":%04X", parsed.Port()), nil
}
