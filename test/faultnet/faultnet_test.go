package faultnet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echoServer sends back the bytes that it receives and counts them.
type echoServer struct {
	net.Listener
	mu       sync.Mutex
	received int
}

func newEchoServer(c *qt.C) *echoServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := &echoServer{Listener: l}
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, io.TeeReader(conn, e))
			}()
		}
	}()
	return e
}

func (e *echoServer) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received += len(p)
	return len(p), nil
}

func (e *echoServer) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

func setUp(t *testing.T) (*qt.C, *Forwarder, *echoServer) {
	c := qt.New(t)
	e := newEchoServer(c)
	f, err := Listen(e.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.Close)
	return c, f, e
}

func dial(c *qt.C, f *Forwarder) net.Conn {
	conn, err := net.Dial("tcp", f.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// assertEchoed sends a text and asserts that it comes back as it was sent. It writes and reads at once, as the text may exceed the
// buffers of the connection.
func assertEchoed(c *qt.C, conn net.Conn, text string) {
	c.Helper()
	go func() { _, _ = io.WriteString(conn, text) }()
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got) == text, qt.IsTrue)
}

func roundTrip(c *qt.C, conn net.Conn, line string) string {
	_, err := io.WriteString(conn, line+"\n")
	c.Assert(err, qt.IsNil)
	back, err := bufio.NewReader(conn).ReadString('\n')
	c.Assert(err, qt.IsNil)
	return strings.TrimSpace(back)
}

func eventually(c *qt.C, what string, condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("timed out waiting until %s", what)
}

// expectNoData fails the test unless reading from a connection times out.
func expectNoData(c *qt.C, conn net.Conn) {
	c.Assert(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	n, err := conn.Read(make([]byte, 1))
	c.Assert(n, qt.Equals, 0)
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a blackholed connection that delivers bytes, an end of the stream or an error, and against effects on new
// connections.
func TestBlackhole(t *testing.T) {
	c, f, e := setUp(t)
	old := dial(c, f)
	c.Assert(roundTrip(c, old, "before"), qt.Equals, "before")
	c.Assert(f.Blackhole(), qt.Equals, 1)
	_, err := io.WriteString(old, "dropped")
	c.Assert(err, qt.IsNil)
	eventually(c, "the bytes are dropped", func() bool { return f.Counts().Dropped[ToServer] == 7 })
	expectNoData(c, old)
	c.Assert(roundTrip(c, dial(c, f), "new"), qt.Equals, "new")
	c.Assert(e.count(), qt.Equals, len("before\nnew\n"))
	c.Assert(old.Close(), qt.IsNil)
	c.Assert(f.Counts().Open, qt.Equals, 2)
	f.Cut()
	eventually(c, "all connections are gone", func() bool { return f.Counts().Open == 0 })
}

// Guards against delayed bytes that are delivered although their connection was blackholed in the meantime.
func TestBlackholeDropsDelayedBytes(t *testing.T) {
	c, f, e := setUp(t)
	f.SetDelay(ToServer, time.Hour)
	conn := dial(c, f)
	_, err := io.WriteString(conn, "delayed")
	c.Assert(err, qt.IsNil)
	eventually(c, "the connection is forwarded", func() bool { return f.Counts().Open == 1 })
	time.Sleep(10 * time.Millisecond)
	f.Blackhole()
	eventually(c, "the bytes are dropped", func() bool { return f.Counts().Dropped[ToServer] == 7 })
	c.Assert(e.count(), qt.Equals, 0)
}

// Guards against forwarding the first bytes of a connection that is blackholed from its start.
func TestBlackholeNewConnections(t *testing.T) {
	c, f, e := setUp(t)
	f.SetBlackholeNew(true)
	conn := dial(c, f)
	_, err := io.WriteString(conn, "dropped")
	c.Assert(err, qt.IsNil)
	expectNoData(c, conn)
	f.SetBlackholeNew(false)
	c.Assert(roundTrip(c, dial(c, f), "new"), qt.Equals, "new")
	c.Assert(e.count(), qt.Equals, len("new\n"))
}

// Guards against a delay that reorders or loses bytes, or that is not applied.
func TestDelay(t *testing.T) {
	c, f, e := setUp(t)
	f.SetDelay(ToClient, time.Hour)
	held := dial(c, f)
	_, err := io.WriteString(held, "held")
	c.Assert(err, qt.IsNil)
	eventually(c, "the server has responded", func() bool { return e.count() == 4 })
	expectNoData(c, held)
	f.SetDelay(ToClient, time.Millisecond)
	assertEchoed(c, dial(c, f), strings.Repeat("0123456789", 100_000))
}

// Guards against a truncation that delivers more or fewer bytes than its limit, or that resets the connection.
func TestTruncate(t *testing.T) {
	c, f, _ := setUp(t)
	for _, size := range []int64{0, 1, 5, 100_000} {
		f.SetTruncate(ToClient, size)
		conn := dial(c, f)
		go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 200_000)) }()
		got, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(int64(len(got)), qt.Equals, size)
		c.Assert(conn.Close(), qt.IsNil)
	}
	f.SetTruncate(ToClient, -1)
	c.Assert(roundTrip(c, dial(c, f), "whole"), qt.Equals, "whole")
}

// Guards against a cut that ends the stream regularly, and against connections that are still refused after SetRefuse(false).
func TestCutAndRefuse(t *testing.T) {
	c, f, _ := setUp(t)
	conn := dial(c, f)
	c.Assert(roundTrip(c, conn, "before"), qt.Equals, "before")
	c.Assert(f.Cut(), qt.Equals, 1)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	f.SetRefuse(true)
	// The reset arrives before or after the connection is established.
	refused, err := net.Dial("tcp", f.Address())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
		c.Assert(refused.Close(), qt.IsNil)
	}
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	f.SetRefuse(false)
	c.Assert(roundTrip(c, dial(c, f), "after"), qt.Equals, "after")
}

// Guards against closing both directions when one side has closed only its own.
func TestHalfClose(t *testing.T) {
	c, f, _ := setUp(t)
	conn := dial(c, f)
	_, err := io.WriteString(conn, "all")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	got, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "all")
	eventually(c, "the connection is gone", func() bool { return f.Counts().Open == 0 })
}

// Guards against a partition that still forwards bytes of its source, or that affects other sources.
func TestPartitionOneSource(t *testing.T) {
	c, f, e := setUp(t)
	var mu sync.Mutex
	names := map[netip.AddrPort]string{}
	f.SetIdentify(func(source netip.AddrPort) string {
		mu.Lock()
		defer mu.Unlock()
		return names[source]
	})
	// The lock is held until the name is stored, so that the forwarder cannot look it up before.
	dialAs := func(name string) net.Conn {
		mu.Lock()
		defer mu.Unlock()
		conn := dial(c, f)
		names[addrPort(conn.LocalAddr())] = name
		return conn
	}
	a, b, unknown := dialAs("a"), dialAs("b"), dialAs("")
	for _, conn := range []net.Conn{a, b, unknown} {
		c.Assert(roundTrip(c, conn, "before"), qt.Equals, "before")
	}
	f.Partition("a")
	before := e.count()
	for _, conn := range []net.Conn{a, unknown, dialAs("a"), dialAs("")} {
		_, err := io.WriteString(conn, "apart\n")
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Assert(e.count(), qt.Equals, before)
	c.Assert(roundTrip(c, b, "other"), qt.Equals, "other")
	c.Assert(roundTrip(c, dialAs("b"), "other"), qt.Equals, "other")
	f.Heal("a")
	c.Assert(a.SetReadDeadline(time.Time{}), qt.IsNil)
	_, err := a.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(roundTrip(c, dialAs("a"), "after"), qt.Equals, "after")
}

// Guards against a client's delay that is applied to other connections, or that reorders bytes when it varies.
func TestClientDelay(t *testing.T) {
	c, f, e := setUp(t)
	f.SetClientDelay(func(net.Addr) DelayFunc { return func(Direction) time.Duration { return time.Hour } })
	held := dial(c, f)
	_, err := io.WriteString(held, "held")
	c.Assert(err, qt.IsNil)
	eventually(c, "the connection is forwarded", func() bool { return f.Counts().Open == 1 })
	var calls atomic.Int64
	f.SetClientDelay(func(net.Addr) DelayFunc {
		return func(Direction) time.Duration { return time.Duration(calls.Add(1)%5) * time.Millisecond }
	})
	text := strings.Repeat("0123456789", 100_000)
	assertEchoed(c, dial(c, f), text)
	c.Assert(calls.Load() > 2, qt.IsTrue)
	expectNoData(c, held)
	c.Assert(e.count(), qt.Equals, len(text))
	f.SetClientDelay(nil)
	c.Assert(roundTrip(c, dial(c, f), "direct"), qt.Equals, "direct")
}
