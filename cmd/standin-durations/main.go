// Command standin-durations measures, in a running fleet of stand-ins, how long urgent tasks take to start and how long a
// change of the configuration takes to be in force everywhere. It compares times of different processes, so all must run
// on one machine.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
)

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

// options describes the fleet and the number of measurements.
type options struct {
	entries, storeLinks, parts            []string
	inventory, logs, links, store         string
	label                                 string
	urgentCount, changeCount, outageCount int
	slotsPerWorker, workerPort            int
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "standin-durations", Short: "Measure the latency of urgent starts and configuration changes", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return measure(cmd.Context(), o, cmd.OutOrStdout()) },
	}
	flags := c.Flags()
	flags.StringSliceVar(&o.entries, "entries", nil, "addresses of the entries")
	flags.StringSliceVar(&o.storeLinks, "store-links", nil, "addresses of the store for the processes, assigned in turn")
	flags.StringVar(&o.inventory, "inventory", "", "CSV file with the inventory")
	flags.StringVar(&o.logs, "logs", "", "directory with the log NAME.log of each process")
	flags.StringVar(&o.links, "links", "", "address of the control API of standin-links")
	flags.StringVar(&o.store, "store", "", "address of the stand-in store")
	flags.StringVar(&o.label, "label", "1", "part of the job IDs; must differ between measurements of the same fleet")
	flags.StringSliceVar(&o.parts, "parts", []string{"urgent", "changes", "outs"}, "what to measure")
	flags.IntVar(&o.urgentCount, "urgent", 100, "number of urgent jobs, once on the idle fleet and once on the full fleet")
	flags.IntVar(&o.changeCount, "changes", 30, "changes of the configuration in each state of the store")
	flags.IntVar(&o.outageCount, "outs", 9, "number of times that a failure domain is taken out of service while tasks start")
	flags.IntVar(&o.slotsPerWorker, "slots", 8, "tasks of 2 cores and 4000 MB that fit on a worker")
	flags.IntVar(&o.workerPort, "worker-port", 7700, "port of the workers' task API, at the address of their agents")
	for _, name := range []string{"entries", "store-links", "inventory", "logs", "links", "store"} {
		_ = c.MarkFlagRequired(name)
	}
	c.AddCommand(kernel.VersionCommand())
	return c
}

// runner performs the measurements.
type runner struct {
	options
	ctx     context.Context
	out     io.Writer
	workers []structs.Worker
	domains []string
	// processes holds the names of the entries and agents in their start order, by which store links are assigned.
	processes []string
}

func measure(ctx context.Context, o options, out io.Writer) error {
	raw, err := os.ReadFile(o.inventory)
	if err != nil {
		return eris.Wrap(err, "reading the inventory")
	}
	inventory, found := config.ParseInventory(o.inventory, config.FormatCSV, raw)
	if err := found.Err(); err != nil {
		return err
	}
	r := &runner{options: o, ctx: ctx, out: out, workers: inventory.Workers}
	for i := range o.entries {
		r.processes = append(r.processes, fmt.Sprintf("entry-%d", i))
	}
	known := map[string]bool{}
	for _, w := range r.workers {
		r.processes = append(r.processes, w.Name)
		if !known[w.FailureDomain] {
			known[w.FailureDomain] = true
			r.domains = append(r.domains, w.FailureDomain)
		}
	}
	parts := map[string][]func() error{
		"urgent":  {r.measureUrgentIdle, r.measureUrgentFull},
		"changes": {r.measureChanges, r.measureChangesDuringCut, r.measureChangesStoreDown},
		"outs":    {r.measureDomainOutages},
	}
	for _, part := range o.parts {
		steps, known := parts[part]
		if !known {
			return eris.Errorf("--parts: %q is none of urgent, changes and outs", part)
		}
		for _, step := range steps {
			if err := step(); err != nil {
				return err
			}
		}
	}
	return nil
}

// pause waits for d. It returns false if the context ends first.
func (r *runner) pause(d time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// errNotMeasured means that the measured event did not happen, or not in time.
var errNotMeasured = eris.New("could not be measured")

// waitLimit is the maximum wait for a measured event. It is long, so that it only ends a broken run.
const waitLimit = 60 * time.Second

// waitFor repeats a check until it succeeds, for at most waitLimit.
func (r *runner) waitFor(condition string, check func() (bool, error)) error {
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		var ok bool
		if ok, err = check(); ok && err == nil {
			return nil
		}
		if !r.pause(50 * time.Millisecond) {
			return r.ctx.Err()
		}
	}
	if err != nil {
		return eris.Wrapf(err, "%s", condition)
	}
	return eris.Wrapf(errNotMeasured, "%s", condition)
}
