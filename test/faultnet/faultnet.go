// Package faultnet forwards TCP connections for tests and misbehaves on demand: it silently drops all bytes of existing
// connections while new ones work, delays, truncates and cuts, for all connections or for those of one source.
package faultnet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction selects one direction of the forwarded bytes.
type Direction int

// The directions. ToServer is from the side that connects.
const (
	ToServer Direction = iota
	ToClient
)

// Counts is what a forwarder has done.
type Counts struct {
	// Accepted and Open are numbers of connections.
	Accepted, Open int
	// Forwarded and Dropped are numbers of bytes by direction.
	Forwarded, Dropped [2]int64
}

// Forwarder is a TCP listener that forwards to a target. All methods are safe for concurrent use.
type Forwarder struct {
	listener   net.Listener
	goroutines sync.WaitGroup

	mu          sync.Mutex
	target      string
	delay       [2]time.Duration
	clientDelay ClientDelayFunc
	// truncateAfter is after how many bytes in a direction a new connection is cut, or negative for never.
	truncateAfter [2]int64
	refuse        bool
	blackholeNew  bool
	// identify names the source of a connection; partitioned holds the sources that don't reach the target.
	identify    func(source netip.AddrPort) string
	partitioned map[string]bool
	links       map[*link]bool
	counts      Counts
	closed      bool
}

// DelayFunc returns the delay of the next bytes in a direction. It may be called concurrently.
type DelayFunc func(Direction) time.Duration

// ClientDelayFunc returns the delay of a connection by the address of its client, or nil for none of its own.
type ClientDelayFunc func(client net.Addr) DelayFunc

// Listen starts a forwarder on a free loopback port.
func Listen(target string) (*Forwarder, error) { return ListenAt("127.0.0.1:0", target) }

// ListenAt starts a forwarder on an address.
func ListenAt(address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listening")
	}
	f := &Forwarder{listener: listener, target: target, truncateAfter: [2]int64{-1, -1}, partitioned: map[string]bool{}, links: map[*link]bool{}}
	f.goroutines.Go(f.accept)
	return f, nil
}

// Address returns the IP address and port to connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Close cuts all connections and ends the forwarder.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
	f.Cut()
	f.goroutines.Wait()
}

// SetTarget forwards new connections to another address.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

// Blackhole drops all further bytes of the existing connections in both directions and returns their number. The connections
// stay open: neither side sees data, an end or an error, whatever the other side does. New connections work.
func (f *Forwarder) Blackhole() int { return f.forEachLink((*link).blackhole) }

// Cut closes the existing connections with a reset and returns their number.
func (f *Forwarder) Cut() int { return f.forEachLink((*link).cut) }

// SetDelay holds back bytes of all connections in a direction. Bytes that already wait keep their delay.
func (f *Forwarder) SetDelay(d Direction, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay[d] = delay
}

// SetClientDelay gives each new connection a delay of its own, in addition to that of SetDelay. The first bytes of the client
// wait for one more round trip, which the handshake takes on a real link.
func (f *Forwarder) SetClientDelay(path ClientDelayFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clientDelay = path
}

// SetTruncate cuts each new connection after a number of bytes in a direction; a negative number ends this. The bytes up
// to the number are delivered, followed by a regular end of the connection.
func (f *Forwarder) SetTruncate(d Direction, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.truncateAfter[d] = bytes
}

// SetRefuse closes new connections at once.
func (f *Forwarder) SetRefuse(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
}

// SetBlackholeNew makes new connections silent from their start, like a partition that accepts connections.
func (f *Forwarder) SetBlackholeNew(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholeNew = silent
}

// Counts returns the current counts.
func (f *Forwarder) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.counts
	counts.Open = len(f.links)
	return counts
}

func (f *Forwarder) forEachLink(act func(*link)) int {
	f.mu.Lock()
	links := make([]*link, 0, len(f.links))
	for l := range f.links {
		links = append(links, l)
	}
	f.mu.Unlock()
	for _, l := range links {
		act(l)
	}
	return len(links)
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.goroutines.Go(func() { f.handleConnection(client) })
	}
}

// dialTimeout bounds the connection to a target.
const dialTimeout = 2 * time.Second

func (f *Forwarder) handleConnection(client net.Conn) {
	f.mu.Lock()
	f.counts.Accepted++
	refuse, mute, target, limit := f.refuse || f.closed, f.blackholeNew, f.target, f.truncateAfter
	path, identify := f.clientDelay, f.identify
	f.mu.Unlock()
	if refuse {
		resetConn(client)
		return
	}
	var delay DelayFunc
	established := time.Now()
	if path != nil {
		if delay = path(client.RemoteAddr()); delay != nil {
			established = established.Add(delay(ToServer) + delay(ToClient))
		}
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	l := newLink(f, client, server, limit)
	l.delay, l.established = delay, established
	if identify != nil {
		l.source = identify(addrPort(client.RemoteAddr()))
	}
	f.mu.Lock()
	if mute || f.isPartitioned(l) {
		l.blackhole()
	}
	f.links[l] = true
	closed := f.closed
	f.mu.Unlock()
	if closed {
		l.cut()
	}
	l.run()
	f.mu.Lock()
	delete(f.links, l)
	f.mu.Unlock()
}

func (f *Forwarder) addCounts(d Direction, forwarded, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Forwarded[d] += int64(forwarded)
	f.counts.Dropped[d] += int64(dropped)
}

func (f *Forwarder) delayFor(d Direction) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay[d]
}

// resetConn closes a connection so that the peer gets an error instead of a regular end.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
