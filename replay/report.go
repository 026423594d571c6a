package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Metric is the value of a metric under both policies.
type Metric struct {
	Name     string  `json:"name"`
	Baseline float64 `json:"baseline"`
	Managed  float64 `json:"managed"`
}

// Report compares quetzalshed's policy with the baseline policy on the same trace.
type Report struct {
	Site    string   `json:"site"`
	Metrics []Metric `json:"metrics"`
	// Missed lists the stated outcomes that were not met.
	Missed []string `json:"missed"`
	// CPUTimeByUse holds the fleet's processor time in core seconds by use; idle time is split by cause.
	CPUTimeByUse map[string]float64 `json:"shares"`
}

// Run replays a trace under both policies.
func Run(t *Trace) *Report {
	baseline := metrics(t, newEngine(t, newBaselinePolicy).run())
	stats := newEngine(t, newManagedPolicy).run()
	managed := metrics(t, stats)
	r := &Report{Site: t.Site, CPUTimeByUse: stats.cpuTime}
	for i := range managed {
		r.Metrics = append(r.Metrics, Metric{Name: managed[i].name, Baseline: baseline[i].value, Managed: managed[i].value})
	}
	r.Missed = r.missedOutcomes(t.Outcomes)
	return r
}

type metricValue struct {
	name  string
	value float64
}

func metrics(t *Trace, s *stats) []metricValue {
	var list []metricValue
	add := func(name string, value float64) { list = append(list, metricValue{name, value}) }
	for i, service := range t.Services {
		m := s.services[i]
		add(service.Name+".requests", float64(m.requests))
		add(service.Name+".p50_ms", m.percentileMillis(50))
		add(service.Name+".p99_ms", m.percentileMillis(99))
		add(service.Name+".p99.9_ms", m.percentileMillis(99.9))
		add(service.Name+".missed_percent", 100*float64(m.missed)/float64(max(m.requests, 1)))
	}
	add("batch.finished", float64(s.finished))
	add("batch.core_seconds", s.work)
	add("batch.lost_core_seconds", s.lostWork)
	add("batch.move_core_seconds", s.maintenanceWork)
	add("batch.starts", float64(s.starts))
	add("batch.failed_starts", float64(s.failed))
	add("batch.evictions", float64(s.evictions))
	add("batch.verdicts", float64(s.unschedulableJobs))
	add("late_starts", float64(s.lateStarts))
	add("overcommitted_worker_seconds", float64(s.overcommittedSeconds))
	return list
}

func metricNames(t *Trace) map[string]bool {
	names := map[string]bool{}
	for _, m := range metrics(t, newStats(t)) {
		names[m.name] = true
	}
	return names
}

func (r *Report) missedOutcomes(outcomes []Outcome) []string {
	missed := []string{}
	for _, o := range outcomes {
		at := slices.IndexFunc(r.Metrics, func(m Metric) bool { return m.Name == o.Metric })
		m := r.Metrics[at]
		fail := func(what string, bound float64) {
			missed = append(missed, fmt.Sprintf("%s: %.4g (baseline %.4g), stated %s %.4g", m.Name, m.Managed, m.Baseline, what, bound))
		}
		if o.Max != nil && m.Managed > *o.Max {
			fail("at most", *o.Max)
		}
		if o.Min != nil && m.Managed < *o.Min {
			fail("at least", *o.Min)
		}
		if o.MaxRatio != nil && m.Managed > *o.MaxRatio*m.Baseline {
			fail("at most baseline times", *o.MaxRatio)
		}
		if o.MinRatio != nil && m.Managed < *o.MinRatio*m.Baseline {
			fail("at least baseline times", *o.MinRatio)
		}
	}
	return missed
}

// Print writes the metrics as a table, followed by the stated outcomes that were missed.
func (r *Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tbaseline\tquetzalshed\t\n", r.Site)
	for _, m := range r.Metrics {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t\n", m.Name, m.Baseline, m.Managed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, text := range r.Missed {
		if _, err := fmt.Fprintln(w, "missed outcome:", text); err != nil {
			return err
		}
	}
	return nil
}
