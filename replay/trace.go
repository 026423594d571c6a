// Package replay runs recorded traces of load, jobs and faults against the routing, admission and scheduling packages in
// virtual time. It compares the results with the outcomes stated in the trace and with a simple baseline policy.
package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Limits on the contents of a trace.
const (
	maxSeconds           = 24 * 3600
	maxWorkers           = 4096
	maxTasks             = 100_000
	maxRequestsPerSecond = 100_000.0
	maxFraction          = 1.0
)

// Trace describes a site and the events of one recorded run.
type Trace struct {
	Site    string  `json:"site"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Network Network `json:"network"`
	// UsageLagSeconds is the delay until usage and latency reports reach the scheduler.
	UsageLagSeconds float64 `json:"usage_lag_seconds"`
	// OwnerValiditySeconds is how long batch tasks keep running while the store is down.
	OwnerValiditySeconds float64 `json:"owner_validity_seconds"`
	// Rules holds those of the site's operator rules that the replay applies.
	Rules   Rules            `json:"rules"`
	Workers []structs.Worker `json:"workers"`
	// EntryDomains lists the failure domain of each entry.
	EntryDomains []string  `json:"entry_domains"`
	Services     []Service `json:"services"`
	Classes      []Class   `json:"classes"`
	Events       []Event   `json:"events"`
	Outcomes     []Outcome `json:"outcomes"`
}

// Rules holds thresholds with the same names and meanings as in the operators' rules. Zero selects the default.
type Rules struct {
	ThrottleAt        float64 `json:"throttle_at"`
	ResumeAt          float64 `json:"resume_at"`
	EvictAt           float64 `json:"evict_at"`
	EvictAfterSeconds float64 `json:"evict_after_seconds"`
	MaxSlowdown       float64 `json:"max_slowdown"`
	ExplorationTasks  int     `json:"exploration_tasks"`
}

// Network describes message delays, in milliseconds.
type Network struct {
	CallerOneWayMillis float64 `json:"caller_one_way_ms"`
	DomainOneWayMillis float64 `json:"domain_one_way_ms"`
	// JitterFraction is the standard deviation of a delay relative to its mean.
	JitterFraction float64 `json:"jitter_fraction"`
	// LossFraction is the fraction of messages between failure domains that are lost and arrive RetransmitMillis later.
	LossFraction     float64 `json:"loss_fraction"`
	RetransmitMillis float64 `json:"retransmit_ms"`
}

// Service is a latency-critical service with one upstream on each worker.
type Service struct {
	Name        string `json:"name"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// MedianMillis and Sigma are the parameters of the log-normal service time of a request without interference.
	MedianMillis    float64           `json:"median_ms"`
	Sigma           float64           `json:"sigma"`
	ObjectiveMillis float64           `json:"objective_ms"`
	DeadlineMillis  float64           `json:"deadline_ms"`
	Reservation     structs.Resources `json:"reservation"`
}

// Class is a class of batch tasks. The scheduler sees only the declared values.
type Class struct {
	Name            string            `json:"name"`
	Declared        structs.Resources `json:"declared"`
	DeclaredSeconds float64           `json:"declared_seconds"`
	Actual          structs.Resources `json:"actual"`
	ActualSeconds   float64           `json:"actual_seconds"`
	// Slowdown maps a service to its relative slowdown on a worker that is filled with tasks of this class.
	Slowdown map[string]float64 `json:"slowdown"`
}

// EventKind is the type of an event.
type EventKind string

// The kinds of event.
const (
	EventLoad             EventKind = "load"
	EventJob              EventKind = "job"
	EventCancel           EventKind = "cancel"
	EventDomainOut        EventKind = "domain_out"
	EventPowerOff         EventKind = "power_off"
	EventDomainIn         EventKind = "domain_in"
	EventWorkerOff        EventKind = "worker_off"
	EventWorkerOn         EventKind = "worker_on"
	EventWorkerFailsTasks EventKind = "worker_fails_tasks"
	EventStoreDown        EventKind = "store_down"
	EventStoreUp          EventKind = "store_up"
)

// Event is a recorded change of load, jobs, workers, failure domains or the store.
type Event struct {
	AtSeconds float64   `json:"at"`
	Kind      EventKind `json:"kind"`
	Service   string    `json:"service,omitempty"`
	PerSecond float64   `json:"per_second,omitempty"`
	Job       string    `json:"job,omitempty"`
	Class     string    `json:"class,omitempty"`
	Team      string    `json:"team,omitempty"`
	Tasks     int       `json:"tasks,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	Urgent    bool      `json:"urgent,omitempty"`
	Domain    string    `json:"domain,omitempty"`
	Worker    string    `json:"worker,omitempty"`
}

// Outcome is a required bound on a metric under quetzalshed's policy. Max and Min are absolute; MinRatio and MaxRatio are
// relative to the baseline policy on the same trace.
type Outcome struct {
	Metric   string   `json:"metric"`
	Max      *float64 `json:"max,omitempty"`
	Min      *float64 `json:"min,omitempty"`
	MaxRatio *float64 `json:"max_ratio,omitempty"`
	MinRatio *float64 `json:"min_ratio,omitempty"`
}

// Load reads and validates a trace file. It returns all findings together as a *findings.Error.
func Load(path string) (*Trace, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading trace")
	}
	return Parse(path, raw)
}

// Parse decodes and validates a trace. Findings refer to it by name.
func Parse(name string, raw []byte) (*Trace, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var t Trace
	var found findings.List
	if err := decoder.Decode(&t); err != nil {
		found.Addf(findings.Location{File: name}, "not a trace: %v", err)
		return nil, found.Err()
	}
	t.check(name, &found)
	return &t, found.Err()
}

func (t *Trace) check(name string, found *findings.List) {
	addFinding := func(section, format string, args ...any) {
		found.Addf(findings.Location{File: name, Section: section}, format, args...)
	}
	if t.Seconds <= 0 || t.Seconds > maxSeconds {
		addFinding("seconds", "%g is outside (0, %d]", t.Seconds, maxSeconds)
	}
	if len(t.Workers) == 0 || len(t.Workers) > maxWorkers {
		addFinding("workers", "%d workers; 1 to %d are allowed", len(t.Workers), maxWorkers)
	}
	if len(t.EntryDomains) == 0 {
		addFinding("entry_domains", "no entry")
	}
	if n := t.Network; n.LossFraction < 0 || n.LossFraction > maxFraction {
		addFinding("network", "loss_fraction %g is outside [0, 1]", n.LossFraction)
	}
	for _, s := range t.Services {
		if s.Slots < 1 || s.MedianMillis <= 0 || s.DeadlineMillis <= 0 {
			addFinding("services "+s.Name, "slots, median_ms and deadline_ms must be positive")
		}
	}
	for i, e := range t.Events {
		t.checkEvent(fmt.Sprintf("events %d", i), e, addFinding)
	}
	known := metricNames(t)
	for _, o := range t.Outcomes {
		if !known[o.Metric] {
			addFinding("outcomes", "unknown metric %q", o.Metric)
		}
	}
}

func (t *Trace) checkEvent(location string, e Event, addFinding func(section, format string, args ...any)) {
	if e.AtSeconds < 0 || e.AtSeconds > t.Seconds {
		addFinding(location, "time %g is outside the trace", e.AtSeconds)
	}
	switch e.Kind {
	case EventLoad:
		if t.serviceIndex(e.Service) < 0 {
			addFinding(location, "unknown service %q", e.Service)
		}
		if e.PerSecond < 0 || e.PerSecond > maxRequestsPerSecond {
			addFinding(location, "per_second %g is outside [0, %g]", e.PerSecond, maxRequestsPerSecond)
		}
	case EventJob:
		if t.class(e.Class) == nil {
			addFinding(location, "unknown class %q", e.Class)
		}
		if e.Tasks < 1 || e.Tasks > maxTasks {
			addFinding(location, "%d tasks; 1 to %d are allowed", e.Tasks, maxTasks)
		}
	case EventDomainOut, EventDomainIn, EventPowerOff:
		if !t.hasDomain(e.Domain) {
			addFinding(location, "unknown failure domain %q", e.Domain)
		}
	case EventWorkerOff, EventWorkerOn, EventWorkerFailsTasks:
		if t.workerIndex(e.Worker) < 0 {
			addFinding(location, "unknown worker %q", e.Worker)
		}
	case EventCancel, EventStoreDown, EventStoreUp:
	default:
		addFinding(location, "unknown kind %q", e.Kind)
	}
}

func (t *Trace) serviceIndex(name string) int {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return i
		}
	}
	return -1
}

func (t *Trace) class(name string) *Class {
	for i := range t.Classes {
		if t.Classes[i].Name == name {
			return &t.Classes[i]
		}
	}
	return nil
}

func (t *Trace) workerIndex(name string) int {
	for i := range t.Workers {
		if t.Workers[i].Name == name {
			return i
		}
	}
	return -1
}

func (t *Trace) hasDomain(name string) bool {
	for i := range t.Workers {
		if t.Workers[i].FailureDomain == name {
			return true
		}
	}
	return false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
