package soak

import (
	"slices"
	"time"
)

// Longest delays of links.
const (
	longestLinkDelay = 800 * time.Millisecond
	longestCut       = 12 * time.Second
	// shortestLeaseCut is about as long as a lease.
	shortestLeaseCut = 7 * time.Second
	shortestRefusal  = 300 * time.Millisecond
	shortRefusal     = 600 * time.Millisecond
)

func init() {
	faultKinds["peers-hold"] = func(i *injector) { i.hold(i.peerLinks(), true) }
	faultKinds["peers-half"] = func(i *injector) { i.hold(i.peerLinks(), false) }
	faultKinds["peers-delay"] = func(i *injector) { i.delay(i.peerLinks()) }
	faultKinds["peers-reset"] = func(i *injector) { i.reset(i.peerLinks()) }
	faultKinds["peers-refuse"] = func(i *injector) { i.refuse(i.peerLinks(), longestCut, true) }
	faultKinds["store-hold"] = func(i *injector) { i.hold(i.linksToStore(), true) }
	faultKinds["store-half"] = func(i *injector) { i.hold(i.linksToStore(), false) }
	faultKinds["store-channels"] = func(i *injector) { i.reset(i.linksToStore()) }
	faultKinds["app-hold"] = func(i *injector) { i.hold(i.appLinks(), true) }
	faultKinds["app-half"] = func(i *injector) { i.hold(i.appLinks(), false) }
	faultKinds["app-delay"] = func(i *injector) { i.delay(i.appLinks()) }
	faultKinds["app-reset"] = func(i *injector) { i.reset(i.appLinks()) }
	// Leases lapse while executors are cut off from their nodes. Ends before that are listed once they are back.
	faultKinds["app-cut-lease"] = func(i *injector) {
		links := i.appLinks()
		back := i.draw.IntN(3) == 0
		for _, l := range links {
			l.set(direction{held: !back}, direction{held: true})
		}
		cut := i.between(shortestLeaseCut, longestCut)
		if i.draw.IntN(2) == 0 {
			i.killOwners(cut)
		} else {
			time.Sleep(cut)
		}
		i.heal(links)
	}
	faultKinds["channels-silent"] = func(i *injector) {
		for _, l := range slices.Concat(i.linksToStore(), i.peerLinks(), i.appLinks()) {
			l.silence()
		}
		i.wait(0, 3*time.Second)
	}
	requestedKinds["app-refuse"] = func(i *injector) { i.refuse(i.appLinks(), longestCut, true) }
	requestedKinds["app-refuse-muted"] = func(i *injector) {
		some := sides(i.some())
		var links []*link
		for _, host := range some {
			links = append(links, i.apps[host])
			i.executor(host).setMuted(true)
		}
		i.refuse(links, longestCut, true)
		for _, host := range some {
			i.executor(host).setMuted(false)
		}
	}
	requestedKinds["app-refuse-short"] = func(i *injector) { i.refuse(i.appLinks(), shortRefusal, true) }
	requestedKinds["app-refuse-new"] = func(i *injector) { i.refuse(i.appLinks(), longestCut, false) }
	faultKinds["cut-off"] = func(i *injector) {
		links := i.linksToStore()
		i.hold(append(links, i.peerLinks()...), true)
	}
}

// peerLinks returns the links between two drawn groups of hosts, both ways or one way.
func (i *injector) peerLinks() (links []*link) {
	inside := map[int]bool{}
	for _, host := range i.some() {
		inside[host] = true
	}
	if len(inside) == hosts && i.owner() != nil {
		// All hosts lose the owner.
		delete(inside, i.owner().host)
	}
	ways := i.draw.IntN(3)
	for from := range hosts {
		for to := range hosts {
			if inside[from] != inside[to] && (ways == 0 || (ways == 1) == inside[from]) {
				links = append(links, i.peers[from][to])
			}
		}
	}
	return links
}

func (i *injector) linksToStore() (links []*link) {
	for _, host := range i.some() {
		links = append(links, i.storeLinks[host])
	}
	return links
}

func (i *injector) appLinks() (links []*link) {
	for _, host := range sides(i.some()) {
		links = append(links, i.apps[host])
	}
	return links
}

// hold holds up the bytes on links for a time: both ways, or one drawn way.
func (i *injector) hold(links []*link, bothWays bool) {
	there := bothWays || i.draw.IntN(2) == 0
	for _, l := range links {
		l.set(direction{held: there}, direction{held: bothWays || !there})
	}
	i.wait(300*time.Millisecond, longestCut)
	i.heal(links)
}

func (i *injector) delay(links []*link) {
	for _, l := range links {
		l.set(direction{delay: i.between(0, longestLinkDelay)}, direction{delay: i.between(0, longestLinkDelay)})
	}
	i.wait(time.Second, longestCut)
	i.heal(links)
}

func (i *injector) heal(links []*link) {
	for _, l := range links {
		l.set(direction{}, direction{})
	}
}

func (i *injector) reset(links []*link) {
	for n := 1 + i.draw.IntN(5); n > 0; n-- {
		for _, l := range links {
			l.reset()
		}
		i.wait(0, time.Second)
	}
}

// refuse refuses new connections for a time, and resets the open ones if reset is set.
func (i *injector) refuse(links []*link, longest time.Duration, reset bool) {
	for _, l := range links {
		l.refuse()
		if reset {
			l.reset()
		}
	}
	i.wait(shortestRefusal, longest)
	for _, l := range links {
		if err := l.open(); err != nil {
			i.record.addf("link not opened again: %v", err)
		}
	}
}
