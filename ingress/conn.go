package ingress

import (
	"bytes"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection. It limits the time that a body takes.
type conn struct {
	net.Conn
	listener *listener

	// The fields below are guarded by listener.limiter.mu. body is valid while the connection is in Limiter.bodies.
	counted bool
	links   [listKinds]link
	body    *body

	// headerLines counts the received lines of the header that is being read, or is inRequest after it.
	headerLines atomic.Int32
	// progressAt is when the body last made progress, in nanoseconds since 1970. It is valid while the connection is in Limiter.bodies.
	progressAt atomic.Int64
	// writeUntil is the write deadline in nanoseconds since 1970, or ownDeadline if the handler has set one.
	writeUntil atomic.Int64

	// receiving is set while a transfer is set.
	receiving atomic.Bool
	mu        sync.Mutex
	// transfer is the body that is being received, or nil. It is guarded by mu.
	transfer *transfer
}

// transfer is the progress of a body. Times are zero until the first byte that had not arrived with the header is awaited.
type transfer struct {
	body              *body
	started, deadline time.Time
	// received is how many bytes have arrived, and progressed how many had at the last progress.
	received, progressed int64
	// latest is the deadline that the handler has set, or zero.
	latest time.Time
	// fixed is set if the deadline isn't extended by progress.
	fixed bool
}

// minExtension is the least extension of a read deadline, so that small pieces don't extend it each time.
const minExtension = 250 * time.Millisecond

// readDeadline returns when the next byte must have arrived.
func (t *transfer) readDeadline() time.Time {
	earned := time.Duration(float64(t.received) / minBodyRate * float64(time.Second))
	deadline := t.started.Add(min(bodyGrace+earned, maxBodyTime))
	if !t.latest.IsZero() && t.latest.Before(deadline) {
		return t.latest
	}
	return deadline
}

// watchReadBytes is the size of the reads by which package http watches a connection for its end while a request is processed. It
// starts them at the end of the body, before the reader of the body learns of it. Reads of a body have the size of a buffer.
const watchReadBytes = 1

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == watchReadBytes {
		return c.Conn.Read(p)
	}
	if !c.receiving.Load() {
		n, err := c.Conn.Read(p)
		if !c.countLines(p[:n]) {
			c.listener.limiter.events.record(headerTooLong, "remote", c.RemoteAddr())
			return 0, errHeaderLines
		}
		return n, err
	}
	c.limitRead(time.Now())
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if t := c.transfer; t != nil {
		t.received += int64(n)
		if t.received-t.progressed >= progressBytes {
			t.progressed = t.received
			c.progressAt.Store(time.Now().UnixNano())
		}
	}
	c.mu.Unlock()
	return n, err
}

// inRequest is the value of conn.headerLines while a request is processed.
const inRequest = -1

var errHeaderLines = errors.New("ingress: the header has too many lines")

// countLines counts the lines of a header in received bytes and reports whether there are at most MaxHeaderLines. What follows
// the header in the same bytes doesn't count.
func (c *conn) countLines(received []byte) bool {
	before := c.headerLines.Load()
	if before == inRequest {
		return true
	}
	lines := before + int32(bytes.Count(received, []byte{'\n'}))
	if lines > MaxHeaderLines {
		header, _, ended := bytes.Cut(received, []byte("\r\n\r\n"))
		return ended && before+int32(bytes.Count(header, []byte{'\n'})) <= MaxHeaderLines
	}
	c.headerLines.Store(lines)
	return true
}

// Write writes to the connection with a deadline: a connection with a complete request is never closed for another one, so a client
// that doesn't read its responses would hold it for ever. The deadline is moved seldom, since each ordinary response takes one write.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if c.writeUntil.Load()-now.UnixNano() < int64(minWriteTime) {
		until := now.Add(maxWriteTime)
		c.writeUntil.Store(until.UnixNano())
		_ = c.Conn.SetWriteDeadline(until)
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.limiter.events.record(responseStalled, "remote", c.RemoteAddr())
	}
	return n, err
}

// ownDeadline is the value of conn.writeUntil while a handler's write deadline is set.
const ownDeadline = math.MaxInt64

// SetWriteDeadline sets the write deadline of a handler, which takes precedence until it is removed or the request ends.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeUntil.Store(0)
	} else {
		c.writeUntil.Store(ownDeadline)
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite ends the response. Package http calls it before it closes a connection with unread bytes, so that the client gets
// the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// limitRead sets the deadline of a read that is part of a body. The connection counts as incomplete from the first one on.
func (c *conn) limitRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transfer
	if t == nil {
		return
	}
	if t.started.IsZero() {
		t.started = now
		c.listener.limiter.addIncomplete(c, t.body, now)
	}
	if t.fixed {
		return
	}
	if deadline := t.readDeadline(); deadline.Sub(t.deadline) >= minExtension {
		t.deadline = deadline
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// begin starts to limit a body. Reads that package http serves from its buffer don't count.
func (c *conn) begin(b *body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transfer = &b.transfer
	c.receiving.Store(true)
}

// finish ends the limits of a body. Package http removes the read deadline when it starts to watch the connection at the end of a
// body (TestDeadlineEndsWithBody).
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transfer
	if t == nil {
		return
	}
	c.transfer = nil
	c.receiving.Store(false)
	if !t.started.IsZero() {
		c.listener.limiter.removeIncomplete(c)
	}
}

// setBodyDeadline sets the time by which the body must have arrived, whatever its rate.
func (c *conn) setBodyDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transfer != nil {
		c.transfer.latest = deadline
	}
}

// linger limits the time for the rest of a body that nobody needs. The first call counts the connection as incomplete.
func (c *conn) linger(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transfer
	if t == nil {
		return
	}
	t.fixed, t.deadline = true, now.Add(limit)
	_ = c.Conn.SetReadDeadline(t.deadline)
	if t.started.IsZero() {
		t.started = now
		c.listener.limiter.addIncomplete(c, t.body, now)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	lim := c.listener.limiter
	lim.mu.Lock()
	c.listener.remove(c)
	lim.mu.Unlock()
	return c.Conn.Close()
}
