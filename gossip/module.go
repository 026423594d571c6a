package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/config/configmodule"
	"github.com/quetzalshed/quetzalshed/ingress"
	"github.com/quetzalshed/quetzalshed/kernel"
)

// Name is the name of the module and of its settings section.
const Name = "gossip"

// gossipPath is the HTTP path for messages.
const gossipPath = "/v1/gossip"

func init() {
	kernel.RegisterModule(kernel.ModuleInfo{
		Name: Name, Roles: []kernel.Role{kernel.RoleEntry, kernel.RoleAgent}, After: []string{configmodule.Name},
		New: func() kernel.Module { return &Module{} },
	})
}

// Settings is the settings section [gossip].
type Settings struct {
	// Peers lists the addresses of initial peers. The addresses of the entries suffice.
	Peers    []netip.AddrPort `ini:"peers" default:""`
	Interval time.Duration    `ini:"interval" default:"500ms" min:"20ms" max:"5s"`
	// Fanout is the number of peers that are called in each round.
	Fanout int `ini:"fanout" default:"2" min:"1" max:"8"`
	// Timeout limits each message and its response.
	Timeout time.Duration `ini:"timeout" default:"1s" min:"20ms" max:"10s"`
}

// configSource is the part of the configuration module that gossip uses.
type configSource interface {
	Follower() *config.Follower
	Polling() bool
	SetPeers(addresses func() []string)
}

// Module runs the gossip rounds of a process and serves messages from peers.
type Module struct {
	settings   Settings
	clock      clock.Clock
	scope      tally.Scope
	config     configSource
	owners     *OwnerTable
	exchanger  *Exchanger
	client     *http.Client
	random     *rand.Rand
	background kernel.Background
}

// Settings implements kernel.Module.
func (m *Module) Settings() any { return &m.settings }

// Provision implements kernel.Module.
func (m *Module) Provision(c *kernel.Context) error {
	configuration, err := kernel.Require[configSource](c, configmodule.Name)
	if err != nil {
		return err
	}
	m.clock, m.scope, m.config = c.Clock, c.Metrics.SubScope("gossip"), configuration
	m.owners = NewOwnerTable()
	m.client = &http.Client{
		Timeout: m.settings.Timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, MaxIdleConns: maxDiscoveredPeers, IdleConnTimeout: time.Minute, DisableCompression: true,
		},
	}
	m.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	identity := Identity{
		Fleet: c.Process.Fleet, Name: c.Process.Name, Role: c.Role, Address: c.Process.PeerAddress().String(),
	}
	var seeds []string
	for _, peer := range m.settings.Peers {
		seeds = append(seeds, peer.String())
	}
	m.exchanger = NewExchanger(identity, m.clock, configuration.Follower(), m.owners, seeds, m, func(reason RejectReason) {
		m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("rejected").Inc(1)
	})
	configuration.SetPeers(m.exchanger.peerAddresses)
	c.Router.HandleFunc(gossipPath, m.handleMessage).Methods(http.MethodPost)
	return nil
}

// Owners returns the table of shard owners.
func (m *Module) Owners() *OwnerTable { return m.owners }

// Start implements kernel.Module.
func (m *Module) Start(ctx context.Context) error {
	ctx = m.background.Start(ctx)
	m.background.Go(func() { m.run(ctx) })
	return nil
}

// Stop implements kernel.Module.
func (m *Module) Stop(context.Context) error {
	m.background.Stop()
	m.client.CloseIdleConnections()
	return nil
}

// minRoundPause is the minimum time between two rounds, which limits the rate of rounds that changes trigger.
const minRoundPause = 50 * time.Millisecond

// run executes a round in each interval, and earlier if the head or the owners have changed.
func (m *Module) run(ctx context.Context) {
	follower := m.config.Follower()
	changed := true
	for {
		headChanged, ownersChanged := follower.Changed(), m.owners.Changed()
		if age, known := follower.ConfirmedAge(); changed || !MaySkipRound(m.config.Polling(), known, age) {
			m.runRound(ctx)
		}
		changed = true
		timer := time.NewTimer(m.roundPause())
		select {
		case <-ctx.Done():
		case <-headChanged:
		case <-ownersChanged:
		case <-timer.C:
			changed = false
		}
		timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-time.After(minRoundPause):
		}
	}
}

// roundPause returns the time until the next round, less minRoundPause. It has jitter, so that processes that start
// together don't stay in step.
func (m *Module) roundPause() time.Duration {
	head, _ := m.config.Follower().Head()
	interval := RoundInterval(m.settings.Interval, m.config.Polling(), head.Workers())
	const jitter = 0.1
	return time.Duration(float64(interval)*(1+jitter*(2*m.random.Float64()-1))) - minRoundPause
}

// runRound exchanges messages with randomly chosen peers concurrently.
func (m *Module) runRound(ctx context.Context) {
	var exchanges sync.WaitGroup
	for _, address := range m.exchanger.PickPeers(m.settings.Fanout, m.random) {
		exchanges.Go(func() {
			result := "ok"
			if err := m.exchanger.Exchange(ctx, address); err != nil {
				result = "failed"
			}
			m.scope.Tagged(map[string]string{"result": result}).Counter("exchanges").Inc(1)
		})
	}
	exchanges.Wait()
}

// Send implements Sender over HTTP.
func (m *Module) Send(ctx context.Context, address string, message Message) (Message, error) {
	raw, err := json.Marshal(message)
	if err != nil {
		return Message{}, eris.Wrap(err, "encoding a gossip message")
	}
	m.scope.Counter("sent_bytes").Inc(int64(len(raw)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+gossipPath, bytes.NewReader(raw))
	if err != nil {
		return Message{}, eris.Wrap(err, "sending a gossip message")
	}
	request.Header.Set("User-Agent", "") // Omits the header, which would be a tenth of a message.
	response, err := m.client.Do(request)
	if err != nil {
		return Message{}, eris.Wrap(err, "sending a gossip message")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Message{}, eris.Errorf("peer %s: status %d", address, response.StatusCode)
	}
	return decodeMessage(response.Body)
}

func decodeMessage(body io.Reader) (Message, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err != nil {
		return Message{}, eris.Wrap(err, "reading a gossip message")
	}
	if len(raw) > maxMessageBytes {
		return Message{}, eris.Errorf("message is over %d bytes", maxMessageBytes)
	}
	return parseMessage(raw)
}

func parseMessage(raw []byte) (Message, error) {
	var message Message
	return message, eris.Wrap(json.Unmarshal(raw, &message), "decoding a gossip message")
}

func (m *Module) handleMessage(w http.ResponseWriter, r *http.Request) {
	raw, err := ingress.ReadBody(w, r, maxMessageBytes)
	if err == nil {
		err = ingress.ChargeJSON(r, raw)
	}
	if ingress.WriteError(w, err) {
		return
	}
	var message Message
	if err == nil {
		message, err = parseMessage(raw)
	}
	if err != nil {
		m.exchanger.onReject(ReasonMalformed)
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	m.scope.Counter("received_messages").Inc(1)
	response, _, err := m.exchanger.Receive(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	kernel.WriteJSON(w, http.StatusOK, response)
}
