package requests

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/limit"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxUpstreams bounds the upstreams of one host. Further registrations are rejected with 503.
const maxUpstreams = 16

// maxServiceName bounds the name of a service in bytes.
const maxServiceName = 128

// upstream is one registered back end.
type upstream struct {
	service     string
	address     netip.AddrPort
	slots       int
	connections int
	admission   *limit.Admission
	pool        *pool
	latency     latencyWindow

	// renewed, leaving and expired are guarded by the directory.
	renewed time.Time
	leaving bool
	// expired tells that the upstream hasn't renewed in time but still has requests. It's kept so that its slots stay
	// counted if it was only paused and returns.
	expired bool
	// gone is closed when an upstream that leaves has no more requests.
	gone chan struct{}
}

// announced returns what entries are told of the upstream, apart from Leaving.
func (u *upstream) announced() structs.Upstream {
	load := u.admission.Load()
	return structs.Upstream{
		Service: u.service, Slots: u.slots, Connections: u.connections, Running: load.Running, Queued: load.Queued,
	}
}

// registerResult says what a registration came to.
type registerResult int

const (
	registered registerResult = iota
	renewed
	// conflicting: a registration with another address or other slots was renewed in time. Taking the new slots over at
	// once would add them to those that still run under the old registration.
	conflicting
	// stillLeaving: the registration is being removed.
	stillLeaving
	// tooMany: the host has maxUpstreams upstreams.
	tooMany
)

// directory holds the upstreams of the host by service.
type directory struct {
	clock clock.Clock
	// queue is the number of waiting requests per upstream, lease how long a registration lasts without renewal.
	queue int
	lease time.Duration

	mu        sync.Mutex
	byService map[string]*upstream
	closed    bool
}

func newDirectory(queue int, lease time.Duration, clock clock.Clock) *directory {
	return &directory{clock: clock, queue: queue, lease: lease, byService: map[string]*upstream{}}
}

// register adds or renews an upstream.
func (d *directory) register(r structs.UpstreamRegistration, address netip.AddrPort) registerResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	old, exists := d.byService[r.Service]
	switch {
	case exists && old.leaving:
		return stillLeaving
	case exists && old.address == address && old.slots == r.Slots && old.connections == r.Connections:
		return d.renewLocked(old, now)
	case d.closed:
		return stillLeaving
	case exists && now.Sub(old.renewed) < d.lease:
		return conflicting
	case exists:
		d.removeLocked(old)
	case len(d.byService) >= maxUpstreams:
		return tooMany
	}
	d.byService[r.Service] = &upstream{
		service: r.Service, address: address, slots: r.Slots, connections: r.Connections, renewed: now,
		admission: limit.NewAdmission(limit.QueueLimits{Slots: r.Slots, MaxWaiting: d.queue}, d.clock),
		pool:      &pool{address: address, limit: r.Connections, maxIdle: r.Slots}, gone: make(chan struct{}),
	}
	return registered
}

func (d *directory) renewLocked(u *upstream, now time.Time) registerResult {
	u.renewed = now
	if !u.expired {
		return renewed
	}
	u.expired = false
	u.pool.suspend(false)
	return registered
}

// find returns the upstream that takes new requests of a service, or a reason why there is none. An upstream that leaves
// takes requests until its admission is closed, since entries need a moment to learn of it.
func (d *directory) find(service string) (u *upstream, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return d.byService[service], reasonDraining
	}
	if u = d.byService[service]; u == nil || u.expired {
		return nil, reasonNoUpstream
	}
	return u, ""
}

// leave marks an upstream as leaving. first is false when it already was; allowed is false when the remote address or the
// stated address (if not empty) isn't that of the upstream.
func (d *directory) leave(service, stated, remote string) (u *upstream, first, allowed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u = d.byService[service]
	if u == nil {
		return nil, false, true
	}
	if !sameHost(remote, u.address) || (stated != "" && stated != u.address.String()) {
		return u, false, false
	}
	first = !u.leaving
	u.leaving = true
	return u, first, true
}

// sameHost tells whether the remote address of a connection has the IP address of an upstream.
func sameHost(remote string, address netip.AddrPort) bool {
	from, err := netip.ParseAddrPort(remote)
	return err == nil && from.Addr().Unmap() == address.Addr().Unmap()
}

// remove forgets an upstream.
func (d *directory) remove(u *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(u)
}

func (d *directory) removeLocked(u *upstream) {
	if d.byService[u.service] == u {
		delete(d.byService, u.service)
	}
	u.admission.Close()
	u.pool.close()
}

// expire takes out upstreams that haven't renewed in time, and closes connections that are idle for too long. Upstreams
// that leave or have requests are kept until these have ended; waiting requests of an expired upstream are refused when
// they would start.
func (d *directory) expire() (expired []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, u := range d.byService {
		u.pool.closeIdle()
		if u.leaving || now.Sub(u.renewed) < d.lease {
			continue
		}
		if !u.expired {
			u.expired = true
			u.pool.suspend(true)
			expired = append(expired, u.service)
		}
		if load := u.admission.Load(); load.Running+load.Queued == 0 {
			d.removeLocked(u)
		}
	}
	return expired
}

// close refuses all later requests.
func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, u := range d.byService {
		u.admission.Close()
	}
}

// closePools closes the connections to all upstreams.
func (d *directory) closePools() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.byService {
		u.pool.close()
	}
}

// list returns the upstreams in the order of their services.
func (d *directory) list() []structs.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]structs.Upstream, 0, len(d.byService))
	for _, u := range d.byService {
		if u.expired {
			continue
		}
		entry := u.announced()
		entry.Leaving = u.leaving
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b structs.Upstream) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return list
}

// checkRegistration returns the address of a registration, or findings. An upstream may only name an address on its own
// host, so that nobody can point the agent at another one.
func checkRegistration(r structs.UpstreamRegistration, remote string, s *Settings) (netip.AddrPort, error) {
	var found findings.List
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		found.Addf(findings.Place{Key: "address"}, "%q is not an IP address with a port", r.Address)
	} else if !sameHost(remote, address) {
		found.Addf(findings.Place{Key: "address"}, "%s is not the address of the sender", r.Address)
	}
	if r.Service == "" || len(r.Service) > maxServiceName {
		found.Addf(findings.Place{Key: "service"}, "a name of 1 to %d bytes is required", maxServiceName)
	}
	if r.Slots < 1 || r.Slots > s.MaxSlots {
		found.Addf(findings.Place{Key: "slots"}, "%d is not from 1 to %d", r.Slots, s.MaxSlots)
	}
	if r.Connections < r.Slots || r.Connections > s.MaxConnections {
		found.Addf(findings.Place{Key: "connections"}, "%d is not from the number of slots to %d", r.Connections, s.MaxConnections)
	}
	return address, found.Err()
}
