// Package configmodule keeps a process's copy of the configuration current: it polls the head, loads the rules and the
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
	// PollInterval is the interval between reads of the head from the store. The default allows five reads within the
	// start freshness of 3 s.
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
	// polling is true in entries, and in agents while they own a shard.
	polling atomic.Bool
	reload  chan struct{}
	// pollMu guards stalePolls, the number of consecutive polls that returned a lower revision than the held one, and
	// lastReportedLoss, the change ID of the last head that was reported as a loss.
	pollMu           sync.Mutex
	stalePolls       int
	lastReportedLoss string
	background       kernel.Background
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
	// Blobs are fetched from peers first, so that a change doesn't make the whole fleet read the store at once.
	m.blobs = config.NewBlobs(m.peers, config.StoreSource{Store: m.store})
	// The acceptor reads from the store only, so that changes don't wait for peers. The blobs that it writes go into the
	// shared cache, from which they are served to peers.
	m.acceptor = config.NewAcceptor(m.store, m.blobs.WithSources(config.StoreSource{Store: m.store}))
	m.follower = config.NewFollower(m.clock)
	m.reload = make(chan struct{}, 1)
	m.polling.Store(c.Role == kernel.RoleEntry)
	c.Router.HandleFunc("/v1/config/blobs/{kind}/{hash}", m.serveBlob).Methods(http.MethodGet)
	return nil
}

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx = m.background.Start(ctx)
	m.background.Go(func() { m.pollLoop(ctx) })
	m.background.Go(func() { m.loadLoop(ctx) })
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	m.background.Stop()
	return nil
}

// Follower returns the follower, which holds the process's copy of the configuration.
func (m *Module) Follower() *config.Follower { return m.follower }

// DomainOut reports whether a failure domain is out of service.
func (m *Module) DomainOut(name string) bool { return m.follower.DomainOut(name) }

// Acceptor returns the acceptor, which commits changes to the process's store.
func (m *Module) Acceptor() *config.Acceptor { return m.acceptor }

// SetPeers sets the addresses of the peers from which blobs are fetched before the store is tried. It must be called
// during provisioning.
func (m *Module) SetPeers(addresses func() []string) { m.peers.addresses = addresses }

// SetPolling turns polling of the head on or off. Agents poll only while they own a shard.
func (m *Module) SetPolling(on bool) {
	if m.polling.Swap(on) != on {
		m.triggerLoad()
	}
}

// Polling reports whether this process polls the head and therefore also loads the inventory.
func (m *Module) Polling() bool { return m.polling.Load() }

func (m *Module) triggerLoad() {
	select {
	case m.reload <- struct{}{}:
	default:
	}
}

// maxConcurrentPolls bounds the reads of the head in flight. Reads may overlap: with one at a time, a store that
// responds in 1.5 s would confirm the head too late for the start freshness of 3 s. It is below dataLossPolls, so that
// reads which overlap with one change aren't reported as data loss.
const maxConcurrentPolls = 3

func (m *Module) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(m.settings.PollInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentPolls)
	for {
		if m.polling.Load() {
			select {
			case slots <- struct{}{}:
				m.background.Go(func() {
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
	m.countResult("polls", string(store.ResultOf(err)))
	if err != nil {
		return
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		m.countResult("invalid_heads", "store")
		return
	}
	m.pollMu.Lock()
	defer m.pollMu.Unlock()
	if err := m.follower.ObserveStore(head, sentAt); err != nil {
		m.reportLoss("store returned a different head for the held revision", head)
	} else if newest := m.follower.Revision(); head.Revision < newest {
		// A read that overlaps with a change may return the old head, but later reads won't.
		m.stalePolls++
		if m.stalePolls == dataLossPolls {
			m.reportLoss("store repeatedly returned a revision below the held one", head)
		}
		return
	}
	m.stalePolls = 0
}

// dataLossPolls is the number of consecutive stale reads after which the store is assumed to have lost data.
const dataLossPolls = 4

// reportLoss reports that the store has lost data, or that a process with another store is in this fleet. The held head
// stays in force until the store's revision exceeds it. The caller must hold pollMu.
func (m *Module) reportLoss(message string, head config.Head) {
	m.countResult("lost_heads", "store")
	if m.lastReportedLoss != head.ChangeID() {
		m.lastReportedLoss = head.ChangeID()
		m.log.Error(message, "store_revision", head.Revision, "held_revision", m.follower.Revision())
	}
}

func (m *Module) countResult(name, result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

// loadLoop loads the rules of each new head, and the inventory too while polling is on.
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

// waitForChange waits for a new head, a call of triggerLoad, or the end of the pause if it is above 0. It returns false
// if ctx ends.
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

// load loads the configuration of the held head if it isn't loaded yet. It returns false if it has to be retried.
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
		m.countResult("loads", "failed")
		return false
	}
	m.countResult("loads", "ok")
	m.follower.SetLoaded(next)
	m.scope.Gauge("loaded_revision").Update(float64(head.Revision))
	m.log.Info("configuration in force", "revision", head.Revision, "workers", head.Workers())
	return true
}

// serveBlob responds to a peer with a cached blob.
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
