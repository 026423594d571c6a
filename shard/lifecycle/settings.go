package lifecycle

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Settings holds the lease periods and limits of an owner.
type Settings struct {
	// Lease is how long an allocation runs after its agent sent the last heartbeat that was answered.
	Lease time.Duration
	// Margin is added to a lease before its end is relied on. It covers one renewal on the worker that was delayed by a
	// pause of the agent (agents renew for at most 2 s at a time) and 1 s of clock drift.
	Margin time.Duration
	// ServiceMargin is the margin for service replicas. Agents renew their leases on the worker for up to 60 s at a
	// time, so that replicas survive a restart of the agent.
	ServiceMargin time.Duration
	// ServiceLease is how long a service replica keeps running without contact to an owner.
	ServiceLease time.Duration
	// OwnerValidity is how long an owner renews leases after the newest proof of its ownership.
	OwnerValidity time.Duration
	// Retention is how long an ended job is remembered, so that a repeated submission doesn't run it again.
	Retention time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Lease: 4 * time.Second, Margin: 3 * time.Second, ServiceMargin: 61 * time.Second, ServiceLease: 600 * time.Second,
		OwnerValidity: 30 * time.Second, Retention: 24 * time.Hour,
	}
}

// LeasePeriods holds the periods that bound how long attempts of earlier owners can run without being renewed by the
// current one. They are recorded by each owner, since the rules may have changed since that owner began.
type LeasePeriods struct {
	// OwnerValidity is 0 after an owner that has resigned, since it renews no leases from then on.
	OwnerValidity time.Duration `json:"owner_validity"`
	Lease         time.Duration `json:"lease"`
	ServiceLease  time.Duration `json:"service_lease"`
}

// LeasePeriods returns the periods that a later owner has to wait for.
func (s Settings) LeasePeriods() LeasePeriods {
	return LeasePeriods{OwnerValidity: s.OwnerValidity, Lease: s.Lease, ServiceLease: s.ServiceLease}
}

func (s Settings) leaseMargin(kind structs.JobKind) time.Duration {
	if kind == structs.KindService {
		return s.ServiceMargin
	}
	return s.Margin
}
