// Package load sends requests through an entry and directly to an upstream at a constant rate, and measures the resource
// usage of the processes involved. No production package imports it.
package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzalshed/quetzalshed/agent/requests/upstreamtest"
	"github.com/quetzalshed/quetzalshed/structs"
)

const (
	// maxOutstanding limits the concurrent calls to one target. A call beyond it isn't made and counts as skipped.
	maxOutstanding = 256
	// maxLatency is the highest recorded latency. latencyDigits is the number of significant digits.
	maxLatency    = time.Minute
	latencyDigits = 3
)

// Target is a URL that is called at the rate of a step.
type Target struct {
	Name, URL string
	// RequireOutcome is set if a response counts as answered only with an outcome header of an entry that says so.
	RequireOutcome bool
}

// Step is one phase of a measurement.
type Step struct {
	// Rate is the number of calls per second to each target.
	Rate float64
	// Size is the size of the request body in bytes. The stand-in upstream echoes the body.
	Size int
	// Delay is the service time of each request at the upstream.
	Delay time.Duration
	// Duration is how long calls are made.
	Duration time.Duration
	Method   string
}

// Calls holds the results of the calls to one target.
type Calls struct {
	Answered, Failed, Skipped int
	// Latency holds the latencies of answered calls, in nanoseconds.
	Latency *hdrhistogram.Histogram
}

// caller makes the calls to one target.
type caller struct {
	target    Target
	step      Step
	body      []byte
	client    *http.Client
	callSlots chan struct{}
	inFlight  sync.WaitGroup

	mu    sync.Mutex
	calls Calls
}

// NewClient returns a client that keeps enough idle connections for all concurrent calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: maxOutstanding, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// Run makes the calls of a step to all targets. They are called at the same rate, interleaved in time, so that other load on
// the machine affects all of them alike. Run returns when all calls have ended.
func Run(ctx context.Context, client *http.Client, step Step, targets []Target) []Calls {
	calls := make([]Calls, len(targets))
	var running sync.WaitGroup
	start := time.Now()
	for i, target := range targets {
		p := &caller{
			target: target, step: step, body: bytes.Repeat([]byte("q"), step.Size), client: client,
			callSlots: make(chan struct{}, maxOutstanding),
			calls:     Calls{Latency: hdrhistogram.New(1, maxLatency.Nanoseconds(), latencyDigits)},
		}
		running.Go(func() {
			p.run(ctx, start, float64(i)/float64(len(targets)))
			calls[i] = p.calls
		})
	}
	running.Wait()
	return calls
}

// run makes calls at fixed intervals, whether earlier ones have ended or not. offset delays all calls by a fraction of the
// interval.
func (p *caller) run(ctx context.Context, start time.Time, offset float64) {
	defer p.inFlight.Wait()
	if p.step.Rate <= 0 {
		sleepUntil(ctx, start.Add(p.step.Duration))
		return
	}
	interval := float64(time.Second) / p.step.Rate
	for n := 0; ; n++ {
		at := start.Add(time.Duration((float64(n) + offset) * interval))
		if at.Sub(start) >= p.step.Duration || !sleepUntil(ctx, at) {
			return
		}
		select {
		case p.callSlots <- struct{}{}:
		default:
			p.calls.Skipped++
			continue
		}
		p.inFlight.Go(func() {
			defer func() { <-p.callSlots }()
			p.call(ctx)
		})
	}
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *caller) call(ctx context.Context) {
	start := time.Now()
	ok := p.roundTrip(ctx)
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.calls.Failed++
		return
	}
	p.calls.Answered++
	_ = p.calls.Latency.RecordValue(min(took, maxLatency).Nanoseconds())
}

// roundTrip makes one call and returns whether its complete response has arrived.
func (p *caller) roundTrip(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, p.step.Method, p.target.URL, bytes.NewReader(p.body))
	if err != nil {
		return false
	}
	request.Header.Set(upstreamtest.HeaderDelayMS, strconv.FormatInt(p.step.Delay.Milliseconds(), 10))
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if p.target.RequireOutcome && response.Header.Get(structs.HeaderOutcome) != string(structs.OutcomeAnswered) {
		return false
	}
	return err == nil && response.StatusCode == http.StatusOK && n == int64(p.step.Size)
}
