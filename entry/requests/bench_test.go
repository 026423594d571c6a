package requests

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/platform/store/storetest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// BenchmarkAddedLatency prints the latency of a request through the entry to a fake agent beside that of a direct call
// of a server with the same response. Both alternate within one run, so that their difference holds on a noisy machine.
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

// BenchmarkAnnounce prints the cost of one announcement in a fleet of two-year scale.
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
