package engine_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/quetzalshed/quetzalshed/workflow"
	"github.com/quetzalshed/quetzalshed/workflow/engine"
)

// pendingOrders are orders that have left the engine. They may reach their node until the former owner has certainly ended.
type pendingOrders struct {
	engine.NodeOrders
	until time.Time
	// givenUp is set once the owner counts them as unanswered.
	givenUp bool
}

// pendingResults are results of orders that have not reached the owner.
type pendingResults struct {
	node, executor string
	process        int64
	results        []workflow.OrderResult
}

// placementWorld runs an engine against hosts with faults, and checks the starts that it orders against all runs that may exist.
type placementWorld struct {
	engine *engine.Engine
	now    time.Time
	epoch  int64
	hosts  []*faultyHost
	// executors holds all incarnations, pools those to which any configuration sends the queue.
	executors map[string]workflow.Executor
	config    workflow.Config
	pools     map[string]bool
	jobs      []workflow.Job
	records   map[string]workflow.JobRecord
	cancelled map[string]bool
	// changes holds the records that the current batch stores, uncommitted its orders, and storedAcks its acknowledgements. acks holds
	// the acknowledgements of the next batch.
	changes          []engine.Change
	uncommitted      []engine.NodeOrders
	acks, storedAcks map[string]int64
	orders           []*pendingOrders
	results          []pendingResults
	reports          []*workflow.Report
	started          int64
	// starts is the number of starts that were checked.
	starts    int
	violation string
}

// takeoverSlack is how long a former owner may still act after the next one has taken over.
const takeoverSlack = 1600 * time.Millisecond

func newPlacementWorld(first []workflow.Executor) *placementWorld {
	w := &placementWorld{
		now: time.Unix(1000, 0), epoch: 1, executors: map[string]workflow.Executor{}, pools: map[string]bool{},
		records: map[string]workflow.JobRecord{}, cancelled: map[string]bool{}, acks: map[string]int64{},
	}
	for i, x := range first {
		h := &faultyHost{name: string(rune('a' + i)), process: 1, sentAt: map[int64]time.Time{}}
		w.hosts = append(w.hosts, h)
		w.restart(h, x, false)
	}
	w.configure(0)
	w.engine = w.newEngine()
	return w
}

func (w *placementWorld) newEngine() *engine.Engine {
	e := engine.New(engine.Settings{
		LeaseDuration: leaseDuration, LeaseExpiry: leaseExpiry, TakeoverSlack: takeoverSlack, RemoteSlowdown: 1.5, Retention: time.Hour,
		Epoch: w.epoch,
	}, w.now)
	w.applyConfig(e)
	e.SetEvacuated(nil)
	return e
}

// configure makes another configuration current: the queue goes to either pool, or is dropped.
func (w *placementWorld) configure(variant int) {
	w.config = workflow.Config{Version: w.config.Version + 1, Pools: []workflow.Pool{{Name: "pool"}, {Name: "other"}}}
	q := queue
	switch variant % 4 {
	case 0, 1:
		w.config.Queues = []workflow.Queue{q}
	case 2:
		q.Pool = "other"
		w.config.Queues = []workflow.Queue{q}
	}
	for i := range w.config.Queues {
		w.pools[w.config.Queues[i].Pool] = true
	}
}

// applyConfig passes the current configuration to an engine.
func (w *placementWorld) applyConfig(e *engine.Engine) {
	config := w.config
	e.Configure(&config)
}

// restart starts the next incarnation of a host's executor, under its ID or another one.
func (w *placementWorld) restart(h *faultyHost, next workflow.Executor, sameID bool) {
	h.restart(w.incarnation(h, next, sameID), w.now)
}

// incarnation gives an executor of a host its ID and the time of its start.
func (w *placementWorld) incarnation(h *faultyHost, next workflow.Executor, sameID bool) workflow.Executor {
	w.started++
	next.StartedUnixMillis = w.now.UnixMilli() + w.started
	next.ID = h.executor.ID
	if !sameID {
		next.ID = fmt.Sprintf("i-%s-%d", h.name, w.started)
	}
	w.executors[next.IncarnationID()] = next
	return next
}

// apply applies an action.
func (w *placementWorld) apply(a *placementAction) {
	h := w.hosts[a.host]
	switch a.kind {
	case "submit":
		w.submit(a.job)
	case "cancel":
		w.cancel(a.pick)
	case "round":
		w.round()
	case "wait":
		w.wait(placementWaits[a.pick%len(placementWaits)])
	case "lapse":
		// The leases of the executors that don't respond expire.
		for range a.pick {
			w.wait(time.Second)
			w.reportAll()
		}
	case "change owner":
		w.changeOwner(a.outcome%2 == 0)
	case "configure":
		w.configure(a.pick)
		w.applyConfig(w.engine)
	case "plan":
		w.plan(a.outcome)
	case "flush":
		w.flush()
	case "commit":
		w.commit()
	default:
		w.applyToHost(a, h)
		w.applyToCalls(a)
	}
}

func (w *placementWorld) applyToHost(a *placementAction, h *faultyHost) {
	switch a.kind {
	case "list":
		h.list(w.now)
	case "report":
		w.reports = append(w.reports, h.report(w.now))
	case "hear":
		h.list(w.now)
		w.receive(h.report(w.now))
	case "repeat":
		w.receive(h.report(w.now))
	case "silence", "respond":
		h.silent = a.kind == "silence"
	case "restart", "replace":
		w.restart(h, a.executor, a.kind == "restart")
	case "foreign":
		h.announce(w.incarnation(h, a.executor, false))
	case "restart node":
		h.restartNode()
	case "end":
		if tasks := slices.Sorted(maps.Keys(h.running)); len(tasks) > 0 {
			how := []workflow.EndReason{workflow.EndDone, workflow.EndDone, workflow.EndStopped, workflow.EndFailed}
			h.endRun(tasks[a.pick%len(tasks)], how[a.outcome%len(how)])
		}
	case "carry out":
		if len(h.late) > 0 {
			i := a.pick % len(h.late)
			h.start(h.late[i], w.now)
			h.late = slices.Delete(h.late, i, i+1)
		}
	}
}

func (w *placementWorld) applyToCalls(a *placementAction) {
	switch a.kind {
	case "deliver":
		if len(w.orders) > 0 {
			w.deliver(a.pick%len(w.orders), a.outcome)
		}
	case "give up":
		if len(w.orders) > 0 {
			w.giveUp(w.orders[a.pick%len(w.orders)])
		}
	case "result", "lose result":
		if len(w.results) > 0 {
			i := a.pick % len(w.results)
			if a.kind == "result" {
				w.handleResults(w.results[i])
			}
			w.results = slices.Delete(w.results, i, i+1)
		}
	case "receive", "lose report":
		if len(w.reports) > 0 {
			i := a.pick % len(w.reports)
			r := w.reports[i]
			w.reports = slices.Delete(w.reports, i, i+1)
			if a.kind == "receive" {
				w.receive(r)
			}
		}
	}
}

func (w *placementWorld) submit(job workflow.Job) {
	job.ID = fmt.Sprintf("%016x", len(w.jobs)+1)
	job.AcceptedUnixMillis, job.FirstUnixMillis = w.now.UnixMilli(), w.now.UnixMilli()
	w.jobs = append(w.jobs, job)
	w.engine.Add(job, nil, w.now, w.now)
}

func (w *placementWorld) cancel(pick int) {
	if len(w.jobs) == 0 {
		return
	}
	id := w.jobs[pick%len(w.jobs)].ID
	w.cancelled[id] = true
	w.engine.Cancel(id, w.now, w.now)
}

// wait advances the time.
func (w *placementWorld) wait(d time.Duration) {
	w.now = w.now.Add(d)
	for _, h := range w.hosts {
		h.advance(w.now)
	}
	w.orders = slices.DeleteFunc(w.orders, func(o *pendingOrders) bool { return !o.until.IsZero() && w.now.After(o.until) })
	w.engine.Tick(w.now)
	w.engine.ExpireLeases(w.now)
}

// round delivers all reports, orders and results at once, as without faults.
func (w *placementWorld) round() {
	w.wait(placementWaits[0])
	w.reportAll()
	w.flush()
	w.commit()
	w.deliverFrom(0, 0)
	for _, r := range w.results {
		w.handleResults(r)
	}
	w.results = nil
}

// deliverFrom delivers the orders from the given index on.
func (w *placementWorld) deliverFrom(i, outcome int) {
	for len(w.orders) > i {
		w.deliver(i, outcome)
	}
}

// plan plans and carries the decisions out at once, beside what is in progress.
func (w *placementWorld) plan(outcome int) {
	w.wait(placementWaits[0])
	orders, results := len(w.orders), len(w.results)
	w.flush()
	w.commit()
	w.deliverFrom(orders, outcome)
	for _, r := range w.results[results:] {
		w.handleResults(r)
	}
	w.results = w.results[:results]
}

// reportAll delivers all reports, and a new one of each host that responds.
func (w *placementWorld) reportAll() {
	for _, h := range w.hosts {
		if !h.silent {
			h.list(w.now)
			w.reports = append(w.reports, h.report(w.now))
		}
	}
	for _, r := range w.reports {
		w.receive(r)
	}
	w.reports = nil
}

func (w *placementWorld) host(name string) *faultyHost { return w.hosts[name[0]-'a'] }

// receive passes a report to the owner, and its reply to the node.
func (w *placementWorld) receive(r *workflow.Report) {
	ack, granted := w.engine.HandleReport(r, w.now, w.now)
	incarnation := r.Executor.IncarnationID()
	w.acks[incarnation] = max(w.acks[incarnation], ack)
	h := w.host(r.Node)
	if h.process != r.Incarnation {
		return
	}
	h.epoch = max(h.epoch, w.epoch)
	if granted && h.executor.IncarnationID() == incarnation {
		h.renew(r.Number)
	}
}

// flush plans, and begins to store the changed records.
func (w *placementWorld) flush() {
	if w.changes != nil || w.uncommitted != nil {
		return
	}
	w.engine.Plan(w.now, w.now)
	w.changes, w.uncommitted = w.engine.TakeDirty(), w.engine.TakeOrders()
	w.acks, w.storedAcks = map[string]int64{}, w.acks
	for i := range w.uncommitted {
		w.uncommitted[i].Orders.Epoch = w.epoch
		w.checkStarts(&w.uncommitted[i].Orders, w.uncommitted[i].Node)
	}
}

// commit finishes what flush began, and releases the orders and acknowledgements.
func (w *placementWorld) commit() {
	w.store()
	w.engine.MarkStored(w.changes)
	for _, o := range w.uncommitted {
		w.orders = append(w.orders, &pendingOrders{NodeOrders: o})
	}
	for incarnation, ack := range w.storedAcks {
		for _, h := range w.hosts {
			h.acknowledge(incarnation, ack)
		}
	}
	w.changes, w.uncommitted, w.storedAcks = nil, nil, nil
}

func (w *placementWorld) store() {
	for _, c := range w.changes {
		w.records[c.Job] = c.Record
	}
}

// changeOwner lets another owner take over. The batch that the former one was storing is stored or lost.
func (w *placementWorld) changeOwner(stored bool) {
	if stored {
		w.store()
	}
	w.changes, w.uncommitted, w.storedAcks, w.results, w.reports = nil, nil, nil, nil, nil
	clear(w.acks)
	for _, o := range w.orders {
		o.until, o.givenUp = cmp.Or(o.until, w.now.Add(takeoverSlack)), true
	}
	w.epoch++
	w.engine = w.newEngine()
	for _, job := range w.jobs {
		var record *workflow.JobRecord
		if r, found := w.records[job.ID]; found {
			record = &r
		}
		w.engine.Add(job, record, w.now, w.now)
		if w.cancelled[job.ID] {
			w.engine.Cancel(job.ID, w.now, w.now)
		}
	}
}

// giveUp makes the owner count orders as unanswered. They may still reach their node.
func (w *placementWorld) giveUp(o *pendingOrders) {
	if o.givenUp {
		return
	}
	o.givenUp = true
	r := pendingResults{node: o.Node, executor: o.Orders.ExecutorIncarnation}
	for i := range o.Orders.Starts {
		s := &o.Orders.Starts[i]
		r.results = append(r.results, workflow.OrderResult{Task: s.Task, Run: s.Run, Outcome: workflow.OutcomeUnknown})
	}
	for _, s := range o.Orders.Stops {
		r.results = append(r.results, workflow.OrderResult{Task: s.Task, Run: s.Run, Stop: true, Outcome: workflow.OutcomeUnknown})
	}
	w.handleResults(r)
}

func (w *placementWorld) handleResults(r pendingResults) {
	for i := range r.results {
		r.results[i].Executor = r.executor
		w.engine.HandleOrderResult(r.node, r.process, &r.results[i], w.now)
	}
}
