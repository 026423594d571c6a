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

// maxUpstreams is the maximum number of upstreams on one host. Further registrations are rejected with status 503.
const maxUpstreams = 16

// maxServiceNameBytes is the maximum length of a service name in bytes.
const maxServiceNameBytes = 128

// upstream is one registered back end.
type upstream struct {
	service     string
	address     netip.AddrPort
	slots       int
	connections int
	admission   *limit.Admission
	pool        *pool
	latency     latencyWindow

	// renewed, leaving and expired are guarded by upstreamRegistry.mu.
	renewed time.Time
	leaving bool
	// expired is true if the upstream hasn't renewed in time but still has requests. It's kept so that the slots of these
	// requests stay counted if the upstream was only paused and renews later.
	expired bool
	// removed is closed when a leaving upstream has no more requests and was removed.
	removed chan struct{}
}

// announced returns the upstream as it is announced to entries, without the field Leaving.
func (u *upstream) announced() structs.Upstream {
	load := u.admission.Load()
	return structs.Upstream{
		Service: u.service, Slots: u.slots, Connections: u.connections, Running: load.Running, Queued: load.Queued,
	}
}

// registerResult is the result of a registration.
type registerResult int

const (
	registered registerResult = iota
	renewed
	// conflicting: the service has a valid registration with another address, other slots or other connections. Replacing
	// it immediately would add the new slots to those that are still in use under the old registration.
	conflicting
	// stillLeaving: the registration is being removed.
	stillLeaving
	// tooMany: the host already has maxUpstreams upstreams.
	tooMany
)

// upstreamRegistry holds the upstreams of the host by service. It is safe for concurrent use.
type upstreamRegistry struct {
	clock clock.Clock
	// queue is the maximum number of waiting requests per upstream. lease is how long a registration stays valid without
	// renewal.
	queue int
	lease time.Duration

	mu        sync.Mutex
	byService map[string]*upstream
	closed    bool
}

func newUpstreamRegistry(queue int, lease time.Duration, clock clock.Clock) *upstreamRegistry {
	return &upstreamRegistry{clock: clock, queue: queue, lease: lease, byService: map[string]*upstream{}}
}

// register adds or renews an upstream.
func (reg *upstreamRegistry) register(r structs.UpstreamRegistration, address netip.AddrPort) registerResult {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	now := reg.clock.Now()
	old, exists := reg.byService[r.Service]
	switch {
	case exists && old.leaving:
		return stillLeaving
	case exists && old.address == address && old.slots == r.Slots && old.connections == r.Connections:
		return reg.renewLocked(old, now)
	case reg.closed:
		return stillLeaving
	case exists && now.Sub(old.renewed) < reg.lease:
		return conflicting
	case exists:
		reg.removeLocked(old)
	case len(reg.byService) >= maxUpstreams:
		return tooMany
	}
	reg.byService[r.Service] = &upstream{
		service: r.Service, address: address, slots: r.Slots, connections: r.Connections, renewed: now,
		admission: limit.NewAdmission(limit.QueueLimits{Slots: r.Slots, MaxWaiting: reg.queue}, reg.clock),
		pool:      &pool{address: address, limit: r.Connections, maxIdle: r.Slots}, removed: make(chan struct{}),
	}
	return registered
}

func (reg *upstreamRegistry) renewLocked(u *upstream, now time.Time) registerResult {
	u.renewed = now
	if !u.expired {
		return renewed
	}
	u.expired = false
	u.pool.setSuspended(false)
	return registered
}

// find returns the upstream that accepts new requests for a service, or the reason why there is none. A leaving upstream
// accepts requests until its admission is closed, since entries learn of the change with a delay.
func (reg *upstreamRegistry) find(service string) (u *upstream, reason string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.closed {
		return reg.byService[service], reasonDraining
	}
	if u = reg.byService[service]; u == nil || u.expired {
		return nil, reasonNoUpstream
	}
	return u, ""
}

// markLeaving marks an upstream as leaving. first is false if it already was. allowed is false if the remote IP address
// or the stated address, unless empty, doesn't match the upstream's.
func (reg *upstreamRegistry) markLeaving(service, stated, remote string) (u *upstream, first, allowed bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	u = reg.byService[service]
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

// sameHost reports whether the remote address of a connection has the same IP address as an upstream.
func sameHost(remote string, address netip.AddrPort) bool {
	from, err := netip.ParseAddrPort(remote)
	return err == nil && from.Addr().Unmap() == address.Addr().Unmap()
}

// remove removes an upstream, closes its admission and its connections.
func (reg *upstreamRegistry) remove(u *upstream) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.removeLocked(u)
}

func (reg *upstreamRegistry) removeLocked(u *upstream) {
	if reg.byService[u.service] == u {
		delete(reg.byService, u.service)
	}
	u.admission.Close()
	u.pool.close()
}

// expire marks the upstreams that haven't renewed in time as expired and returns the services of those that are newly
// expired. An expired upstream is removed once it has no requests; a leaving one is skipped. Waiting requests of an
// expired upstream are refused when they get a slot. It also closes connections that have been idle for too long.
func (reg *upstreamRegistry) expire() (expired []string) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	now := reg.clock.Now()
	for _, u := range reg.byService {
		u.pool.closeExpiredIdle()
		if u.leaving || now.Sub(u.renewed) < reg.lease {
			continue
		}
		if !u.expired {
			u.expired = true
			u.pool.setSuspended(true)
			expired = append(expired, u.service)
		}
		if load := u.admission.Load(); load.Running+load.Queued == 0 {
			reg.removeLocked(u)
		}
	}
	return expired
}

// close makes the registry refuse all further requests.
func (reg *upstreamRegistry) close() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.closed = true
	for _, u := range reg.byService {
		u.admission.Close()
	}
}

// closePools closes the connections to all upstreams.
func (reg *upstreamRegistry) closePools() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, u := range reg.byService {
		u.pool.close()
	}
}

// list returns the upstreams that haven't expired as they are announced, sorted by service.
func (reg *upstreamRegistry) list() []structs.Upstream {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	list := make([]structs.Upstream, 0, len(reg.byService))
	for _, u := range reg.byService {
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

// validateRegistration returns the address of a registration, or its findings as an error. The address must have the IP
// address of the sender, so that a registration can't direct the agent's requests to another host.
func validateRegistration(r structs.UpstreamRegistration, remote string, s *Settings) (netip.AddrPort, error) {
	var found findings.List
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		found.Addf(findings.Location{Key: "address"}, "%q is not an IP address with a port", r.Address)
	} else if !sameHost(remote, address) {
		found.Addf(findings.Location{Key: "address"}, "%s is not the address of the sender", r.Address)
	}
	if r.Service == "" || len(r.Service) > maxServiceNameBytes {
		found.Addf(findings.Location{Key: "service"}, "a name of 1 to %d bytes is required", maxServiceNameBytes)
	}
	if r.Slots < 1 || r.Slots > s.MaxSlots {
		found.Addf(findings.Location{Key: "slots"}, "%d is not from 1 to %d", r.Slots, s.MaxSlots)
	}
	if r.Connections < r.Slots || r.Connections > s.MaxConnections {
		found.Addf(findings.Location{Key: "connections"}, "%d is not from the number of slots to %d", r.Connections, s.MaxConnections)
	}
	return address, found.Err()
}
