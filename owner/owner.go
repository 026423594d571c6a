package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

const (
	// electionJitter spreads the attempts of candidates over time, so that most see the new owner before they try.
	electionJitter = 120 * time.Millisecond
	// defaultRemoteSlowdown is used when the platform doesn't configure RemoteSlowdown.
	defaultRemoteSlowdown = 1.5
	// defaultMaxLease is used when the platform doesn't configure MaxLease.
	defaultMaxLease = 10 * time.Second
	// loadTimeout is how long a request waits while a new owner loads the jobs.
	loadTimeout = 500 * time.Millisecond
	// reclaimTimeout limits the attempt to revoke the ownership of a former process of this host.
	reclaimTimeout = 500 * time.Millisecond
	// maxReplyBytes limits the responses of nodes, which hold a result for each of at most maxOrdersPerRequest orders.
	maxReplyBytes = 4 << 20
	// announceTimeout limits one call that announces a new owner.
	announceTimeout = time.Second
)

// Candidate campaigns for the ownership whenever there is no owner, and runs a term while it holds it.
type Candidate struct {
	Node, Address string
	Store         *kv.Monitor
	Locator       *ownership.Locator
	Operators     OperatorSource
	RPC           *rpc.Client
	// Host gives the clocks of this host.
	Host  clock.Host
	Log   hclog.Logger
	Scope tally.Scope
	// RemoteSlowdown is how many times longer a task runs if its data is not local; 0 means defaultRemoteSlowdown.
	RemoteSlowdown float64
	// MaxLease is the longest lease that executors take, by their own clocks; 0 means defaultMaxLease. StopTime is the time that an
	// executor may take to stop a task.
	MaxLease, StopTime time.Duration
	// Retention is how long the state of a finished job is kept; 0 means defaultRetention.
	Retention time.Duration
	// MaxValueBytes is the maximum length of a value of the store; 0 means kv.DefaultMaxValueBytes.
	MaxValueBytes int
	// MemoryMB is the memory of the host in MB, which limits the tasks that an owner may hold; 0 for no limit.
	MemoryMB int64

	writer *intake.Writer

	mu   sync.Mutex
	term *term
}

// Run takes part in elections until ctx ends. If it holds the ownership then, it releases it.
func (c *Candidate) Run(ctx context.Context) {
	metrics := newMetrics(c.Scope)
	go c.writer.Run(ctx)
	c.revokeFormerOwnership(ctx)
	for ctx.Err() == nil {
		changed := c.Locator.Changed()
		if _, present := c.Locator.Current(); present {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		c.waitJitter(ctx)
		if _, present := c.Locator.Current(); present || ctx.Err() != nil {
			continue
		}
		c.campaign(ctx, metrics)
	}
}

// revokeFormerOwnership revokes the ownership that a former process of this host still holds because it ended without
// releasing it. Otherwise no process could take the ownership until the lease expires.
func (c *Candidate) revokeFormerOwnership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	if err := ownership.RevokeFormer(ctx, c.Store, c.Node, c.Address, c.Log); err != nil {
		c.Log.Debug("ownership of a former process not checked", "error", err)
	}
}

func (c *Candidate) waitJitter(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(electionJitter)):
	}
}

// campaign tries to acquire the ownership, and runs one term if it succeeds.
func (c *Candidate) campaign(ctx context.Context, metrics metrics) {
	self := workflow.OwnerRecord{Node: c.Node, Address: c.Address}
	boot := clock.NewBoot(c.Host)
	lease, err := ownership.Acquire(ctx, c.Store, self, boot, c.Log)
	if err != nil {
		c.Log.Debug("ownership not taken", "error", err)
		c.Locator.Refresh(ctx)
		return
	}
	if lease == nil {
		c.Locator.Refresh(ctx)
		return
	}
	t := c.newTerm(lease, boot, metrics)
	c.Log.Info("ownership taken", "epoch", lease.Record.Epoch)
	c.setTerm(t)
	c.Locator.Update(lease.Record)
	termContext, cancel := context.WithCancelCause(ctx)
	go c.watchEpoch(termContext, lease.Record.Epoch, func() { cancel(errOwnershipLost) })
	go c.announce(termContext, lease.Record)
	err = t.run(termContext)
	cancel(nil)
	c.setTerm(nil)
	c.Log.Info("ownership ended", "epoch", lease.Record.Epoch, "error", err)
	if errors.Is(err, errTermEnded) {
		t.handOver()
	}
	if !errors.Is(err, errOwnershipLost) {
		lease.Release()
	}
	c.Locator.Refresh(context.WithoutCancel(ctx))
}

// newTerm returns a term that holds a lease, measured by the given clock.
func (c *Candidate) newTerm(lease *ownership.Lease, boot *clock.Boot, metrics metrics) *term {
	return &term{
		lease: lease, clock: boot, store: c.Store, operators: c.Operators, rpc: c.RPC.WithMaxResponse(maxReplyBytes), log: c.Log, metrics: metrics,
		events: make(chan event, eventQueueSize), loaded: make(chan struct{}), commitDone: make(chan error, 1),
		remoteSlowdown: cmp.Or(c.RemoteSlowdown, defaultRemoteSlowdown), retention: cmp.Or(c.Retention, defaultRetention),
		stopMargin:     max(MinStopMargin, c.StopTime),
		maxLease:       cmp.Or(c.MaxLease, defaultMaxLease),
		maxValueBytes:  cmp.Or(c.MaxValueBytes, kv.DefaultMaxValueBytes),
		maxTasks:       admission.MaxTasks(c.MemoryMB),
		commitRevision: lease.CommitRevision, acked: map[string]int64{}, deletedJobs: deletedJobs{},
	}
}

// watchEpoch calls lost once the locator reports another owner, or none.
func (c *Candidate) watchEpoch(ctx context.Context, epoch int64, lost func()) {
	for ctx.Err() == nil {
		changed := c.Locator.Changed()
		owner, present := c.Locator.Current()
		if owner.Epoch > epoch || owner.Epoch == epoch && !present {
			lost()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// announce sends the new owner to all known processes, since some of them may be unable to reach the store.
func (c *Candidate) announce(ctx context.Context, record workflow.OwnerRecord) {
	items, _, err := c.Store.List(ctx, ownership.NodePrefix)
	if err != nil {
		c.Log.Warn("process addresses not read, owner not announced", "error", err)
		return
	}
	for _, item := range items {
		var node workflow.OwnerRecord
		if err := json.Unmarshal(item.Value, &node); err != nil || node.Address == c.Address {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			if _, err := c.RPC.WithMaxResponse(maxAnnounceBytes).Call(ctx, http.MethodPost, "http://"+node.Address+AnnouncePath, nil, &record); err != nil {
				c.Log.Debug("owner not announced", "node", node.Node, "error", err)
			}
		}()
	}
}

func (c *Candidate) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// loadedTerm waits up to loadTimeout until the jobs of the running term are loaded, and returns the term. It returns nil if
// there is no term or it is still loading.
func (c *Candidate) loadedTerm(ctx context.Context) *term {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return nil
	}
	select {
	case <-t.loaded:
		return t
	case <-time.After(loadTimeout):
	case <-ctx.Done():
	}
	return nil
}
