package announcer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleAgent prints the processor time per second of an idle agent that announces to 3 entries once per second
// and has one upstream that renews. The entries and the upstream run in the same process and are included. Run it with
// -benchtime=1x: the kernel can't run twice in one process.
func BenchmarkIdleAgent(b *testing.B) {
	const window = 10 * time.Second
	c := qt.New(b)
	var addresses []string
	for range 3 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			kernel.WriteJSON(w, http.StatusOK, structs.AnnounceReply{NextAfterMillis: 1000})
		}))
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	address, stop, done := startAgent(c, addresses...)
	upstream, err := upstreamtest.Listen("127.0.0.1:0", upstreamtest.Behaviour{}, 1)
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	registrar := &upstreamtest.Registrar{Agent: address, Registration: structs.UpstreamRegistration{
		Service: "price", Address: upstream.Address(), Slots: 8, Connections: 64,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go registrar.Run(ctx)
	time.Sleep(time.Second)
	before := processorTime()
	time.Sleep(window)
	b.ReportMetric(float64((processorTime()-before).Microseconds())/window.Seconds(), "cpu-us/s")
	stop()
	c.Assert(<-done, qt.IsNil)
}
