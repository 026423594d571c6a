package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/test/load"
)

// table prints measurements.
type table struct {
	out       io.Writer
	processes []load.Process
	// direct tells that the second target is the direct call.
	direct bool
}

// names returns the different names of the processes in the order given.
func (t *table) names() []string {
	var names []string
	for _, p := range t.processes {
		if !slices.Contains(names, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// used returns the processor time of all processes of a name, and the highest memory of one of them in bytes.
func (t *table) used(m load.Measurement, name string) (cpu time.Duration, resident int64) {
	for i, p := range t.processes {
		if p.Name == name {
			cpu += m.Usage[i].CPU
			resident = max(resident, m.Usage[i].Resident)
		}
	}
	return cpu, resident
}

func (t *table) header() {
	fmt.Fprintf(t.out, "%8s %8s %8s %8s %8s", "calls/s", "bytes", "answered", "failed", "skipped")
	for _, name := range t.names() {
		fmt.Fprintf(t.out, " %12s %12s", name+" core%", name+" MB")
	}
	fmt.Fprintf(t.out, " %9s %9s", "p50 us", "p99 us")
	if t.direct {
		fmt.Fprintf(t.out, " %10s %10s %9s %9s", "direct p50", "direct p99", "added p50", "added p99")
	}
	fmt.Fprintln(t.out)
}

func (t *table) row(m load.Measurement) {
	entry := m.Calls[0]
	fmt.Fprintf(t.out, "%8.0f %8d %8d %8d %8d", m.Step.Rate, m.Step.Size, entry.Answered, entry.Failed, entry.Skipped)
	for _, name := range t.names() {
		cpu, resident := t.used(m, name)
		fmt.Fprintf(t.out, " %12.2f %12.1f", 100*cpu.Seconds()/m.Took.Seconds(), float64(resident)/1e6)
	}
	p50, p99 := micros(entry, 50), micros(entry, 99)
	fmt.Fprintf(t.out, " %9.0f %9.0f", p50, p99)
	if t.direct {
		d50, d99 := micros(m.Calls[1], 50), micros(m.Calls[1], 99)
		fmt.Fprintf(t.out, " %10.0f %10.0f %9.0f %9.0f", d50, d99, p50-d50, p99-d99)
	}
	fmt.Fprintln(t.out)
}

func micros(c load.Calls, percentile float64) float64 {
	return float64(c.Latency.ValueAtPercentile(percentile)) / 1e3
}

// slopes prints the processor time for each request, from the steps that differ in their rate, and for each KiB of the
// bodies of request and response together, from those that differ in their size.
func (t *table) slopes(byRate, bySize []load.Measurement) {
	for _, name := range t.names() {
		var rates, sizes []load.Point
		for _, m := range byRate {
			cpu, _ := t.used(m, name)
			rates = append(rates, load.Point{
				X: float64(m.Calls[0].Answered) / m.Took.Seconds(), Y: cpu.Seconds() * 1e6 / m.Took.Seconds(),
			})
		}
		for _, m := range bySize {
			cpu, _ := t.used(m, name)
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
