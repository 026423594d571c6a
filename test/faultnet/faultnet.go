// Package faultnet forwards TCP connections for tests and injects network faults. It can blackhole, delay, truncate, reset
// and refuse connections, and partition one source from the target.
package faultnet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is a direction of the forwarded bytes.
type Direction int

// The directions. The client is the side that connects.
const (
	ToServer Direction = iota
	ToClient
)

// Counts holds the counters of a forwarder.
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
	// truncateAfter is the number of bytes in a direction after which a new connection ends; negative means no limit.
	truncateAfter [2]int64
	refuse        bool
	blackholeNew  bool
	// identify names the source of a connection. partitioned holds the sources that are partitioned from the target.
	identify    func(source netip.AddrPort) string
	partitioned map[string]bool
	links       map[*link]bool
	counts      Counts
	closed      bool
}

// DelayFunc returns the delay of the next bytes in a direction. It may be called concurrently.
type DelayFunc func(Direction) time.Duration

// ClientDelayFunc returns the delay of a connection for the address of its client, or nil for none.
type ClientDelayFunc func(client net.Addr) DelayFunc

// Listen starts a forwarder to target on a free loopback port.
func Listen(target string) (*Forwarder, error) { return ListenAt("127.0.0.1:0", target) }

// ListenAt starts a forwarder to target on an address.
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

// Close resets all connections and stops the forwarder.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.listener.Close()
	f.Cut()
	f.goroutines.Wait()
}

// Blackhole drops all further bytes of the existing connections in both directions and returns their number. The connections
// stay open: neither side sees data, an end of the stream or an error, whatever the other side does. New connections work.
func (f *Forwarder) Blackhole() int { return f.forEachLink((*link).blackhole) }

// Cut resets the existing connections and returns their number.
func (f *Forwarder) Cut() int { return f.forEachLink((*link).cut) }

// SetDelay delays the bytes of all connections in a direction. Bytes that are already waiting keep their delay.
func (f *Forwarder) SetDelay(d Direction, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay[d] = delay
}

// SetClientDelay sets a delay for each new connection, in addition to that of SetDelay. The first bytes of the client wait for
// one more round trip, which the handshake takes on a real link.
func (f *Forwarder) SetClientDelay(clientDelay ClientDelayFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clientDelay = clientDelay
}

// SetTruncate ends each new connection after a number of bytes in a direction; a negative number removes the limit. The bytes
// up to the limit are delivered, followed by a regular end of the connection.
func (f *Forwarder) SetTruncate(d Direction, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.truncateAfter[d] = bytes
}

// SetRefuse sets whether new connections are reset at once.
func (f *Forwarder) SetRefuse(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
}

// SetBlackholeNew sets whether new connections are accepted but all their bytes are dropped.
func (f *Forwarder) SetBlackholeNew(blackhole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholeNew = blackhole
}

// Counts returns the current counters.
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

// dialTimeout is the timeout for connecting to the target.
const dialTimeout = 2 * time.Second

func (f *Forwarder) handleConnection(client net.Conn) {
	f.mu.Lock()
	f.counts.Accepted++
	refuse, blackhole, target, truncateAfter := f.refuse || f.closed, f.blackholeNew, f.target, f.truncateAfter
	clientDelay, identify := f.clientDelay, f.identify
	f.mu.Unlock()
	if refuse {
		resetConn(client)
		return
	}
	var delay DelayFunc
	established := time.Now()
	if clientDelay != nil {
		if delay = clientDelay(client.RemoteAddr()); delay != nil {
			established = established.Add(delay(ToServer) + delay(ToClient))
		}
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	l := newLink(f, client, server, truncateAfter)
	l.delay, l.established = delay, established
	if identify != nil {
		l.source = identify(addrPort(client.RemoteAddr()))
	}
	f.mu.Lock()
	if blackhole || f.isPartitioned(l) {
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

// resetConn closes a connection with a TCP reset, so that the peer gets an error instead of an end of the stream.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
