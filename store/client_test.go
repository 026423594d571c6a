package store_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/store"
)

// operations has a function for each operation that calls the method of a store.
var operations = map[store.Operation]func(context.Context, store.Store) error{
	store.OpGet:  func(ctx context.Context, s store.Store) error { _, err := s.Get(ctx, "a/b"); return err },
	store.OpList: func(ctx context.Context, s store.Store) error { _, err := s.List(ctx, "a/"); return err },
	store.OpPut: func(ctx context.Context, s store.Store) error {
		_, err := s.Put(ctx, "a/b", []byte("v"), store.PutOptions{})
		return err
	},
	store.OpDelete:    func(ctx context.Context, s store.Store) error { return s.Delete(ctx, "a/b", 3) },
	store.OpGrant:     func(ctx context.Context, s store.Store) error { _, err := s.Grant(ctx, time.Second); return err },
	store.OpKeepAlive: func(ctx context.Context, s store.Store) error { return s.KeepAlive(ctx, "l") },
	store.OpRevoke:    func(ctx context.Context, s store.Store) error { return s.Revoke(ctx, "l") },
	store.OpWatch:     func(ctx context.Context, s store.Store) error { _, err := s.Watch(ctx, "a/b", 1); return err },
}

// startRawServer starts a server that reads one request at a time from each connection and calls respond. It closes the
// connection when respond returns false. It returns the server's address and the number of requests so far.
func startRawServer(t *testing.T, respond func(conn net.Conn, number int64) bool) (netip.AddrPort, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, &requests, respond)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &requests
}

func serveRaw(conn net.Conn, requests *atomic.Int64, respond func(net.Conn, int64) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !respond(conn, requests.Add(1)) {
			return
		}
	}
}

func respondWith(text string) func(net.Conn, int64) bool {
	return func(conn net.Conn, _ int64) bool {
		_, _ = io.WriteString(conn, text)
		return false
	}
}

// Guards against a write that is reported as not applied although the service received it, and against a read that is
// reported with an unknown result.
func TestErrorKindsAfterRequestSent(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	failures := map[string]func(net.Conn, int64) bool{
		"closed":         respondWith(""),
		"silent":         func(net.Conn, int64) bool { <-release; return false },
		"truncated":      respondWith("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"revision\":"),
		"not JSON":       respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<ok>"),
		"no code":        respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}"),
		"code mismatch":  respondWith("HTTP/1.1 500 Error\r\nContent-Length: 22\r\n\r\n{\"code\":\"unavailable\"}"),
		"unknown status": respondWith("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, respond := range failures {
		for op, run := range operations {
			if (name == "not JSON") && (op == store.OpDelete || op == store.OpKeepAlive || op == store.OpRevoke) {
				continue // The client ignores the response body of these operations.
			}
			t.Run(name+"/"+string(op), func(t *testing.T) {
				address, requests := startRawServer(t, respond)
				client := store.NewClient(store.ClientOptions{
					Address: address, CallTimeout: 50 * time.Millisecond, WatchTimeout: time.Millisecond,
				})
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				err := run(ctx, client)
				expected := store.ErrUnavailable
				if op.IsWrite() {
					expected = store.ErrUnknownResult
				} else if op == store.OpWatch && name == "silent" {
					expected = store.ErrTimeout
				}
				qt.Check(t, errors.Is(err, expected), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, requests.Load(), qt.Equals, int64(1))
				qt.Check(t, client.Counters().Calls(op), qt.Equals, int64(1))
			})
		}
	}
}

// Guards against a write that is reported with an unknown result although no connection could be opened.
func TestDialFailureIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := netip.MustParseAddrPort(listener.Addr().String())
	qt.Assert(t, listener.Close(), qt.IsNil)
	client := store.NewClient(store.ClientOptions{Address: address})
	for op, run := range operations {
		err := run(context.Background(), client)
		qt.Check(t, errors.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%s: %v", op, err))
		qt.Check(t, errors.Is(err, store.ErrUnknownResult), qt.IsFalse)
	}
}

// Guards against sending a call whose context is already cancelled, and against reporting its result as unknown.
func TestCancelledContextSendsNoRequest(t *testing.T) {
	address, requests := startRawServer(t, respondWith(""))
	client := store.NewClient(store.ClientOptions{Address: address})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for op, run := range operations {
		err := run(ctx, client)
		qt.Check(t, errors.Is(err, store.ErrUnavailable), qt.IsTrue, qt.Commentf("%s: %v", op, err))
	}
	qt.Check(t, requests.Load(), qt.Equals, int64(0))
}

// Guards against the HTTP transport resending a write after a reused connection breaks.
func TestWritesAreNotRetriedOnReusedConnections(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}"
	for op, run := range operations {
		if !op.IsWrite() {
			continue
		}
		address, requests := startRawServer(t, func(conn net.Conn, number int64) bool {
			if number > 1 {
				return false
			}
			_, _ = io.WriteString(conn, answer)
			return true
		})
		client := store.NewClient(store.ClientOptions{Address: address})
		qt.Assert(t, run(context.Background(), client), qt.IsNil)
		err := run(context.Background(), client)
		qt.Check(t, errors.Is(err, store.ErrUnknownResult), qt.IsTrue, qt.Commentf("%s: %v", op, err))
		qt.Check(t, requests.Load(), qt.Equals, int64(2), qt.Commentf("%s", op))
	}
}

// Guards against calling the service with a value that is larger than it accepts.
func TestTooLargeValueSendsNoRequest(t *testing.T) {
	address, requests := startRawServer(t, respondWith(""))
	client := store.NewClient(store.ClientOptions{Address: address})
	_, err := client.Put(context.Background(), "k", make([]byte, store.MaxValueBytes+1), store.PutOptions{})
	qt.Check(t, errors.Is(err, store.ErrTooLarge), qt.IsTrue)
	qt.Check(t, requests.Load(), qt.Equals, int64(0))
}
