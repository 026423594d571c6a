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

// Uses of processor time that don't come from the scheduler's reasons.
const (
	useServices    = "requests"
	useBatch       = "batch"
	useThrottled   = "idle: throttled by the guard"
	useContention  = "idle: processors shared by more than they hold"
	useTransition  = "idle: starting or saving a checkpoint"
	useAway        = "idle: worker off or failure domain out"
	useReservation = "idle: reserved for services"
	useHeadroom    = "idle: reserved for batch beyond its usage"
	useFaulty      = "idle: worker fails its tasks"
	useNothing     = "idle: no batch is pending"
	useRefused     = "idle: "
)

const milliPerCore = 1000

// shares holds core seconds by use. Their sum is the processor time of the whole fleet.
type shares map[string]float64

// add accounts for one interval of a host. refusals maps the pending batch classes to why the host takes none of them.
func (s shares) add(e *engine, h *host, refusals map[string]scheduler.Reason) {
	left := float64(h.worker.Capacity.MilliCores) / milliPerCore * reportEvery.Seconds()
	take := func(use string, coreSeconds float64) {
		taken := min(max(coreSeconds, 0), left)
		s[use] += taken
		left -= taken
	}
	if !h.up {
		take(useAway, left)
		return
	}
	slowed := math.Max(1, h.pressure())
	serviceCores := float64(h.serviceCores()) / milliPerCore
	take(useServices, serviceCores/slowed)
	var used, reserved float64
	for _, t := range h.tasks {
		cores := float64(t.class.Actual.MilliCores) / milliPerCore
		used, reserved = used+cores, reserved+float64(t.reservation.MilliCores)/milliPerCore
		switch {
		case t.state != structs.TaskRunning:
			take(useTransition, cores)
		case h.failsAll:
			take(useFaulty, cores)
		default:
			take(useBatch, cores*h.share/slowed)
			take(useThrottled, cores*(1-h.share))
			take(useContention, cores*h.share*(1-1/slowed))
		}
	}
	if _, out := e.out[h.worker.FailureDomain]; out {
		take(useAway, left)
		return
	}
	if h.failsAll {
		take(useFaulty, left)
		return
	}
	kept := 0.0
	for _, service := range e.trace.Services {
		kept += float64(service.Reservation.MilliCores) / milliPerCore
	}
	take(useReservation, kept-serviceCores)
	take(useHeadroom, reserved-used)
	s.addFree(left, refusals)
}

// addFree divides free room evenly among the pending classes that would fit but are refused for another reason than
// capacity.
func (s shares) addFree(coreSeconds float64, refusals map[string]scheduler.Reason) {
	var reasons []scheduler.Reason
	for _, reason := range refusals {
		if reason != plugins.ReasonCapacity {
			reasons = append(reasons, reason)
		}
	}
	switch {
	case len(refusals) == 0:
		s[useNothing] += coreSeconds
	case len(reasons) == 0:
		s[useRefused+string(plugins.ReasonCapacity)] += coreSeconds
	}
	for _, reason := range reasons {
		s[useRefused+string(reason)] += coreSeconds / float64(len(reasons))
	}
}

// PrintShares writes which part of the fleet's processor time went into each use under quetzalshed's decisions.
func (r *Report) PrintShares(w io.Writer) error {
	total := 0.0
	for _, use := range slices.Sorted(maps.Keys(r.Shares)) {
		total += r.Shares[use]
	}
	uses := slices.SortedFunc(maps.Keys(r.Shares), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Shares[b], r.Shares[a]), cmp.Compare(a, b))
	})
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tcore seconds\tpart\t\n", r.Site)
	for _, use := range uses {
		fmt.Fprintf(table, "%s\t%.0f\t%.1f%%\t\n", use, r.Shares[use], 100*r.Shares[use]/total)
	}
	return table.Flush()
}
