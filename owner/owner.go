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

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/intake"
	"github.com/quetzalshed/quetzalshed/kv"
	"github.com/quetzalshed/quetzalshed/ownership"
	"github.com/quetzalshed/quetzalshed/rpc"
	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/admission"
)

// Paths of the internal HTTP API between processes.
const (
	// ReportPath receives the reports of nodes at the owner.
	ReportPath = "/v1/owner/report"
	// CreatePath and CancelPath let a gateway that can't reach the store create or cancel a job through the owner.
	CreatePath = "/v1/owner/create/"
	CancelPath = "/v1/owner/cancel/"
	// JobPath and QueuePath return the state of a job or a queue from the owner.
	JobPath   = "/v1/owner/jobs/"
	QueuePath = "/v1/owner/queues/"
	// OrdersPath receives the start and stop orders of the owner at a node.
	OrdersPath = "/v1/node/orders"
	// AnnouncePath receives the announcement of a new owner at any process.
	AnnouncePath = "/v1/owner/announce"
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
	// createTimeout limits storing a job on behalf of a gateway.
	createTimeout = 1500 * time.Millisecond
	// maxReportBytes limits the body of a report, and of a job that a gateway relays. A report holds the lists of runs that an
	// executor has sent, which may take 4 MiB, and what the node adds.
	maxReportBytes = 8 << 20
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
	t := &term{
		lease: lease, clock: boot, store: c.Store, operators: c.Operators, rpc: c.RPC.WithMaxResponse(maxReplyBytes), log: c.Log, metrics: metrics,
		events: make(chan event, eventQueueSize), loaded: make(chan struct{}), commitDone: make(chan error, 1),
		remoteSlowdown: cmp.Or(c.RemoteSlowdown, defaultRemoteSlowdown), retention: cmp.Or(c.Retention, defaultRetention),
		stopMargin:     max(MinStopMargin, c.StopTime),
		maxLease:       cmp.Or(c.MaxLease, defaultMaxLease),
		maxValueBytes:  cmp.Or(c.MaxValueBytes, kv.DefaultMaxValueBytes),
		maxTasks:       admission.MaxTasks(c.MemoryMB),
		commitRevision: lease.CommitRevision, acked: map[string]int64{}, deletedJobs: deletedJobs{},
	}
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

// Register adds the handlers of the owner to the router. It must be called before Run.
func (c *Candidate) Register(router *mux.Router) {
	c.writer = intake.NewWriter(c.Store, c.Log)
	router.HandleFunc(CreatePath+"{id}", c.handleCreate).Methods(http.MethodPost)
	router.HandleFunc(CancelPath+"{id}", c.handleCancel).Methods(http.MethodPost)
	router.HandleFunc(ReportPath, c.handleReport).Methods(http.MethodPost)
	router.HandleFunc(JobPath+"{id}", c.handleJob).Methods(http.MethodGet)
	router.HandleFunc(QueuePath+"{name}", c.handleQueue).Methods(http.MethodGet)
}

func (c *Candidate) handleReport(w http.ResponseWriter, r *http.Request) {
	var report workflow.Report
	if !rpc.ReadJSON(w, r, maxReportBytes, &report) {
		return
	}
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	reply, ok := t.report(r.Context(), &report)
	if !ok {
		rpc.WriteNotOwner(w)
		return
	}
	rpc.WriteJSON(w, http.StatusOK, reply)
}

// handleCreate stores a job on behalf of a gateway.
func (c *Candidate) handleCreate(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	readErr := rpc.TryReadJSON(w, r, maxReportBytes, &value)
	if readErr != nil && !errors.Is(readErr, ingress.ErrRefused) {
		rpc.WriteBodyError(w, readErr)
		return
	}
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), createTimeout)
	defer cancel()
	id := mux.Vars(r)["id"]
	// A client whose answer was lost submits a job again. It must not be told that the job was not accepted, even if the
	// store can't be asked.
	if t.knows(ctx, id) {
		c.Log.Info("relayed job is known", "job", id)
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
		return
	}
	if readErr != nil {
		rpc.WriteBodyError(w, readErr)
		return
	}
	existing, err := c.writer.Create(ctx, JobPrefix+id, value)
	cancelled := existing != nil && workflow.IsTombstone(existing.Value)
	c.Log.Info("job relayed", "job", id, "cancelled", cancelled, "error", err)
	switch {
	case cancelled && existing.MayBeReplaced:
		rpc.WriteJSON(w, http.StatusGatewayTimeout, struct{}{})
	case cancelled:
		rpc.WriteJSON(w, http.StatusGone, struct{}{})
	case err == nil:
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, intake.ErrUnavailable):
		rpc.WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
	default:
		rpc.WriteJSON(w, http.StatusGatewayTimeout, struct{}{})
	}
}

// handleCancel responds once the record of the cancelled job is stored.
func (c *Candidate) handleCancel(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	switch found, stored := t.cancel(r.Context(), mux.Vars(r)["id"]); {
	case !found:
		rpc.WriteJSON(w, http.StatusNotFound, struct{}{})
	case !stored:
		rpc.WriteJSON(w, http.StatusGatewayTimeout, struct{}{})
	default:
		rpc.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (c *Candidate) handleJob(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	t.attachLoad(w, r)
	var phase workflow.Phase
	var found bool
	if !t.query(r.Context(), func() { phase, found = t.engine.Phase(mux.Vars(r)["id"]) }) {
		rpc.WriteNotOwner(w)
		return
	}
	if !found {
		rpc.WriteJSON(w, http.StatusNotFound, workflow.JobStatus{})
		return
	}
	rpc.WriteJSON(w, http.StatusOK, workflow.JobStatus{Phase: phase})
}

func (c *Candidate) handleQueue(w http.ResponseWriter, r *http.Request) {
	t := c.loadedTerm(r.Context())
	if t == nil {
		rpc.WriteNotOwner(w)
		return
	}
	t.attachLoad(w, r)
	status := workflow.QueueStatus{}
	if !t.query(r.Context(), func() { status.Waiting = t.engine.Waiting(mux.Vars(r)["name"]) }) {
		rpc.WriteNotOwner(w)
		return
	}
	rpc.WriteJSON(w, http.StatusOK, status)
}
