package replay

import (
	"math"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// host simulates a worker with one upstream of each service.
type host struct {
	index         int
	worker        structs.Worker
	up            bool
	failsAllTasks bool
	upstreams     []*upstream
	tasks         []*task
	// batchShare is the fraction of their processor time that batch tasks get under throttling.
	batchShare float64
	// reports holds the reports that have not yet reached the scheduler because of the reporting lag.
	reports []hostReport
	// serviceTimes holds the service times in milliseconds by service, one slice for each of the latest reporting
	// intervals. A report covers several intervals, since a percentile of the few requests of one second is mostly noise.
	serviceTimes [][windowIntervals][]float64
}

// windowIntervals is the number of reporting intervals that a latency report covers.
const windowIntervals = 5

// upstream is the instance of a service on a host.
type upstream struct {
	service int
	leaving bool
	queue   admissionQueue
	running map[string]*request
	waiting map[string]*request
}

// admissionQueue assigns the slots of an upstream to requests.
type admissionQueue interface {
	Offer(r limit.Request, now time.Time) limit.Decisions
	Finish(id string, took time.Duration, now time.Time) limit.Decisions
	Tick(now time.Time) limit.Decisions
	Load() limit.Load
}

// hostReport holds the latency and usage of a host in one reporting interval.
type hostReport struct {
	at time.Time
	// latency holds the 95th percentile of the service time by service, 0 without requests.
	latency []float64
	used    structs.Resources
	tasks   []taskUsage
}

type taskUsage struct {
	task *task
	used structs.Resources
}

// task is one batch task of the trace.
type task struct {
	job     *job
	index   int
	class   *Class
	attempt int
	state   structs.TaskState
	host    *host
	// completed is the run time that the task has completed, checkpointed the part that is saved in a checkpoint.
	completed, checkpointed time.Duration
	reservation             structs.Resources
	notBefore               time.Time
	peakUsage               structs.Resources
}

type job struct {
	spec  structs.Job
	tasks []*task
}

func (h *host) batchUsage() structs.Resources {
	var sum structs.Resources
	for _, t := range h.tasks {
		sum = sum.Add(t.class.Actual)
	}
	return sum
}

func (h *host) serviceMilliCores() int64 {
	var milliCores int64
	for _, u := range h.upstreams {
		milliCores += int64(len(u.running)) * 1000
	}
	return milliCores
}

// cpuDemand returns the demand for processor time relative to the host's capacity. Above 1, everything on the host slows
// down.
func (h *host) cpuDemand() float64 {
	demand := float64(h.batchUsage().MilliCores)*h.batchShare + float64(h.serviceMilliCores())
	return demand / float64(h.worker.Capacity.MilliCores)
}

// slowdown returns the factor by which the present load of the host lengthens a request of a service.
func (h *host) slowdown(service string) float64 {
	factor := 1.0
	for _, t := range h.tasks {
		part := float64(t.class.Actual.MilliCores) / float64(h.worker.Capacity.MilliCores)
		factor += t.class.Slowdown[service] * part * h.batchShare
	}
	return factor * math.Max(1, h.cpuDemand())
}

// advanceTasks advances the batch tasks by one step. It returns the tasks that finished and the core seconds of work that
// were completed.
func (h *host) advanceTasks(step time.Duration) (finished []*task, work float64) {
	if !h.up {
		return nil, 0
	}
	rate := h.batchShare / math.Max(1, h.cpuDemand())
	for _, t := range h.tasks {
		if t.state != structs.TaskRunning {
			continue
		}
		advance := time.Duration(float64(step) * rate)
		t.completed += advance
		work += advance.Seconds() * float64(t.class.Actual.MilliCores) / 1000
		if t.completed >= seconds(t.class.ActualSeconds) {
			finished = append(finished, t)
		}
	}
	return finished, work
}

func (h *host) remove(t *task) {
	h.tasks = slices.DeleteFunc(h.tasks, func(other *task) bool { return other == t })
	t.host = nil
}

// recordReport queues a report on the current interval and starts the next one.
func (h *host) recordReport(now time.Time) {
	r := hostReport{at: now, used: h.batchUsage().Add(structs.Resources{MilliCores: h.serviceMilliCores()})}
	for service := range h.serviceTimes {
		w := &h.serviceTimes[service]
		r.latency = append(r.latency, percentile95(slices.Concat(w[:]...)))
		oldest := w[windowIntervals-1]
		copy(w[1:], w[:windowIntervals-1])
		w[0] = oldest[:0]
	}
	for _, t := range h.tasks {
		r.tasks = append(r.tasks, taskUsage{task: t, used: t.class.Actual})
	}
	h.reports = append(h.reports, r)
}

// takeReports removes and returns the reports that are at least lag old.
func (h *host) takeReports(lag time.Duration, now time.Time) []hostReport {
	count := 0
	for count < len(h.reports) && now.Sub(h.reports[count].at) >= lag {
		count++
	}
	ready := h.reports[:count]
	h.reports = h.reports[count:]
	return ready
}

func percentile95(samples []float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Clone(samples)
	slices.Sort(sorted)
	return sorted[min(len(sorted)*95/100, len(sorted)-1)]
}
