package soak

import (
	"net"
	"sync"
	"time"
)

// link is a proxy between two processes. Bytes that it holds up are delivered once it heals, even if their sender has closed the
// connection since, as they are by TCP.
type link struct {
	address, target string
	// rewrite adapts the addresses in the bytes to the target; nil leaves them as they are.
	rewrite func([]byte) []byte

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]net.Conn
	// limit is the number of connections above which new ones are reset, or refused if refuseAtLimit is set; 0 means none.
	limit         int
	refuseAtLimit bool
	// peak is the largest number of connections so far.
	peak   int
	there  direction
	back   direction
	change chan struct{}
	// opened counts the connections so far. Those up to silentUpTo pass on nothing any more.
	opened, silentUpTo int
}

// direction is the state of one way of a link.
type direction struct {
	held  bool
	delay time.Duration
}

const (
	linkDialTimeout = time.Second
	linkChunk       = 32 << 10
)

func newLink(address, target string, rewrite func([]byte) []byte) (*link, error) {
	l := &link{
		address: address, target: target, rewrite: rewrite, conns: map[net.Conn]net.Conn{}, change: make(chan struct{}),
	}
	return l, l.open()
}

// open accepts connections again.
func (l *link) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.acceptAll(listener)
	return nil
}

// refuse closes the listener, so that new connections are refused.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// set changes the state of both ways.
func (l *link) set(there, back direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there, l.back = there, back
	close(l.change)
	l.change = make(chan struct{})
}

// isHeld reports whether the bytes of a way are held up.
func (l *link) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.there.held || l.back.held
}

// silence lets the open connections pass on nothing any more, while new ones work. They don't count for the limit.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUpTo = l.opened
	clear(l.conns)
}

func (l *link) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// setRefuseAtLimit sets whether connections above the limit are refused or reset.
func (l *link) setRefuseAtLimit(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseAtLimit = refuse
}

// reset resets all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for client, server := range l.conns {
		abort(client)
		abort(server)
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

func (l *link) acceptAll(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

func (l *link) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		l.await(0, &l.there)
		abort(client)
		return
	}
	l.mu.Lock()
	if l.limit > 0 && len(l.conns) >= l.limit {
		l.mu.Unlock()
		abort(client)
		abort(server)
		return
	}
	l.conns[client] = server
	l.opened++
	number := l.opened
	l.peak = max(l.peak, len(l.conns))
	full := l.refuseAtLimit && l.limit > 0 && len(l.conns) >= l.limit
	l.mu.Unlock()
	if full {
		l.refuse()
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(server, client, number, &l.there, l.rewrite) })
	pumps.Go(func() { l.pump(client, server, number, &l.back, nil) })
	pumps.Wait()
	_ = client.Close()
	_ = server.Close()
	l.mu.Lock()
	delete(l.conns, client)
	reopen := l.refuseAtLimit && len(l.conns) < l.limit
	l.mu.Unlock()
	if reopen {
		_ = l.open()
	}
}

// pump copies one way of a connection. An end of the source is passed on after all bytes before it.
func (l *link) pump(to, from net.Conn, number int, d *direction, rewrite func([]byte) []byte) {
	buffer := make([]byte, linkChunk)
	for {
		n, err := from.Read(buffer)
		l.await(number, d)
		if n > 0 {
			data := buffer[:n]
			if rewrite != nil {
				data = rewrite(data)
			}
			if _, writeErr := to.Write(data); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// await waits for the delay of a direction, and until neither it is held nor the connection of that number is silent.
func (l *link) await(number int, d *direction) {
	l.mu.Lock()
	delay := d.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		held, change := d.held || number != 0 && number <= l.silentUpTo, l.change
		l.mu.Unlock()
		if !held {
			return
		}
		<-change
	}
}
