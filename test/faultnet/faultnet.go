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
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	target string
	delay  [2]time.Duration
	path   PathFunc
	// limit is after how many bytes in a direction a new connection is cut, or negative for never.
	limit  [2]int64
	refuse bool
	mute   bool
	// identify names the source of a connection; apart holds the sources that don't reach the target.
	identify func(source netip.AddrPort) string
	apart    map[string]bool
	conns    map[*link]bool
	counts   Counts
	closed   bool
}

// DelayFunc returns the delay of the next bytes in a direction. It may be called concurrently.
type DelayFunc func(Direction) time.Duration

// PathFunc returns the delay of a connection by the address of its client, or nil for none of its own.
type PathFunc func(client net.Addr) DelayFunc

// Listen starts a forwarder on a free loopback port.
func Listen(target string) (*Forwarder, error) { return ListenAt("127.0.0.1:0", target) }

// ListenAt starts a forwarder on an address.
func ListenAt(address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listening")
	}
	f := &Forwarder{listener: listener, target: target, limit: [2]int64{-1, -1}, apart: map[string]bool{}, conns: map[*link]bool{}}
	f.done.Go(f.accept)
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
	f.done.Wait()
}

// SetTarget forwards new connections to another address.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

// Silence drops all further bytes of the existing connections in both directions and returns their number. The connections
// stay open: neither side sees data, an end or an error, whatever the other side does. New connections work.
func (f *Forwarder) Silence() int { return f.each((*link).silence) }

// Cut closes the existing connections with a reset and returns their number.
func (f *Forwarder) Cut() int { return f.each((*link).cut) }

// SetDelay holds back bytes of all connections in a direction. Bytes that already wait keep their delay.
func (f *Forwarder) SetDelay(d Direction, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay[d] = delay
}

// SetPath gives each new connection a delay of its own, in addition to that of SetDelay. The first bytes of the client
// wait for one more round trip, which the handshake takes on a real link.
func (f *Forwarder) SetPath(path PathFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.path = path
}

// SetTruncate cuts each new connection after a number of bytes in a direction; a negative number ends this. The bytes up
// to the number are delivered, followed by a regular end of the connection.
func (f *Forwarder) SetTruncate(d Direction, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit[d] = bytes
}

// SetRefuse closes new connections at once.
func (f *Forwarder) SetRefuse(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
}

// SetSilentStart makes new connections silent from their start, like a partition that accepts connections.
func (f *Forwarder) SetSilentStart(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mute = silent
}

// Counts returns the current counts.
func (f *Forwarder) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.counts
	counts.Open = len(f.conns)
	return counts
}

func (f *Forwarder) each(act func(*link)) int {
	f.mu.Lock()
	links := make([]*link, 0, len(f.conns))
	for l := range f.conns {
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
		f.done.Go(func() { f.connect(client) })
	}
}

// dialTimeout bounds the connection to a target.
const dialTimeout = 2 * time.Second

func (f *Forwarder) connect(client net.Conn) {
	f.mu.Lock()
	f.counts.Accepted++
	refuse, mute, target, limit := f.refuse || f.closed, f.mute, f.target, f.limit
	path, identify := f.path, f.identify
	f.mu.Unlock()
	if refuse {
		reset(client)
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
		reset(client)
		return
	}
	l := newLink(f, client, server, limit)
	l.delay, l.established = delay, established
	if identify != nil {
		l.source = identify(addrPort(client.RemoteAddr()))
	}
	f.mu.Lock()
	if mute || f.separates(l) {
		l.silence()
	}
	f.conns[l] = true
	closed := f.closed
	f.mu.Unlock()
	if closed {
		l.cut()
	}
	l.run()
	f.mu.Lock()
	delete(f.conns, l)
	f.mu.Unlock()
}

func (f *Forwarder) count(d Direction, forwarded, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Forwarded[d] += int64(forwarded)
	f.counts.Dropped[d] += int64(dropped)
}

func (f *Forwarder) delayOf(d Direction) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay[d]
}

// reset closes a connection so that the peer gets an error instead of a regular end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
