package lifecycle

import (
	"time"

	"github.com/quetzalshed/quetzalshed/structs"
)

// Settings holds the periods of leases.
type Settings struct {
	// Lease is how long an allocation runs after the agent sent the heartbeat that was last answered.
	Lease time.Duration
	// Margin is added to a lease before its end is relied on. It covers one renewal on the worker that a pause of the
	// agent delayed (agents renew for at most 2 s at a time), and 1 s of clock drift.
	Margin time.Duration
	// ServiceMargin is the same for replicas of services, whose leases on the worker agents renew for up to 60 s at a time,
	// so that they outlive a restart of the agent.
	ServiceMargin time.Duration
	// ServiceLease is how long a service replica continues without contact to an owner.
	ServiceLease time.Duration
	// OwnerValidity is how long an owner renews leases after the newest proof of its ownership.
	OwnerValidity time.Duration
	// EvacuationBatch bounds the batch tasks that leave failure domains at the same time.
	EvacuationBatch int
	// Retention is how long an ended job stays known, so that a repeated submission doesn't run it again.
	Retention time.Duration
}

// DefaultSettings returns the periods of the design.
func DefaultSettings() Settings {
	return Settings{
		Lease: 4 * time.Second, Margin: 3 * time.Second, ServiceMargin: 61 * time.Second, ServiceLease: 600 * time.Second,
		OwnerValidity: 30 * time.Second, EvacuationBatch: 32, Retention: 24 * time.Hour,
	}
}

// LeasePeriods is how long attempts of earlier owners can run at most without being renewed by the present one. Rules may have
// changed since those owners began, so their own periods count.
type LeasePeriods struct {
	// OwnerValidity is 0 after an owner that has resigned: it renews nothing from then on.
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
