// Command standin-caller calls a service through an entry and directly, at several rates and body sizes. It prints the
// latency of both paths, and the processor time and memory of the processes that forward the requests.
package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/test/load"
)

type options struct {
	entry, direct, service, method string
	processes                      []string
	rates                          []float64
	sizes                          []int
	size                           int
	sizeRate                       float64
	delay, duration                time.Duration
}

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "standin-caller", Short: "Measure the cost of requests through an entry", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	flags := c.Flags()
	flags.StringVar(&o.entry, "entry", "", "IP address and port of the entry")
	flags.StringVar(&o.direct, "direct", "", "IP address and port of an upstream, called at the same rate; may be empty")
	flags.StringVar(&o.service, "service", "", "name of the service")
	flags.StringVar(&o.method, "method", http.MethodPut, "method of the requests")
	flags.StringArrayVar(&o.processes, "process", nil, "NAME=PID of a process to measure; processor time is summed by name")
	flags.Float64SliceVar(&o.rates, "rates", []float64{0, 100, 200, 400}, "calls per second, one step for each rate")
	flags.IntVar(&o.size, "size", 16, "body size in bytes of the steps of --rates")
	flags.IntSliceVar(&o.sizes, "sizes", []int{16, 16 << 10, 64 << 10, 256 << 10}, "body sizes in bytes, one step for each size")
	flags.Float64Var(&o.sizeRate, "size-rate", 50, "calls per second of the steps of --sizes")
	flags.DurationVar(&o.delay, "delay", 0, "run time of each request at the upstream")
	flags.DurationVar(&o.duration, "duration", 10*time.Second, "length of each step")
	return c
}

// run measures all steps, prints a row for each, and then prints the processor time per request and per KiB.
func (o *options) run(ctx context.Context, out io.Writer) error {
	processes, err := parseProcesses(o.processes)
	if err != nil {
		return err
	}
	targets := []load.Target{{Name: "entry", URL: "http://" + o.entry + "/s/" + o.service + "/load", RequireOutcome: true}}
	if o.direct != "" {
		targets = append(targets, load.Target{Name: "direct", URL: "http://" + o.direct + "/load"})
	}
	client := load.NewClient()
	t := &table{out: out, processes: processes, direct: o.direct != ""}
	t.printHeader()
	measure := func(rate float64, size int) (load.Measurement, error) {
		step := load.Step{Rate: rate, Size: size, Delay: o.delay, Duration: o.duration, Method: o.method}
		m, err := load.Measure(ctx, client, step, targets, processes)
		if err == nil {
			t.printRow(m)
		}
		return m, err
	}
	var byRate, bySize []load.Measurement
	for _, rate := range o.rates {
		m, err := measure(rate, o.size)
		if err != nil {
			return err
		}
		byRate = append(byRate, m)
	}
	for _, size := range o.sizes {
		m, err := measure(o.sizeRate, size)
		if err != nil {
			return err
		}
		bySize = append(bySize, m)
	}
	t.printCosts(byRate, bySize)
	return nil
}

func parseProcesses(values []string) ([]load.Process, error) {
	var processes []load.Process
	for _, text := range values {
		name, number, _ := strings.Cut(text, "=")
		pid, err := strconv.Atoi(number)
		if err != nil || name == "" {
			return nil, eris.Errorf("--process %q is not NAME=PID", text)
		}
		processes = append(processes, load.Process{Name: name, PID: pid})
	}
	return processes, nil
}
