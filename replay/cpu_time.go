package replay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/quetzalshed/quetzalshed/scheduler"
	"github.com/quetzalshed/quetzalshed/scheduler/plugins"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Uses of processor time. useRejectedPrefix precedes the scheduler's reason for rejecting pending tasks.
const (
	useServices       = "requests"
	useBatch          = "batch"
	useThrottled      = "idle: throttled by the guard"
	useContention     = "idle: processors shared by more than they hold"
	useTransition     = "idle: starting or saving a checkpoint"
	useUnavailable    = "idle: worker off or failure domain out"
	useReservation    = "idle: reserved for services"
	useHeadroom       = "idle: reserved for batch beyond its usage"
	useFailingWorker  = "idle: worker fails its tasks"
	useNoPending      = "idle: no batch is pending"
	useRejectedPrefix = "idle: "
)

const milliPerCore = 1000

// cpuTimeByUse maps each use to its core seconds. The sum is the processor time of the whole fleet.
type cpuTimeByUse map[string]float64

// add accounts for the processor time of a host in one interval. rejections maps each pending batch class to the reason
// why the scheduler places none of its tasks on the host.
func (s cpuTimeByUse) add(e *engine, h *host, rejections map[string]scheduler.Reason) {
	remaining := float64(h.worker.Capacity.MilliCores) / milliPerCore * reportInterval.Seconds()
	take := func(use string, coreSeconds float64) {
		taken := min(max(coreSeconds, 0), remaining)
		s[use] += taken
		remaining -= taken
	}
	if !h.up {
		take(useUnavailable, remaining)
		return
	}
	contention := math.Max(1, h.cpuDemand())
	serviceCores := float64(h.serviceMilliCores()) / milliPerCore
	take(useServices, serviceCores/contention)
	var used, reserved float64
	for _, t := range h.tasks {
		cores := float64(t.class.Actual.MilliCores) / milliPerCore
		used, reserved = used+cores, reserved+float64(t.reservation.MilliCores)/milliPerCore
		switch {
		case t.state != structs.TaskRunning:
			take(useTransition, cores)
		case h.failsAllTasks:
			take(useFailingWorker, cores)
		default:
			take(useBatch, cores*h.batchShare/contention)
			take(useThrottled, cores*(1-h.batchShare))
			take(useContention, cores*h.batchShare*(1-1/contention))
		}
	}
	if _, out := e.outSince[h.worker.FailureDomain]; out {
		take(useUnavailable, remaining)
		return
	}
	if h.failsAllTasks {
		take(useFailingWorker, remaining)
		return
	}
	serviceReservation := 0.0
	for _, service := range e.trace.Services {
		serviceReservation += float64(service.Reservation.MilliCores) / milliPerCore
	}
	take(useReservation, serviceReservation-serviceCores)
	take(useHeadroom, reserved-used)
	s.addFree(remaining, rejections)
}

// addFree divides unreserved processor time evenly among the pending classes that would fit but are rejected for another
// reason than capacity.
func (s cpuTimeByUse) addFree(coreSeconds float64, rejections map[string]scheduler.Reason) {
	var reasons []scheduler.Reason
	for _, reason := range rejections {
		if reason != plugins.ReasonCapacity {
			reasons = append(reasons, reason)
		}
	}
	switch {
	case len(rejections) == 0:
		s[useNoPending] += coreSeconds
	case len(reasons) == 0:
		s[useRejectedPrefix+string(plugins.ReasonCapacity)] += coreSeconds
	}
	for _, reason := range reasons {
		s[useRejectedPrefix+string(reason)] += coreSeconds / float64(len(reasons))
	}
}

// PrintCPUTime writes a table of the fleet's processor time by use under quetzalshed's policy.
func (r *Report) PrintCPUTime(w io.Writer) error {
	total := 0.0
	for _, use := range slices.Sorted(maps.Keys(r.CPUTimeByUse)) {
		total += r.CPUTimeByUse[use]
	}
	uses := slices.SortedFunc(maps.Keys(r.CPUTimeByUse), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.CPUTimeByUse[b], r.CPUTimeByUse[a]), cmp.Compare(a, b))
	})
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tcore seconds\tpart\t\n", r.Site)
	for _, use := range uses {
		fmt.Fprintf(table, "%s\t%.0f\t%.1f%%\t\n", use, r.CPUTimeByUse[use], 100*r.CPUTimeByUse[use]/total)
	}
	return table.Flush()
}
