// Package load sends requests through an entry and directly to an upstream at a steady rate, and measures the processes
// that carry them. No production package imports it.
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
	// maxOutstanding bounds the calls under way on one path. A call beyond it isn't made and counts as skipped.
	maxOutstanding = 256
	// highestLatency bounds the recorded latencies; digits is their precision in significant digits.
	highestLatency = time.Minute
	digits         = 3
)

// Target is a URL that is called at the rate of a step.
type Target struct {
	Name, URL string
	// Outcome tells that a response counts as answered only with the outcome header of an entry.
	Outcome bool
}

// Step is one phase of a measurement.
type Step struct {
	// Rate is the number of calls a second of each target.
	Rate float64
	// Size is the size of the request's body in bytes. The stand-in upstream repeats it in the response.
	Size int
	// Delay is how long the upstream runs each request.
	Delay time.Duration
	// Duration is how long calls are made.
	Duration time.Duration
	Method   string
}

// Calls is what became of the calls of one target.
type Calls struct {
	Answered, Failed, Skipped int
	// Latency has the answered calls, in nanoseconds.
	Latency *hdrhistogram.Histogram
}

// path makes the calls of one target.
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

// NewClient returns a client that keeps a connection for each call that may be under way.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: maxOutstanding, IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
}

// Run makes the calls of a step to all targets, each at the step's rate and offset against the others, so that what
// disturbs the machine disturbs all of them. It returns when all calls have ended.
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

// run makes calls at the times that the rate sets, whether earlier ones have ended or not. offset is a part of the
// interval between two calls.
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

// sleepUntil returns false when ctx ended first.
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

// exchange makes one call and tells whether its whole response has arrived.
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
