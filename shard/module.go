package shard

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/config/configmodule"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/scheduler"
	_ "github.com/quetzalshed/quetzalshed/scheduler/plugins" // registers the filters and scores
	"github.com/quetzalshed/quetzalshed/shard/lifecycle"
	"github.com/quetzalshed/quetzalshed/shard/partition"
)

// Name is the name of the module and of its settings section.
const Name = "shard.owner"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleAgent},
		After: DependencyModules,
		New:   func() kernel.Module { return &Module{} },
	})
}

// ModuleSettings is the section [shard.owner].
type ModuleSettings struct {
	// Candidate allows this process to become the owner of a shard.
	Candidate bool `ini:"candidate" default:"true"`
	// Worker is the name of the worker on the same host, which determines the shard. It defaults to the name of the
	// process.
	Worker string `ini:"worker" default:""`
	// LeaseTTL is the lease period of the owner key in the store.
	LeaseTTL      time.Duration `ini:"lease_ttl" default:"3s" min:"500ms" max:"1m"`
	CommitEvery   time.Duration `ini:"commit_interval" default:"200ms" min:"5ms" max:"5s"`
	ListEvery     time.Duration `ini:"list_interval" default:"2s" min:"50ms" max:"1m"`
	SnapshotEvery int           `ini:"snapshot_records" default:"64" min:"4" max:"1024"`
	// AcquireEvery is how often a candidate tries to become the owner while the current one is suspected to have
	// failed.
	AcquireEvery time.Duration `ini:"acquire_interval" default:"500ms" min:"20ms" max:"10s"`
	// SuspectAfter is how long the local worker must be without a reply before its agent reads the owner key. It keeps
	// all agents from polling the store continuously.
	SuspectAfter time.Duration `ini:"suspect_after" default:"1500ms" min:"50ms" max:"1m"`
}

// poller enables and disables the polling of the configuration head.
type poller interface{ SetPolling(on bool) }

// replyTracker is implemented by the agent's runner and returns the time of the owner's last reply.
type replyTracker interface{ LastReply() time.Time }

// Module competes for the ownership of the local worker's shard and runs the owner while it holds it.
type Module struct {
	settings     ModuleSettings
	context      *kernel.Context
	clock        clock.Clock
	log          hclog.Logger
	scope        tally.Scope
	dependencies Dependencies
	poller       poller
	owner        atomic.Pointer[Owner]
	draining     atomic.Bool
	background   kernel.Background
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	m.context, m.clock, m.log = c, c.Clock, c.Log.Named("shard")
	m.scope = c.Metrics.SubScope("shard")
	dependencies, err := ResolveDependencies(c)
	if err != nil {
		return err
	}
	polling, err := kernel.Require[poller](c, configmodule.Name)
	if err != nil {
		return err
	}
	m.dependencies, m.poller = dependencies, polling
	if m.settings.Worker == "" {
		m.settings.Worker = c.Process.Name
	}
	RegisterRoutes(c.Router, func(shard int) *Owner {
		if o := m.owner.Load(); o != nil && o.config.Shard == shard {
			return o
		}
		return nil
	})
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx = m.background.Start(ctx)
	if m.settings.Candidate {
		m.background.Go(func() { m.run(ctx) })
	}
	return nil
}

// Drain resigns the ownership, so that another candidate takes over immediately.
func (m *Module) Drain(ctx context.Context) error {
	m.draining.Store(true)
	if o := m.owner.Load(); o != nil {
		return o.Resign(ctx)
	}
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	m.background.Stop()
	return nil
}

// Owner returns the candidate of this process, or nil until the configuration is loaded.
func (m *Module) Owner() *Owner { return m.owner.Load() }

// run waits for the configuration, which contains the number of shards, and then runs the candidate.
func (m *Module) run(ctx context.Context) {
	follower := m.dependencies.Follower
	for follower.Loaded().Head.Revision == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.AcquireEvery):
		}
	}
	rules := follower.Rules()
	number := partition.WorkerShard(m.settings.Worker, rules.Shards)
	cfg := DefaultConfig(number, m.context.Process.PeerAddress().String())
	cfg.LeaseTTL, cfg.KeepAliveEvery = m.settings.LeaseTTL, m.settings.LeaseTTL/3
	cfg.CommitEvery, cfg.ListEvery = m.settings.CommitEvery, m.settings.ListEvery
	cfg.SnapshotEvery = int64(m.settings.SnapshotEvery)
	cfg.Lifecycle = lifecycleSettings(rules)
	client := NewClient(m.dependencies.Owners, m.dependencies.Store, m.clock)
	o := NewOwner(cfg, m.dependencies.Store, m.clock, NewFollowerConfig(follower, m.clock), scheduler.Plan, m.dependencies.Owners,
		NewAsyncPusher(client), m.log)
	m.owner.Store(o)
	m.background.Go(func() { m.keepAliveLoop(ctx, o) })
	m.stepLoop(ctx, o)
}

func lifecycleSettings(rules *config.Rules) lifecycle.Settings {
	s := lifecycle.DefaultSettings()
	s.Lease, s.ServiceLease, s.OwnerValidity = rules.TaskLease, rules.ServiceLease, rules.OwnerValidity
	return s
}

func (m *Module) stepLoop(ctx context.Context, o *Owner) {
	step := time.NewTicker(m.settings.CommitEvery)
	defer step.Stop()
	var next time.Time
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		case <-o.StepDue():
		}
		_, owns := o.Owns()
		m.poller.SetPolling(owns)
		if owns {
			m.updateGauges(o)
			m.recordFailure("step", o.Step(ctx))
			continue
		}
		now := m.clock.Now()
		if now.Before(next) || m.draining.Load() || !m.suspectsOwner(now) {
			continue
		}
		err := o.Acquire(ctx)
		m.recordFailure("acquire", err)
		failures++
		if err == nil {
			failures = 0
		}
		next = now.Add(acquireDelay(m.settings.AcquireEvery, failures))
	}
}

// maxAcquireShift bounds the retry delay of candidates at 16 times the interval.
const maxAcquireShift = 4

// acquireDelay returns the time until a candidate's next attempt to acquire the shard. It has jitter, so that the
// candidates of a shard don't all access the store at the same moment, and it backs off exponentially while acquiring
// fails.
func acquireDelay(interval time.Duration, failures int) time.Duration {
	delay := interval << min(failures, maxAcquireShift)
	return delay + rand.N(delay/2+1)
}

// suspectsOwner reports whether the owner may have failed: the local worker has received no reply for SuspectAfter.
func (m *Module) suspectsOwner(now time.Time) bool {
	watcher, ok := kernel.Lookup[replyTracker](m.context, "agent.runner")
	if !ok {
		return true
	}
	last := watcher.LastReply()
	return last.IsZero() || now.Sub(last) >= m.settings.SuspectAfter
}

// maxKeepAlives bounds the concurrent renewals of the store lease. Renewals may overlap, so that a slow store renews
// the lease as often as a fast one.
const maxKeepAlives = 4

func (m *Module) keepAliveLoop(ctx context.Context, o *Owner) {
	ticker := time.NewTicker(m.settings.LeaseTTL / 3)
	defer ticker.Stop()
	slots := make(chan struct{}, maxKeepAlives)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
			m.background.Go(func() {
				defer func() { <-slots }()
				m.recordFailure("keep alive", o.KeepAlive(ctx))
			})
		default:
		}
	}
}

// recordFailure counts and logs the failure of a step; the next round retries it.
func (m *Module) recordFailure(step string, err error) {
	if err == nil {
		return
	}
	m.scope.Tagged(map[string]string{"step": step}).Counter("failures").Inc(1)
	m.log.Debug("shard owner's step failed", "step", step, "error", err)
}

func (m *Module) updateGauges(o *Owner) {
	c, ok := o.Counters()
	if !ok {
		return
	}
	for name, value := range map[string]int64{
		"starts": c.Starts, "finishes": c.Finishes, "failures": c.Failures, "requeues": c.Requeues, "lost": c.Lost,
		"refused": c.Refused, "stale_heartbeats": c.StaleHeartbeats, "stale_results": c.StaleResults,
		"rule_errors": c.RuleErrors, "answers": c.WorkerResults,
	} {
		m.scope.Gauge("term_" + name).Update(float64(value))
	}
}
