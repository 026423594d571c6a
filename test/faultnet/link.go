package faultnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkSize is the size of the read buffer.
	chunkSize = 16 << 10
	// truncatedReadTimeout limits how long the receiver of a truncated stream may keep its side open.
	truncatedReadTimeout = 2 * time.Second
	// maxQueuedChunks limits the chunks that wait in one direction. Beyond it reading blocks.
	maxQueuedChunks = 1024
)

// link is one forwarded connection.
type link struct {
	forwarder *Forwarder
	// source is the name of the client, or empty if it is unknown.
	source string
	// conns holds the connection from the client and the one to the server. Direction d reads from conns[d].
	conns     [2]net.Conn
	remaining [2]int64
	// delay is added to the forwarder's delay. It may be nil.
	delay DelayFunc
	// established is when the handshake would have completed on a real link.
	established time.Time

	// blackholed is closed when the link drops all further bytes.
	blackholed    chan struct{}
	truncated     atomic.Bool
	ended         chan struct{}
	blackholeOnce sync.Once
	endOnce       sync.Once
}

// chunk holds bytes to deliver, or marks the end of the stream if there are none.
type chunk struct {
	bytes []byte
	due   time.Time
}

func newLink(f *Forwarder, client, server net.Conn, remaining [2]int64) *link {
	return &link{
		forwarder: f, conns: [2]net.Conn{client, server}, remaining: remaining,
		blackholed: make(chan struct{}), ended: make(chan struct{}),
	}
}

func (l *link) blackhole() { l.blackholeOnce.Do(func() { close(l.blackholed) }) }

// cut resets both connections.
func (l *link) cut() {
	l.endOnce.Do(func() {
		close(l.ended)
		resetConn(l.conns[0])
		resetConn(l.conns[1])
	})
}

// closeBoth closes both connections regularly, after all bytes have been written.
func (l *link) closeBoth() {
	l.endOnce.Do(func() {
		close(l.ended)
		_ = l.conns[0].Close()
		_ = l.conns[1].Close()
	})
}

func (l *link) isBlackholed() bool {
	select {
	case <-l.blackholed:
		return true
	default:
		return false
	}
}

// run forwards until both directions have ended. A blackholed link ends only when it is cut.
func (l *link) run() {
	var both sync.WaitGroup
	for _, d := range []Direction{ToServer, ToClient} {
		chunks := make(chan chunk, maxQueuedChunks)
		both.Go(func() { l.read(d, chunks) })
		both.Go(func() { l.write(d, chunks) })
	}
	both.Wait()
	if l.isBlackholed() && !l.truncated.Load() {
		<-l.ended
	}
	l.closeBoth()
}

// read reads from one connection for as long as the link exists, so that a sender on a blackholed link doesn't block. A
// reset by one side is passed on to the other.
func (l *link) read(d Direction, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, chunkSize)
	for {
		n, err := l.conns[d].Read(buffer)
		if n > 0 && l.isBlackholed() {
			l.forwarder.addCounts(d, 0, n)
			n = 0
		}
		if n > 0 && !l.enqueue(chunks, chunk{append([]byte(nil), buffer[:n]...), l.due(d)}) {
			return
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) && !l.isBlackholed() {
			l.cut()
			return
		}
		l.enqueue(chunks, chunk{due: l.due(d)})
		return
	}
}

// due returns when bytes that were just read are to be delivered. A varying delay doesn't reorder bytes, since they are
// written in the order in which they were read.
func (l *link) due(d Direction) time.Time {
	at := time.Now()
	if d == ToServer && at.Before(l.established) {
		at = l.established
	}
	if l.delay != nil {
		at = at.Add(l.delay(d))
	}
	return at.Add(l.forwarder.delayFor(d))
}

func (l *link) enqueue(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-l.ended:
		return false
	}
}

// write delivers the chunks of one direction when they are due. Chunks still waiting when the link is blackholed are
// dropped.
func (l *link) write(d Direction, chunks <-chan chunk) {
	to := l.conns[1-d]
	for c := range chunks {
		if !l.waitUntil(c.due) {
			l.forwarder.addCounts(d, 0, len(c.bytes))
			continue
		}
		if c.bytes == nil {
			closeWrite(to)
			return
		}
		send, last := l.truncate(d, c.bytes)
		n, err := to.Write(send)
		l.forwarder.addCounts(d, n, len(c.bytes)-n)
		if last {
			l.endTruncated(d)
			for range chunks {
				continue
			}
			return
		}
		if err != nil {
			l.cut()
			return
		}
	}
}

// endTruncated ends the stream of a direction regularly. What the receiver still sends is read and dropped until it closes
// its side: closing with unread input would reset the connection, and the receiver could lose delivered bytes.
func (l *link) endTruncated(d Direction) {
	l.truncated.Store(true)
	l.blackhole()
	to := l.conns[1-d]
	closeWrite(to)
	_ = to.SetReadDeadline(time.Now().Add(truncatedReadTimeout))
	_ = l.conns[d].Close()
}

// truncate returns the bytes that may still be delivered, and whether the connection ends with them.
func (l *link) truncate(d Direction, bytes []byte) (send []byte, last bool) {
	switch {
	case l.remaining[d] < 0:
		return bytes, false
	case int64(len(bytes)) < l.remaining[d]:
		l.remaining[d] -= int64(len(bytes))
		return bytes, false
	}
	return bytes[:l.remaining[d]], true
}

// waitUntil waits until a chunk is due. It returns false if the link is blackholed or has ended.
func (l *link) waitUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return !l.isBlackholed()
	case <-l.blackholed:
		return false
	case <-l.ended:
		return false
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
