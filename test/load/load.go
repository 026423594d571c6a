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
	// highestLatency is the highest recorded latency. digits is the number of significant digits.
	highestLatency = time.Minute
	digits         = 3
)

// Target is a URL that is called at the rate of a step.
type Target struct {
	Name, URL string
	// Outcome is set if a response counts as answered only with an outcome header of an entry that says so.
	Outcome bool
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

// path makes the calls to one target.
type path struct {
	target      Target
	step        Step
	body        []byte
	client      *http.Client
	outstanding chan struct{}
	under       sync.WaitGroup

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
		p := &path{
			target: target, step: step, body: bytes.Repeat([]byte("q"), step.Size), client: client,
			outstanding: make(chan struct{}, maxOutstanding),
			calls:       Calls{Latency: hdrhistogram.New(1, highestLatency.Nanoseconds(), digits)},
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
func (p *path) run(ctx context.Context, start time.Time, offset float64) {
	defer p.under.Wait()
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
		case p.outstanding <- struct{}{}:
		default:
			p.calls.Skipped++
			continue
		}
		p.under.Go(func() {
			defer func() { <-p.outstanding }()
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

func (p *path) call(ctx context.Context) {
	start := time.Now()
	ok := p.exchange(ctx)
	took := time.Since(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.calls.Failed++
		return
	}
	p.calls.Answered++
	_ = p.calls.Latency.RecordValue(min(took, highestLatency).Nanoseconds())
}

// exchange makes one call and returns whether its complete response has arrived.
func (p *path) exchange(ctx context.Context) bool {
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
	if p.target.Outcome && response.Header.Get(structs.HeaderOutcome) != string(structs.OutcomeAnswered) {
		return false
	}
	return err == nil && response.StatusCode == http.StatusOK && n == int64(p.step.Size)
}
