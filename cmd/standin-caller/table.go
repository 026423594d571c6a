package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/test/load"
)

// table prints one row for each measured step.
type table struct {
	out       io.Writer
	processes []load.Process
	// direct reports whether the upstream is also called directly, as the second target.
	direct bool
}

// processNames returns the distinct names of the processes in the order given.
func (t *table) processNames() []string {
	var names []string
	for _, p := range t.processes {
		if !slices.Contains(names, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// usage returns the total processor time of all processes with a name, and the highest resident memory of any of them in
// bytes.
func (t *table) usage(m load.Measurement, name string) (cpu time.Duration, resident int64) {
	for i, p := range t.processes {
		if p.Name == name {
			cpu += m.Usage[i].CPU
			resident = max(resident, m.Usage[i].Resident)
		}
	}
	return cpu, resident
}

func (t *table) printHeader() {
	fmt.Fprintf(t.out, "%8s %8s %8s %8s %8s", "calls/s", "bytes", "answered", "failed", "skipped")
	for _, name := range t.processNames() {
		fmt.Fprintf(t.out, " %12s %12s", name+" core%", name+" MB")
	}
	fmt.Fprintf(t.out, " %9s %9s", "p50 us", "p99 us")
	if t.direct {
		fmt.Fprintf(t.out, " %10s %10s %9s %9s", "direct p50", "direct p99", "added p50", "added p99")
	}
	fmt.Fprintln(t.out)
}

func (t *table) printRow(m load.Measurement) {
	entry := m.Calls[0]
	fmt.Fprintf(t.out, "%8.0f %8d %8d %8d %8d", m.Step.Rate, m.Step.Size, entry.Answered, entry.Failed, entry.Skipped)
	for _, name := range t.processNames() {
		cpu, resident := t.usage(m, name)
		fmt.Fprintf(t.out, " %12.2f %12.1f", 100*cpu.Seconds()/m.Took.Seconds(), float64(resident)/1e6)
	}
	p50, p99 := latencyMicros(entry, 50), latencyMicros(entry, 99)
	fmt.Fprintf(t.out, " %9.0f %9.0f", p50, p99)
	if t.direct {
		d50, d99 := latencyMicros(m.Calls[1], 50), latencyMicros(m.Calls[1], 99)
		fmt.Fprintf(t.out, " %10.0f %10.0f %9.0f %9.0f", d50, d99, p50-d50, p99-d99)
	}
	fmt.Fprintln(t.out)
}

func latencyMicros(c load.Calls, percentile float64) float64 {
	return float64(c.Latency.ValueAtPercentile(percentile)) / 1e3
}

// printCosts prints the processor time per request, fitted to the steps at different rates, and per KiB of request and
// response body together, fitted to the steps with different sizes.
func (t *table) printCosts(byRate, bySize []load.Measurement) {
	for _, name := range t.processNames() {
		var rates, sizes []load.Point
		for _, m := range byRate {
			cpu, _ := t.usage(m, name)
			rates = append(rates, load.Point{
				X: float64(m.Calls[0].Answered) / m.Took.Seconds(), Y: cpu.Seconds() * 1e6 / m.Took.Seconds(),
			})
		}
		for _, m := range bySize {
			cpu, _ := t.usage(m, name)
			sizes = append(sizes, load.Point{
				X: float64(2*m.Step.Size) / 1024, Y: cpu.Seconds() * 1e6 / float64(max(m.Calls[0].Answered, 1)),
			})
		}
		perRequest, idle := load.FitLine(rates)
		perKiB, _ := load.FitLine(sizes)
		fmt.Fprintf(t.out, "%s: %.0f us of processor time a request, %.2f us a KiB, %.2f%% of a core without requests\n",
			name, perRequest, perKiB, idle/1e4)
	}
}
