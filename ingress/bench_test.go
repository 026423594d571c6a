package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// BenchmarkRequest measures a request with a body of 300 bytes on a persistent connection, with the limits, without them, and with
// http.MaxBytesReader and io.ReadAll instead of this package.
func BenchmarkRequest(b *testing.B) {
	readAll := func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, 1000))
		_, _ = w.Write(data[:2])
	}
	readLimited := func(w http.ResponseWriter, r *http.Request) {
		data, _ := ReadBody(w, r, 1000)
		_, _ = w.Write(data[:2])
	}
	limiter := NewLimiter(NewLimits(184, 4100), hclog.NewNullLogger(), tally.NoopScope)
	for _, test := range []struct {
		name    string
		limiter *Limiter
		handler http.HandlerFunc
	}{{"limited", limiter, readLimited}, {"unlimited", nil, readLimited}, {"before", nil, readAll}} {
		b.Run(test.name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: test.handler}
			go func() { _ = server.Serve(test.limiter.Protect(server, inner, MainShare)) }()
			defer server.Close()
			connection, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer connection.Close()
			request, response := post(300)+strings.Repeat("x", 300), make([]byte, 1000)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(connection, request); err != nil {
					b.Fatal(err)
				}
				if _, err := connection.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
