package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/config/configmodule"
	"github.com/quetzalshed/quetzalshed/gossip"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/platform/store"
	"github.com/quetzalshed/quetzalshed/platform/store/storemodule"
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
		After: []string{storemodule.Name, configmodule.Name, gossip.Name},
		New:   func() kernel.Module { return &Module{} },
	})
}

// ModuleSettings is the section [shard.owner].
type ModuleSettings struct {
	// Candidate lets this process own a shard.
	Candidate bool `ini:"candidate" default:"true"`
	// Worker is the name of the worker beside this process, which decides the shard; by default the process's name.
	Worker string `ini:"worker" default:""`
	// LeaseTTL is that of the owner key in the store.
	LeaseTTL      time.Duration `ini:"lease_ttl" default:"3s" min:"500ms" max:"1m"`
	CommitEvery   time.Duration `ini:"commit_interval" default:"200ms" min:"5ms" max:"5s"`
	ListEvery     time.Duration `ini:"list_interval" default:"2s" min:"50ms" max:"1m"`
	SnapshotEvery int           `ini:"snapshot_records" default:"64" min:"4" max:"1024"`
	// AcquireEvery is how often a candidate tries to become the owner while the present one is suspected.
	AcquireEvery time.Duration `ini:"acquire_interval" default:"500ms" min:"20ms" max:"10s"`
	// SuspectAfter is how long the local worker must be without a reply before its agent asks the store for the owner,
	// so that the store isn't read by every agent all the time.
	SuspectAfter time.Duration `ini:"suspect_after" default:"1500ms" min:"50ms" max:"1m"`
}

type storeHolder interface{ Store() store.Store }

type configHolder interface {
	Follower() *config.Follower
	SetPolling(on bool)
}

type ownersHolder interface{ Owners() *gossip.OwnerTable }

// replyWatcher is implemented by the runner: it knows when the owner last answered.
type replyWatcher interface{ LastReply() time.Time }

// Module competes for the ownership of the shard of the local worker, and owns it.
type Module struct {
	settings ModuleSettings
	context  *kernel.Context
	clock    clock.Clock
	log      hclog.Logger
	scope    tally.Scope
	store    store.Store
	config   configHolder
	owners   *gossip.OwnerTable
	owner    atomic.Pointer[Owner]
	began    time.Time
	draining atomic.Bool
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	m.context, m.clock, m.log = c, c.Clock, c.Log.Named("shard")
	m.scope = c.Metrics.SubScope("shard")
	stores, err := kernel.Require[storeHolder](c, storemodule.Name)
	if err != nil {
		return err
	}
	if m.config, err = kernel.Require[configHolder](c, configmodule.Name); err != nil {
		return err
	}
	owners, err := kernel.Require[ownersHolder](c, gossip.Name)
	if err != nil {
		return err
	}
	m.store, m.owners = stores.Store(), owners.Owners()
	if m.settings.Worker == "" {
		m.settings.Worker = c.Process.Name
	}
	Routes(c.Router, func(shard int) *Owner {
		if o := m.owner.Load(); o != nil && o.config.Shard == shard {
			return o
		}
		return nil
	})
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.began = m.clock.Now()
	if m.settings.Candidate {
		m.done.Go(func() { m.run(ctx) })
	}
	return nil
}

// Drain gives the ownership up, so that another candidate takes over at once.
func (m *Module) Drain(ctx context.Context) error {
	m.draining.Store(true)
	if o := m.owner.Load(); o != nil {
		return o.Resign(ctx)
	}
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	if m.stop != nil {
		m.stop()
	}
	m.done.Wait()
	return nil
}

// Owner returns the candidate of this process, nil before the configuration is known.
func (m *Module) Owner() *Owner { return m.owner.Load() }

// run waits for the configuration, which holds the number of shards, and then competes and works.
func (m *Module) run(ctx context.Context) {
	follower := m.config.Follower()
	for follower.Loaded().Head.Revision == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.AcquireEvery):
		}
	}
	rules := follower.Rules()
	number := partition.Worker(m.settings.Worker, rules.Shards)
	cfg := DefaultConfig(number, m.context.Process.Name, m.context.Process.Address().String())
	cfg.LeaseTTL, cfg.KeepAliveEvery = m.settings.LeaseTTL, m.settings.LeaseTTL/3
	cfg.CommitEvery, cfg.ListEvery = m.settings.CommitEvery, m.settings.ListEvery
	cfg.SnapshotEvery = int64(m.settings.SnapshotEvery)
	cfg.Lifecycle = lifecycleSettings(rules)
	client := NewClient(m.owners, m.store, m.clock)
	o := NewOwner(cfg, m.store, m.clock, NewFollowed(follower, m.clock), scheduler.Plan, m.owners,
		NewAsyncPusher(client), m.log)
	m.owner.Store(o)
	m.done.Go(func() { m.keepAlive(ctx, o) })
	m.work(ctx, o)
}

func lifecycleSettings(rules *config.Rules) lifecycle.Settings {
	s := lifecycle.DefaultSettings()
	s.Lease, s.ServiceLease, s.OwnerValidity = rules.TaskLease, rules.ServiceLease, rules.OwnerValidity
	return s
}

func (m *Module) work(ctx context.Context, o *Owner) {
	step := time.NewTicker(m.settings.CommitEvery)
	defer step.Stop()
	var next time.Time
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		case <-o.Kicked():
		}
		_, owns := o.Owns()
		m.config.SetPolling(owns)
		if owns {
			m.report(o)
			m.logged("step", o.Step(ctx))
			continue
		}
		now := m.clock.Now()
		if now.Before(next) || m.draining.Load() || !m.suspects(now) {
			continue
		}
		err := o.Acquire(ctx)
		m.logged("acquire", err)
		failures++
		if err == nil {
			failures = 0
		}
		next = now.Add(acquireDelay(m.settings.AcquireEvery, failures))
	}
}

// maxAcquireShift bounds the delay of candidates at 16 times the interval.
const maxAcquireShift = 4

// acquireDelay is the time to the next try of a candidate. It is spread, so that the candidates of a shard don't all ask
// the store at the same moment, and grows while the store doesn't respond.
func acquireDelay(interval time.Duration, failures int) time.Duration {
	delay := interval << min(failures, maxAcquireShift)
	return delay + rand.N(delay/2+1)
}

// suspects tells whether the owner may be gone: the local worker has had no reply for a while.
func (m *Module) suspects(now time.Time) bool {
	watcher, ok := kernel.Lookup[replyWatcher](m.context, "agent.runner")
	if !ok {
		return true
	}
	last := watcher.LastReply()
	return last.IsZero() || now.Sub(last) >= m.settings.SuspectAfter
}

func (m *Module) keepAlive(ctx context.Context, o *Owner) {
	ticker := time.NewTicker(m.settings.LeaseTTL / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.logged("keep alive", o.KeepAlive(ctx))
		}
	}
}

// logged counts a failure; the next round repeats the work.
func (m *Module) logged(what string, err error) {
	if err == nil {
		return
	}
	m.scope.Tagged(map[string]string{"step": what}).Counter("failures").Inc(1)
	m.log.Debug("shard owner's step failed", "step", what, "error", err)
}

func (m *Module) report(o *Owner) {
	c, ok := o.Counters()
	if !ok {
		return
	}
	for name, value := range map[string]int64{
		"starts": c.Starts, "finishes": c.Finishes, "failures": c.Failures, "requeues": c.Requeues, "lost": c.Lost,
		"refused": c.Refused, "stale_heartbeats": c.StaleHeartbeats, "stale_results": c.StaleResults,
		"rule_errors": c.RuleErrors,
	} {
		m.scope.Gauge("term_" + name).Update(float64(value))
	}
}
