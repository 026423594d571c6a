// Package configmodule keeps a process's view of the configuration current: it polls the head, loads the rules and the
// inventory, and serves blobs to other processes.
package configmodule

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storemodule"
)

// Name is the name of the module and of its settings section.
const Name = "config"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleEntry, kernel.RoleAgent}, After: []string{storemodule.Name},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the section [config].
type Settings struct {
	// PollInterval is how often the head is read from the store. A start freshness of 3 s leaves room for five reads.
	PollInterval time.Duration `ini:"poll_interval" default:"500ms" min:"20ms" max:"2s"`
	// LoadTimeout bounds the loading of the rules and the inventory of one revision.
	LoadTimeout time.Duration `ini:"load_timeout" default:"5s" min:"100ms" max:"1m"`
}

// storeProvider is implemented by the store module.
type storeProvider interface{ Store() store.Store }

// Module holds the follower and the acceptor of a process.
type Module struct {
	settings Settings
	clock    clock.Clock
	log      hclog.Logger
	scope    tally.Scope
	store    store.Store
	blobs    *config.Blobs
	follower *config.Follower
	acceptor *config.Acceptor
	peers    *peerSource
	// polling is set in entries, and in agents while they own a shard.
	polling atomic.Bool
	reload  chan struct{}
	// pollMu guards behind, which counts polls in a row that returned a lower revision than the held one, and lost, which is
	// the last reported head.
	pollMu           sync.Mutex
	stalePolls       int
	lastReportedLoss string
	stop             context.CancelFunc
	done             sync.WaitGroup
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	provider, err := kernel.Require[storeProvider](c, storemodule.Name)
	if err != nil {
		return err
	}
	m.clock, m.log, m.scope = c.Clock, c.Log.Named(Name), c.Metrics.SubScope("config")
	m.store = provider.Store()
	m.peers = newPeerSource(m.clock)
	// Blobs come from peers first, so that a change doesn't make the whole fleet read the store at once.
	m.blobs = config.NewBlobs(m.peers, config.StoreSource{Store: m.store})
	// A change is based on the store alone, so that it doesn't wait for peers. What it writes is cached for them.
	m.acceptor = config.NewAcceptor(m.store, m.blobs.WithSources(config.StoreSource{Store: m.store}))
	m.follower = config.NewFollower(m.clock)
	m.reload = make(chan struct{}, 1)
	m.polling.Store(c.Role == kernel.RoleEntry)
	c.Router.HandleFunc("/v1/config/blobs/{kind}/{hash}", m.serveBlob).Methods(http.MethodGet)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.stop = context.WithCancel(ctx)
	m.done.Go(func() { m.pollLoop(ctx) })
	m.done.Go(func() { m.loadLoop(ctx) })
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

// Follower returns the process's view of the configuration.
func (m *Module) Follower() *config.Follower { return m.follower }

// DomainOut tells whether a failure domain is out of service.
func (m *Module) DomainOut(name string) bool { return m.follower.DomainOut(name) }

// Acceptor returns the acceptor of changes on the process's store.
func (m *Module) Acceptor() *config.Acceptor { return m.acceptor }

// SetPeers sets the addresses from which blobs are fetched before the store is asked. It is called while provisioning.
func (m *Module) SetPeers(addresses func() []string) { m.peers.addresses = addresses }

// SetPolling turns the polling of the head in an agent on, while it owns a shard, or off.
func (m *Module) SetPolling(on bool) {
	if m.polling.Swap(on) != on {
		m.triggerLoad()
	}
}

// Polling tells whether this process polls the head, and so holds the inventory too.
func (m *Module) Polling() bool { return m.polling.Load() }

func (m *Module) triggerLoad() {
	select {
	case m.reload <- struct{}{}:
	default:
	}
}

// maxConcurrentPolls bounds the reads of the head that are on their way. They overlap, since with one at a time a store that
// answers in 1.5 s would confirm the head later than the start freshness of 3 s allows. It is below lossPolls, so that
// reads which overlap with one change don't count as a loss.
const maxConcurrentPolls = 3

func (m *Module) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(m.settings.PollInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentPolls)
	for {
		if m.polling.Load() {
			select {
			case slots <- struct{}{}:
				m.done.Go(func() {
					defer func() { <-slots }()
					m.poll(ctx)
				})
			default:
			}
		}
		if age, ok := m.follower.ConfirmedAge(); ok {
			m.scope.Gauge("confirmed_age_seconds").Update(age.Seconds())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Module) poll(ctx context.Context) {
	sentAt := m.clock.Now()
	entry, err := m.store.Get(ctx, config.HeadKey)
	m.count("polls", string(store.ResultOf(err)))
	if err != nil {
		return
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		m.count("invalid_heads", "store")
		return
	}
	m.pollMu.Lock()
	defer m.pollMu.Unlock()
	if err := m.follower.ObserveStore(head, sentAt); err != nil {
		m.reportLoss("another head has the held revision", head)
	} else if newest := m.follower.Revision(); head.Revision < newest {
		// Normal for a read that overlaps with a change; it doesn't last then.
		m.stalePolls++
		if m.stalePolls == dataLossPolls {
			m.reportLoss("the store stays behind the held revision", head)
		}
		return
	}
	m.stalePolls = 0
}

// dataLossPolls is the number of reads in a row after which a store that is behind counts as having lost data.
const dataLossPolls = 4

// reportLoss reports that the store has lost data, or that a process of another store is in this fleet. The held head
// stays in force until the store's revision exceeds it. m.pollMu is held.
func (m *Module) reportLoss(message string, head config.Head) {
	m.count("lost_heads", "store")
	if m.lastReportedLoss != head.ChangeID() {
		m.lastReportedLoss = head.ChangeID()
		m.log.Error(message, "store_revision", head.Revision, "held_revision", m.follower.Revision())
	}
}

func (m *Module) count(name, result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

// loadLoop loads the rules, and while polling the inventory, of each new head.
func (m *Module) loadLoop(ctx context.Context) {
	for {
		changed := m.follower.Changed()
		pause := time.Duration(0)
		if !m.load(ctx) {
			pause = m.settings.PollInterval
		}
		if !m.waitForChange(ctx, changed, pause) {
			return
		}
	}
}

// waitForChange waits for a new head, a kick, or the end of a pause above 0. It returns false when ctx ends.
func (m *Module) waitForChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	var retry <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-m.reload:
	case <-retry:
	}
	return true
}

// load returns false when it has to be repeated.
func (m *Module) load(ctx context.Context) bool {
	head, ok := m.follower.Head()
	if !ok {
		return true
	}
	loaded := m.follower.Loaded()
	withInventory := m.polling.Load()
	if loaded.Head.Revision == head.Revision && (!withInventory || len(loaded.Inventory.Workers) == head.Workers()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.settings.LoadTimeout)
	defer cancel()
	next := config.Configuration{Head: head, Inventory: config.NewInventory(nil)}
	var err error
	if next.Rules, _, err = m.blobs.LoadRules(ctx, head); err == nil && withInventory {
		next.Inventory, err = m.blobs.LoadInventory(ctx, head)
	}
	if err != nil {
		m.count("loads", "failed")
		return false
	}
	m.count("loads", "ok")
	m.follower.SetLoaded(next)
	m.scope.Gauge("loaded_revision").Update(float64(head.Revision))
	m.log.Info("configuration in force", "revision", head.Revision, "workers", head.Workers())
	return true
}

// serveBlob sends a cached blob to a peer.
func (m *Module) serveBlob(w http.ResponseWriter, r *http.Request) {
	kind, hash := config.BlobKind(mux.Vars(r)["kind"]), mux.Vars(r)["hash"]
	raw, ok := m.blobs.Cached(hash)
	if !ok || kind != config.BlobRules && kind != config.BlobInventory {
		http.Error(w, "blob is not cached", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(raw)
}
