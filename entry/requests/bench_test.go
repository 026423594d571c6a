package requests

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/routing"
	"github.com/quetzalshed/quetzalshed/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/load"
)

// BenchmarkAddedLatency compares the latency of a request through the entry to a fake agent with that of a direct call to a
// server with the same response. The calls alternate, so that their difference is meaningful on a noisy machine.
func BenchmarkAddedLatency(b *testing.B) {
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			e := newEntry(b, storetest.New(clock.System{}), func(s *Settings) {
				s.RecordsPerSecond, s.MinHedge, s.AnnounceMin = 1e4, time.Second, time.Hour
				s.AnnounceMax = time.Hour
			})
			newAgent(b, "a", e)
			direct := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(append([]byte("/p:"), body...))
			}))
			defer direct.Close()
			paths := map[string]*hdrhistogram.Histogram{}
			for _, name := range []string{"direct", "entry"} {
				paths[name] = hdrhistogram.New(1, int64(time.Minute), 3)
			}
			measure := func(name, url string) {
				start := time.Now()
				request, _ := http.NewRequest(method, url, strings.NewReader("payload"))
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if name == "entry" && response.Header.Get(structs.HeaderOutcome) != "answered" {
					b.Fatal(response.Status, response.Header.Get(structs.HeaderReason))
				}
				_ = paths[name].RecordValue(time.Since(start).Nanoseconds())
			}
			for b.Loop() {
				measure("direct", direct.URL)
				measure("entry", e.url+"/s/price/p")
			}
			for _, p := range []float64{50, 99} {
				d, v := paths["direct"].ValueAtPercentile(p), paths["entry"].ValueAtPercentile(p)
				unit := map[float64]string{50: "p50", 99: "p99"}[p]
				b.ReportMetric(float64(d)/1e3, unit+"-direct-us")
				b.ReportMetric(float64(v)/1e3, unit+"-entry-us")
				b.ReportMetric(float64(v-d)/1e3, unit+"-added-us")
			}
		})
	}
}

// BenchmarkAnnounce measures the cost of an announcement in a fleet of the size planned for in two years.
func BenchmarkAnnounce(b *testing.B) {
	e := newEntry(b, nil, nil)
	for i := range 3400 {
		a := structs.Announcement{
			Agent: fmt.Sprint("agent-", i), Incarnation: "i", StartedUnixNano: 1, Address: fmt.Sprint("10.0.0.1:", i),
			FailureDomain: "patan", Upstreams: []structs.Upstream{{Service: "price", Slots: 8, Connections: 64}},
		}
		if _, err := e.table.Apply(&a, 500); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	sequence := int64(0)
	for b.Loop() {
		sequence++
		body := mustJSON(b, structs.Announcement{
			Fleet: forwardtest.Fleet, Agent: fmt.Sprint("agent-", sequence%3400), Incarnation: "i", StartedUnixNano: 1, Sequence: sequence,
			Address: "10.0.0.1:1", FailureDomain: "patan", Upstreams: []structs.Upstream{{Service: "price", Slots: 8, Connections: 64}},
		})
		recorder := httptest.NewRecorder()
		e.serveAnnounce(recorder, httptest.NewRequest(http.MethodPost, "/v1/announce", bytes.NewReader(body)))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code)
		}
	}
}

// memoryInUse returns the memory in use by the heap and by stacks, in MB of 10^6 bytes.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc+stats.StackInuse) / 1e6
}

// BenchmarkFullTables measures the memory of each bounded table of an entry when it is full. The memory of requests in flight
// includes the agent's side, which runs in the same process.
func BenchmarkFullTables(b *testing.B) {
	for b.Loop() {
		start := memoryInUse()
		e := newEntry(b, nil, func(s *Settings) { s.MinHedge, s.DefaultHedge = time.Minute, time.Minute })
		agents, upstreams := 0, 0
		for n := range routing.MaxAgents {
			a := structs.Announcement{
				Agent: fmt.Sprintf("%0256d", n), Incarnation: fmt.Sprintf("%0256d", n), Address: fmt.Sprintf("%0256d", n),
				FailureDomain: "patan", StartedUnixNano: 1,
			}
			for u := range routing.MaxUpstreamsPerAgent {
				a.Upstreams = append(a.Upstreams, structs.Upstream{
					Service: fmt.Sprintf("%0256d", n*routing.MaxUpstreamsPerAgent+u), Slots: 8, Connections: 64,
				})
			}
			if _, err := e.table.Apply(&a, 500); err != nil {
				break
			}
			agents, upstreams = agents+1, upstreams+len(a.Upstreams)
		}
		announced := memoryInUse()
		b.ReportMetric(announced-start, "MB-announcements")
		b.ReportMetric(float64(agents), "agents")
		b.ReportMetric(float64(upstreams), "upstreams")
		latencies := forward.NewLatencyTracker(time.Second)
		for n := range 4096 {
			latencies.Observe(fmt.Sprint(n), time.Millisecond, time.Now())
		}
		observed := memoryInUse()
		b.ReportMetric(observed-announced, "MB-latencies")
		bodies := load.AllocateResident(32_000_000)
		reportRequestMemory(b, func(used float64) {
			b.ReportMetric(used, "KB-a-request-in-flight")
			b.ReportMetric(memoryInUse()-start, "MB-sum")
			load.ReportResident(b)
		})
		runtime.KeepAlive(bodies)
		runtime.KeepAlive(e)
		runtime.KeepAlive(latencies)
	}
}

// reportRequestMemory measures the memory of a request of 1 KB while 512 are in flight, and passes it to report in kB of 10^3
// bytes.
func reportRequestMemory(b *testing.B, report func(used float64)) {
	const count = 512
	e := newEntry(b, nil, func(s *Settings) {
		s.MinHedge, s.DefaultHedge, s.Silence = time.Minute, time.Minute, time.Minute
	})
	agents := make([]*forwardtest.Agent, 16)
	for i := range agents {
		agents[i] = newAgent(b, fmt.Sprint("agent-", i), e)
		agents[i].FaultFor = func(int) forwardtest.Fault { return forwardtest.RunOnRelease }
	}
	before := memoryInUse()
	body := strings.Repeat("x", 1000)
	callers := make([]net.Conn, count)
	for i := range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
		if err != nil {
			b.Fatal(err)
		}
		callers[i] = c
		_, err = fmt.Fprintf(c, "PUT /s/price/p HTTP/1.1\r\nHost: entry\r\nQuetzalshed-Timeout-Ms: 50000\r\n"+
			"Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			b.Fatal(err)
		}
	}
	sends := func() (n int) {
		for _, a := range agents {
			n += a.AttemptsReceived()
		}
		return n
	}
	for sends() < count {
		time.Sleep(10 * time.Millisecond)
	}
	report((memoryInUse() - before) * 1e3 / count)
	for _, a := range agents {
		a.ReleaseHeld()
	}
	for _, c := range callers {
		if _, err := io.Copy(io.Discard, c); err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}
