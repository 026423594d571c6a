package soak

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// injector injects the faults of one series. Several series overlap.
type injector struct {
	*fleet
	draw *rand.Rand
}

// faultKinds holds the kinds of faults. Each injects one, and returns once it has healed.
var faultKinds = map[string]func(i *injector){}

// requestedKinds holds kinds of faults that are injected only if they are asked for, since the platform's interface neither
// names nor rules them out.
var requestedKinds = map[string]func(i *injector){}

func faultKind(kind string) func(i *injector) {
	if inject := faultKinds[kind]; inject != nil {
		return inject
	}
	return requestedKinds[kind]
}

// lapsingKinds let leases lapse of executors that come back with ends. Each drawn selection has one of them.
var lapsingKinds = []string{"app-cut-lease", "late-orders-kills"}

// restartKinds let executors start again under their IDs. Each drawn selection has one of them, too.
var restartKinds = []string{"executor-restart-cut", "executor-restart-cut-kill"}

const (
	maxSeries = 3
	// maxDrawnKinds is how many kinds a drawn selection has at most, besides one of lapsingKinds and one of restartKinds.
	maxDrawnKinds = 8
	shortestPause = 200 * time.Millisecond
	longestPause  = 5 * time.Second
	// throttlePeriod is the period of which throttled processes run a part.
	throttlePeriod = 100 * time.Millisecond
	// maxBusy is how many processors are kept busy at most, with hashes of busyBytes each.
	maxBusy   = 3
	busyBytes = 1 << 20
)

// injectFaults injects faults for a time. It draws the kinds if none are given.
func injectFaults(f *fleet, draw *rand.Rand, kinds []string, length time.Duration) {
	if kinds == nil {
		for kind := range faultKinds {
			kinds = append(kinds, kind)
		}
		sort.Strings(kinds)
		draw.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
		kinds = append(kinds[:2+draw.IntN(maxDrawnKinds-1)], lapsingKinds[draw.IntN(len(lapsingKinds))], restartKinds[draw.IntN(len(restartKinds))])
	}
	series := 1 + draw.IntN(maxSeries)
	pause := shortestPause + time.Duration(draw.Int64N(int64(longestPause-shortestPause)))
	f.record.addf("%d series of faults %s, pauses up to %v", series, strings.Join(kinds, ","), pause)
	until := time.Now().Add(length)
	var all sync.WaitGroup
	for range series {
		i := &injector{f, rand.New(rand.NewPCG(draw.Uint64(), 0))}
		all.Go(func() {
			for time.Now().Before(until) {
				i.wait(0, pause)
				kind := kinds[i.draw.IntN(len(kinds))]
				f.record.addf("fault %s", kind)
				faultKind(kind)(i)
				f.record.addf("fault %s is over", kind)
				f.record.flush()
			}
		})
	}
	all.Wait()
}

// wait waits for a drawn time.
func (i *injector) wait(least, most time.Duration) { time.Sleep(i.between(least, most)) }

func (i *injector) between(least, most time.Duration) time.Duration {
	return least + time.Duration(i.draw.Float64()*float64(most-least))
}

// side returns a drawn host with a node; the owner's in a third of the cases.
func (i *injector) side() int {
	if owner := i.owner(); owner != nil && i.draw.IntN(3) == 0 {
		return owner.host
	}
	return frontHosts + i.draw.IntN(sideHosts)
}

// some returns a drawn selection of hosts: one, some, a zone or all.
func (i *injector) some() []int {
	all := i.draw.Perm(hosts)
	switch i.draw.IntN(4) {
	case 0:
		return []int{i.side()}
	case 1:
		return all[:2+i.draw.IntN(hosts/2)]
	case 2:
		return i.hostsIn(i.draw.IntN(zones))
	}
	return all
}

// hostsIn returns the hosts in a zone in a drawn order.
func (i *injector) hostsIn(zone int) []int {
	return slices.DeleteFunc(i.draw.Perm(hosts), func(host int) bool { return host%zones != zone })
}

// sides returns the hosts with nodes among some.
func sides(some []int) []int {
	return slices.DeleteFunc(slices.Clone(some), func(host int) bool { return host < frontHosts })
}

func (i *injector) executor(host int) *executor { return i.executors[host-frontHosts] }

func init() {
	faultKinds["kill"] = func(i *injector) {
		i.processes[i.draw.IntN(hosts)].signal(syscall.SIGKILL, i.between(0, 4*time.Second))
	}
	faultKinds["kill-owner"] = func(i *injector) {
		if owner := i.owner(); owner != nil {
			owner.signal(syscall.SIGKILL, i.between(0, 4*time.Second))
		}
	}
	faultKinds["kill-many"] = func(i *injector) {
		off := i.between(0, 2*time.Second)
		for _, host := range i.some() {
			i.processes[host].signal(syscall.SIGKILL, off)
		}
		i.wait(2*time.Second, 8*time.Second)
	}
	faultKinds["terminate"] = func(i *injector) {
		for _, host := range i.some() {
			i.processes[host].terminate()
			i.wait(0, 1500*time.Millisecond)
		}
	}
	faultKinds["freeze-stop-owner"] = func(i *injector) {
		if owner := i.owner(); owner != nil {
			owner.signal(syscall.SIGSTOP, 0)
			i.wait(0, 500*time.Millisecond)
			owner.terminate()
			i.wait(0, 2*time.Second)
			owner.send(syscall.SIGCONT)
		}
	}
	faultKinds["throttle"] = func(i *injector) { i.throttle(i.some()...) }
	faultKinds["busy-processors"] = func(i *injector) { i.keepBusy() }
	faultKinds["freeze"] = func(i *injector) { i.freeze(i.draw.IntN(hosts)) }
	faultKinds["freeze-owner"] = func(i *injector) {
		if owner := i.owner(); owner != nil {
			i.freeze(owner.host)
		}
	}
	faultKinds["freeze-many"] = func(i *injector) { i.freeze(i.some()...) }
}

// throttle lets processes run only a part of each short period for a time.
func (i *injector) throttle(some ...int) {
	runs := i.between(throttlePeriod/20, throttlePeriod/2)
	for until := time.Now().Add(i.between(2*time.Second, 10*time.Second)); time.Now().Before(until); {
		for _, host := range some {
			i.processes[host].send(syscall.SIGSTOP)
		}
		time.Sleep(throttlePeriod - runs)
		for _, host := range some {
			i.processes[host].send(syscall.SIGCONT)
		}
		time.Sleep(runs)
	}
}

// keepBusy keeps processors busy beside the fleet for a time.
func (i *injector) keepBusy() {
	ctx, cancel := context.WithTimeout(context.Background(), i.between(time.Second, 6*time.Second))
	defer cancel()
	var all sync.WaitGroup
	for range 1 + i.draw.IntN(maxBusy) {
		all.Go(func() {
			for ctx.Err() == nil {
				sha256.Sum256(make([]byte, busyBytes))
			}
		})
	}
	all.Wait()
}

// freeze stops processes for a time, and continues them at once or one by one.
func (i *injector) freeze(some ...int) {
	for _, host := range some {
		i.processes[host].signal(syscall.SIGSTOP, 0)
	}
	i.wait(time.Second, 10*time.Second)
	spread := i.draw.IntN(2) == 0
	for _, host := range some {
		i.processes[host].signal(syscall.SIGCONT, 0)
		if spread {
			i.wait(0, 500*time.Millisecond)
		}
	}
}
